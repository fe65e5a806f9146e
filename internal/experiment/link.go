package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bambooyard/bambooyard/link"
)

// Parameters of the simulation of a link between regions.
const (
	linkRate           = 30_000_000 / 8 // bytes per second
	linkDaemons        = 8
	linkStep           = 50 * time.Millisecond
	linkReportInterval = 250 * time.Millisecond
	linkDuration       = 2 * time.Minute
)

// LinkPolicy is a policy that divides a link among daemons.
type LinkPolicy string

// Link policies.
const (
	// EqualShares gives every daemon the same rate.
	EqualShares LinkPolicy = "equal shares"
	// ReportedDemand divides the rate in proportion to the demands that the
	// daemons last reported.
	ReportedDemand LinkPolicy = "by reported demand"
	// Loans is the policy of link.Share.
	Loans LinkPolicy = "equal shares with loans"
)

// LinkResult is the result of one link policy.
type LinkResult struct {
	// MaxBytesPerSecond is the largest number of bytes that all daemons together
	// sent within any second.
	MaxBytesPerSecond float64
	// Carried is the number of bytes sent as a fraction of the demand that the
	// link could have carried.
	Carried float64
}

// linkDaemon is a simulated daemon.
type linkDaemon struct {
	id      string
	share   *link.Share
	demand  float64            // bytes per second
	reports map[string]float64 // last reported demands by daemon ID
	running bool
}

// linkSimulation simulates daemons and the messages between them.
type linkSimulation struct {
	policy  LinkPolicy
	now     time.Time
	rand    *rand.Rand
	daemons []*linkDaemon
	pending []linkMessage
}

// linkMessage is a message that is delivered at a time by calling fn.
type linkMessage struct {
	at time.Time
	fn func()
}

// RunLink simulates a link policy. The demands change over time, and one daemon
// at a time has the largest. Messages between daemons take up to maxDelay, and one
// in ten is lost. One daemon stops after a third of the time and is replaced
// after two thirds.
func RunLink(policy LinkPolicy, seed uint64, maxDelay time.Duration) LinkResult {
	s := &linkSimulation{policy: policy, now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, seed))}
	for i := range linkDaemons {
		s.daemons = append(s.daemons, newLinkDaemon(strconv.Itoa(i)))
	}
	var sent []float64
	carried, possible := 0.0, 0.0
	for at := time.Duration(0); at < linkDuration; at += linkStep {
		s.now = s.now.Add(linkStep)
		s.updateDemand(at)
		s.deliver()
		if at%linkReportInterval == 0 {
			s.report(maxDelay)
		}
		used, wanted := s.transmit()
		sent = append(sent, used)
		carried += used
		possible += min(wanted, linkRate) * linkStep.Seconds()
	}
	return LinkResult{MaxBytesPerSecond: maxSlidingSum(sent, int(time.Second/linkStep)), Carried: carried / possible}
}

func newLinkDaemon(id string) *linkDaemon {
	return &linkDaemon{id: id, share: link.NewShare(linkRate), reports: map[string]float64{}, running: true}
}

// updateDemand draws new demands every five seconds, and stops and replaces a
// daemon at the times that RunLink states.
func (s *linkSimulation) updateDemand(at time.Duration) {
	switch at {
	case linkDuration / 3:
		s.daemons[0].running = false
	case 2 * linkDuration / 3:
		s.daemons[0] = newLinkDaemon("again")
	}
	if at%(5*time.Second) != 0 {
		return
	}
	hot := s.rand.IntN(linkDaemons)
	for i, d := range s.daemons {
		d.demand = s.rand.Float64() * linkRate / linkDaemons / 2
		if i == hot {
			d.demand = (0.5 + s.rand.Float64()) * linkRate
		}
	}
}

// deliver delivers the messages that are due. Delivery may send further messages.
func (s *linkSimulation) deliver() {
	pending := s.pending
	s.pending = nil
	for _, m := range pending {
		if m.at.After(s.now) {
			s.pending = append(s.pending, m)
			continue
		}
		m.fn()
	}
}

// send sends a message with a random delay, or loses it.
func (s *linkSimulation) send(maxDelay time.Duration, fn func()) {
	if s.rand.IntN(10) == 0 {
		return
	}
	at := s.now.Add(time.Duration(s.rand.Int64N(int64(maxDelay) + 1)))
	s.pending = append(s.pending, linkMessage{at, fn})
}

// report updates the peers and the demand of every daemon's share and sends its
// demand to all others.
func (s *linkSimulation) report(maxDelay time.Duration) {
	for _, d := range s.running() {
		var others []string
		for _, o := range s.running() {
			if o != d {
				others = append(others, o.id)
			}
		}
		d.share.SetPeers(others)
		d.share.SetDemand(int64(d.demand))
	}
	for _, from := range s.running() {
		for _, to := range s.running() {
			if from != to {
				s.requestLoan(from, to, maxDelay)
			}
		}
	}
}

// requestLoan sends a daemon's demand to a peer, which replies with a loan.
func (s *linkSimulation) requestLoan(from, to *linkDaemon, maxDelay time.Duration) {
	requestedAt, demand, daemons := s.now, from.demand, from.share.Daemons()
	requested := 2 * from.share.Shortfall(s.now) / linkDaemons
	s.send(maxDelay, func() {
		to.reports[from.id] = demand
		rate, counted := to.share.Lend(from.id, daemons, requested, s.now)
		s.send(maxDelay, func() { from.share.RecordLoan(to.id, counted, rate, requestedAt) })
	})
}

func (s *linkSimulation) running() []*linkDaemon {
	var list []*linkDaemon
	for _, d := range s.daemons {
		if d.running {
			list = append(list, d)
		}
	}
	return list
}

// transmit returns the bytes that all daemons send within linkStep and the sum of
// their demands in bytes per second.
func (s *linkSimulation) transmit() (sent, wanted float64) {
	for _, d := range s.running() {
		wanted += d.demand
		sent += min(d.demand, s.rate(d)) * linkStep.Seconds()
	}
	return sent, wanted
}

// rate returns the bytes per second that the policy allows a daemon.
func (s *linkSimulation) rate(d *linkDaemon) float64 {
	const usable = 0.9 * linkRate
	switch s.policy {
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
		return float64(d.share.Rate(s.now))
	}
}

// maxSlidingSum returns the largest sum of n consecutive values.
func maxSlidingSum(sent []float64, n int) float64 {
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
