package configsync_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/configsync"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/sessions"
	"github.com/bambooyard/bambooyard/membership"
)

const (
	histories       = 10_000
	historiesOnRace = 300
	historyLength   = 14 * time.Second
	maxFaults       = 9
	healing         = 6 * time.Second
	probeInterval   = 70 * time.Millisecond
	historyWorkers  = 6
	healEvery       = 5 // of so many histories, one is healed to its end
	// slowDelay is so long that sessions do not last.
	slowDelay = 600 * time.Millisecond
)

// history is one run of a fleet under faults, with what was seen.
type history struct {
	*fleet
	err      error
	inForce  document.Revision
	highest  map[*daemon]document.Revision
	accepted map[document.Revision]string
	seen     seen
	commits  int64
}

// seen counts what the histories brought about, so that a harness which
// brings about nothing fails.
type seen struct{ accepted, conflicts, unknown, detached, stopped, inForce int }

func (h *history) failf(format string, args ...any) {
	if h.err == nil {
		h.err = fmt.Errorf("at %s: "+format, append([]any{h.clock.Now().Format("15:04:05.000")}, args...)...)
	}
}

// probe checks the promises at one moment.
func (h *history) probe() {
	h.report()
	h.check()
	h.clock.After(probeInterval, h.probe)
}

// report reads what an operator would be told to be in force.
func (h *history) report() {
	head, _, err := configsync.ReadHead(context.Background(), h.platform)
	if err != nil || head.Revision == h.inForce {
		return
	}
	commits := h.platform.Counts().Commits
	if commits == h.commits {
		return
	}
	h.commits = commits
	rows, err := sessions.Read(context.Background(), h.platform)
	for r := head.Revision; r > h.inForce && err == nil; r-- {
		if membership.AdoptionOf(r, rows, h.clock.Now()).InForce() {
			h.inForce = r
			h.seen.inForce++
		}
	}
}

// check looks at what every daemon serves.
func (h *history) check() {
	for _, d := range h.daemons {
		if !d.serving() {
			h.seen.stopped++
			continue
		}
		r := d.snapshot.Head.Revision
		if r < h.inForce {
			h.failf("daemon %s serves revision %d, but %d was reported in force", d.name, r, h.inForce)
		}
		if r < h.highest[d] {
			h.failf("daemon %s went back from revision %d to %d", d.name, h.highest[d], r)
		}
		h.highest[d] = r
		if d.standing == membership.Detached {
			h.seen.detached++
		}
	}
}

// propose lets an operator apply a document through a daemon's link.
func (h *history) propose(number int) {
	alive := h.alive()
	if len(alive) == 0 {
		return
	}
	d := alive[h.clock.Rand().IntN(len(alive))]
	id := fmt.Sprintf("p%d", number)
	based := d.follower.Head().Revision
	head, err := h.apply(d.link, id, based)
	var conflict *configsync.RevisionConflictError
	var unknown *configsync.OutcomeUnknownError
	switch {
	case err == nil:
		h.seen.accepted++
		if other, ok := h.accepted[head.Revision]; ok {
			h.failf("revision %d was accepted for %s and for %s", head.Revision, other, id)
		}
		h.accepted[head.Revision] = id
		d.follower.Check()
	case errors.As(err, &unknown):
		h.seen.unknown++
	case errors.As(err, &conflict):
		h.seen.conflicts++
		fallthrough
	default:
		h.refused(id)
	}
}

// refused checks that a proposal reported as refused did not take effect.
func (h *history) refused(id string) {
	heads, err := h.store.History(context.Background(), 1000)
	for _, head := range heads {
		if err == nil && head.Proposal == id {
			h.failf("proposal %s was reported as refused, but is revision %d", id, head.Revision)
		}
	}
}

