package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bambooyard/bambooyard/link"
)

// Sizes of the experiment on the link between regions.
const (
	linkBytes    = 30_000_000 / 8 // bytes per second
	linkDaemons  = 8
	linkTick     = 50 * time.Millisecond
	linkReport   = 250 * time.Millisecond
	linkDuration = 2 * time.Minute
)

// LinkPolicy is a way of dividing a link among daemons.
type LinkPolicy string

// Ways of dividing a link.
const (
	// EqualShares gives every daemon the same part.
	EqualShares LinkPolicy = "equal shares"
	// ReportedDemand divides by the demands that the daemons last reported.
	ReportedDemand LinkPolicy = "by reported demand"
	// Loans is the share of package link.
	Loans LinkPolicy = "equal shares with loans"
)

// LinkResult is what one way of dividing gave.
type LinkResult struct {
	// MaxBytesPerSecond is the most bytes that all daemons sent in any second.
	MaxBytesPerSecond float64
	// Carried is the part of what could be carried that was.
	Carried float64
}

// linkDaemon is one daemon of the experiment.
type linkDaemon struct {
	id      string
	share   *link.Share
	demand  float64
	reports map[string]float64
	running bool
}

// linkWorld is all daemons with the messages between them.
type linkWorld struct {
	way     LinkPolicy
	now     time.Time
	rand    *rand.Rand
	daemons []*linkDaemon
	pending []linkMessage
}

// linkMessage takes effect at its time.
type linkMessage struct {
	at time.Time
	fn func()
}

// RunLink simulates swinging demand, one daemon at a time wanting most, with
// messages that take up to maxDelay, of which one in ten is lost. A daemon
// leaves at a third of the time and joins again at two thirds.
func RunLink(way LinkPolicy, seed uint64, maxDelay time.Duration) LinkResult {
	w := &linkWorld{way: way, now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, seed))}
	for i := range linkDaemons {
		w.daemons = append(w.daemons, newLinkDaemon(strconv.Itoa(i)))
	}
	var sent []float64
	carried, possible := 0.0, 0.0
	for at := time.Duration(0); at < linkDuration; at += linkTick {
		w.now = w.now.Add(linkTick)
		w.change(at)
		w.deliver()
		if at%linkReport == 0 {
			w.report(maxDelay)
		}
		used, wanted := w.use()
		sent = append(sent, used)
		carried += used
		possible += min(wanted, linkBytes) * linkTick.Seconds()
	}
	return LinkResult{MaxBytesPerSecond: maxWindow(sent, int(time.Second/linkTick)), Carried: carried / possible}
}

func newLinkDaemon(id string) *linkDaemon {
	return &linkDaemon{id: id, share: link.NewShare(linkBytes), reports: map[string]float64{}, running: true}
}

// change draws demands anew every five seconds, and stops and starts a daemon.
func (w *linkWorld) change(at time.Duration) {
	switch at {
	case linkDuration / 3:
		w.daemons[0].running = false
	case 2 * linkDuration / 3:
		w.daemons[0] = newLinkDaemon("again")
	}
	if at%(5*time.Second) != 0 {
		return
	}
	hot := w.rand.IntN(linkDaemons)
	for i, d := range w.daemons {
		d.demand = w.rand.Float64() * linkBytes / linkDaemons / 2
		if i == hot {
			d.demand = (0.5 + w.rand.Float64()) * linkBytes
		}
	}
}

// deliver runs what is due; that may post further messages.
func (w *linkWorld) deliver() {
	pending := w.pending
	w.pending = nil
	for _, m := range pending {
		if m.at.After(w.now) {
			w.pending = append(w.pending, m)
			continue
		}
		m.fn()
	}
}

func (w *linkWorld) post(maxDelay time.Duration, fn func()) {
	if w.rand.IntN(10) == 0 {
		return
	}
	at := w.now.Add(time.Duration(w.rand.Int64N(int64(maxDelay) + 1)))
	w.pending = append(w.pending, linkMessage{at, fn})
}

// report lets every daemon report to all others.
func (w *linkWorld) report(maxDelay time.Duration) {
	for _, d := range w.running() {
		var others []string
		for _, o := range w.running() {
			if o != d {
				others = append(others, o.id)
			}
		}
		d.share.SetPeers(others)
		d.share.SetDemand(int64(d.demand))
	}
	for _, from := range w.running() {
		for _, to := range w.running() {
			if from != to {
				w.ask(from, to, maxDelay)
			}
		}
	}
}

func (w *linkWorld) ask(from, to *linkDaemon, maxDelay time.Duration) {
	askedAt, demand, daemons := w.now, from.demand, from.share.Daemons()
	wanted := 2 * from.share.Shortfall(w.now) / linkDaemons
	w.post(maxDelay, func() {
		to.reports[from.id] = demand
		rate, counted := to.share.Lend(from.id, daemons, wanted, w.now)
		w.post(maxDelay, func() { from.share.RecordLoan(to.id, counted, rate, askedAt) })
	})
}

func (w *linkWorld) running() []*linkDaemon {
	var list []*linkDaemon
	for _, d := range w.daemons {
		if d.running {
			list = append(list, d)
		}
	}
	return list
}

// use returns the bytes sent in a tick and the rate that was wanted.
func (w *linkWorld) use() (sent, wanted float64) {
	for _, d := range w.running() {
		wanted += d.demand
		sent += min(d.demand, w.rate(d)) * linkTick.Seconds()
	}
	return sent, wanted
}

func (w *linkWorld) rate(d *linkDaemon) float64 {
	const usable = 0.9 * linkBytes
	switch w.way {
	case EqualShares:
		return usable / linkDaemons
	case ReportedDemand:
		sum := d.demand
		for id, demand := range d.reports {
			if id != d.id {
				sum += demand
			}
		}
		return usable * d.demand / sum
	default:
		return float64(d.share.Rate(w.now))
	}
}

func maxWindow(sent []float64, n int) float64 {
	most := 0.0
	for i := range sent {
		sum := 0.0
		for _, bytes := range sent[max(0, i-n+1) : i+1] {
			sum += bytes
		}
		most = max(most, sum)
	}
	return most
}