// fault brings about one failure.
func (h *history) fault(number int) {
	r := h.clock.Rand()
	length := time.Duration(500+r.IntN(7500)) * time.Millisecond
	d := h.daemons[r.IntN(len(h.daemons))]
	switch r.IntN(9) {
	case 0:
		for _, d := range h.daemons {
			if r.IntN(2) == 0 {
				d.link.cut = true
				h.clock.After(length, func() { d.link.cut = false })
			}
		}
	case 1:
		h.split(3*fleetTTL + length/4)
	case 2:
		for _, d := range h.daemons {
			d.side = r.IntN(2)
		}
	case 3:
		d.freeze(length)
	case 4:
		if d.dead {
			return
		}
		d.kill()
		address := d.keeper.Self().PeerAddress
		if r.IntN(2) == 0 {
			address = fmt.Sprintf("127.0.0.1:%d", 8000+number)
		}
		h.clock.After(length/4, func() { h.start(fmt.Sprintf("n%d", number), address) })
	case 5:
		h.platform.SetFaults(fake.Faults{Outage: true})
		h.clock.After(length, func() { h.platform.SetFaults(fake.Faults{}) })
	case 6:
		for _, d := range h.daemons {
			d.link.loseNext, d.link.breaks = r.IntN(3), r.IntN(2) == 0
			h.clock.After(length, func() { d.link.cut = false })
		}
	case 7:
		for _, d := range h.daemons {
			d.link.stale = r.IntN(2) == 0
		}
	case 8:
		h.propose(1000 + number)
	}
}

// split cuts some daemons off from the store and from the others.
func (h *history) split(length time.Duration) {
	for _, d := range h.daemons {
		if h.clock.Rand().IntN(2) == 0 {
			d.link.cut, d.side = true, 1
			h.clock.After(length, func() { d.link.cut, d.side = false, 0 })
		}
	}
}

// run plays one history and returns what broke, if anything.
func run(seed uint64) *history {
	delays := []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, slowDelay}
	n := 3 + int(seed%4)
	h := &history{
		fleet: newFleet(seed, n, delays[seed%3]), highest: map[*daemon]document.Revision{},
		accepted: map[document.Revision]string{},
	}
	h.clock.After(probeInterval, h.probe)
	h.clock.Run(2 * time.Second)
	for i := range 1 + h.clock.Rand().IntN(maxFaults) {
		at := time.Duration(h.clock.Rand().Int64N(int64(historyLength / 2)))
		h.clock.After(at, func() { h.fault(i) })
		h.clock.After(at+time.Duration(h.clock.Rand().Int64N(int64(historyLength/2))), func() { h.propose(2 * i); h.propose(2*i + 1) })
	}
	h.clock.Run(historyLength)
	if seed%healEvery == 0 {
		h.heal()
	}
	return h
}

// heal ends all faults and checks that the last revision comes into force.
func (h *history) heal() {
	h.clock.Run(4 * time.Second)
	h.platform.SetFaults(fake.Faults{})
	for _, d := range h.daemons {
		d.link.cut, d.link.stale, d.link.loseNext, d.side = false, false, 0, 0
	}
	h.clock.Run(healing)
	a, err := h.adoption(1<<60, h.clock.Now())
	if err != nil {
		h.failf("sessions: %v", err)
	}
	for _, s := range a.Lost {
		if d := h.at(s.PeerAddress); d == nil {
			h.forget(s.Daemon)
		}
	}
	if len(a.Lost) > 0 {
		h.clock.Run(healing)
	}
	head, _, err := configsync.ReadHead(context.Background(), h.platform)
	if err != nil || head.Revision == 0 {
		return
	}
	a, err = h.adoption(head.Revision, h.clock.Now())
	if h.maxDelay == slowDelay {
		return
	}
	if err != nil || !a.InForce() || len(a.Adopted) != len(h.alive()) {
		h.failf("revision %d is not in force after healing: %d of %d adopted, %d pending, %d lost: %v",
			head.Revision, len(a.Adopted), len(h.alive()), len(a.Pending), len(a.Lost), err)
	}
}

func TestHistories(t *testing.T) {
	count := histories
	if raceEnabled {
		count = historiesOnRace
	}
	first := 0
	if seed, err := strconv.Atoi(os.Getenv("HISTORY_SEED")); err == nil {
		first, count = seed, 1
	}
	var mu sync.Mutex
	var total seen
	var wg sync.WaitGroup
	for w := range historyWorkers {
		wg.Go(func() {
			for i := w; i < count; i += historyWorkers {
				h := run(uint64(first + i))
				mu.Lock()
				if h.err != nil {
					t.Errorf("seed %d: %v (repeat with HISTORY_SEED=%d)", first+i, h.err, first+i)
				}
				total.add(h.seen)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d histories: %+v", count, total)
	if count > 1 && (total.conflicts == 0 || total.unknown == 0 || total.detached == 0 || total.inForce == 0) {
		t.Errorf("the histories brought about too little: %+v", total)
	}
}

func (s *seen) add(o seen) {
	s.accepted += o.accepted
	s.conflicts += o.conflicts
	s.unknown += o.unknown
	s.detached += o.detached
	s.stopped += o.stopped
	s.inForce += o.inForce
}
