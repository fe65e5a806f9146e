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

// A history is a simulated run of a fleet of daemons with random faults and
// proposals, determined by its seed.
const (
	histories       = 10_000
	historiesOnRace = 300 // number of histories under the race detector
	historyLength   = 14 * time.Second
	maxFaults       = 9
	recoveryTime    = 6 * time.Second
	probeInterval   = 70 * time.Millisecond
	historyWorkers  = 6
	recoverEvery    = 5 // one in so many histories ends with recoverAll
	// slowDelay is a message delay for which sessions expire before renewal.
	slowDelay = 600 * time.Millisecond
)

// history is the state of one history and of its checks.
type history struct {
	*fleet
	err      error                         // first violated invariant
	inForce  document.Revision             // highest revision reported in force
	highest  map[*daemon]document.Revision // highest revision served
	accepted map[document.Revision]string  // proposal IDs
	coverage coverage
	commits  int64 // store commits at the last reading of the sessions
}

// coverage counts the situations that the histories reached, so that the test
// fails if the injected faults have no effect.
type coverage struct{ accepted, conflicts, unknown, detached, stopped, inForce int }

func (h *history) failf(format string, args ...any) {
	if h.err == nil {
		h.err = fmt.Errorf("at %s: "+format, append([]any{h.clock.Now().Format("15:04:05.000")}, args...)...)
	}
}

// probe checks the invariants every probeInterval.
func (h *history) probe() {
	h.updateInForce()
	h.checkServing()
	h.clock.After(probeInterval, h.probe)
}

// updateInForce reads the revision that would be reported to an operator as in
// force.
func (h *history) updateInForce() {
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
			h.coverage.inForce++
		}
	}
}

// checkServing checks that no daemon serves a revision older than the one in
// force, or than one that it served before.
func (h *history) checkServing() {
	for _, d := range h.daemons {
		if !d.serving() {
			h.coverage.stopped++
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
		if d.state == membership.Detached {
			h.coverage.detached++
		}
	}
}

// propose applies a document through the store link of a random daemon.
func (h *history) propose(number int) {
	alive := h.alive()
	if len(alive) == 0 {
		return
	}
	d := alive[h.clock.Rand().IntN(len(alive))]
	id := fmt.Sprintf("p%d", number)
	base := d.follower.Head().Revision
	head, err := h.apply(d.link, id, base)
	var conflict *configsync.RevisionConflictError
	var unknown *configsync.OutcomeUnknownError
	switch {
	case err == nil:
		h.coverage.accepted++
		if other, ok := h.accepted[head.Revision]; ok {
			h.failf("revision %d was accepted for %s and for %s", head.Revision, other, id)
		}
		h.accepted[head.Revision] = id
		d.follower.Check()
	case errors.As(err, &unknown):
		h.coverage.unknown++
	case errors.As(err, &conflict):
		h.coverage.conflicts++
		fallthrough
	default:
		h.checkRefused(id)
	}
}

// checkRefused checks that a proposal reported as refused was not accepted.
func (h *history) checkRefused(id string) {
	heads, err := h.store.History(context.Background(), 1000)
	for _, head := range heads {
		if err == nil && head.Proposal == id {
			h.failf("proposal %s was reported as refused, but is revision %d", id, head.Revision)
		}
	}
}

// fault injects one random fault.
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
		h.partition(3*fleetTTL + length/4)
	case 2:
		for _, d := range h.daemons {
			d.partition = r.IntN(2)
		}
	case 3:
		d.pause(length)
	case 4:
		if d.killed {
			return
		}
		d.kill()
		address := d.manager.Self().PeerAddress
		if r.IntN(2) == 0 {
			address = fmt.Sprintf("127.0.0.1:%d", 8000+number)
		}
		h.clock.After(length/4, func() { h.start(fmt.Sprintf("n%d", number), address) })
	case 5:
		h.platform.SetFaults(fake.Faults{Outage: true})
		h.clock.After(length, func() { h.platform.SetFaults(fake.Faults{}) })
	case 6:
		for _, d := range h.daemons {
			d.link.loseNext, d.link.cutAfterLoss = r.IntN(3), r.IntN(2) == 0
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

// partition disconnects random daemons from the store and from the other daemons.
func (h *history) partition(length time.Duration) {
	for _, d := range h.daemons {
		if h.clock.Rand().IntN(2) == 0 {
			d.link.cut, d.partition = true, 1
			h.clock.After(length, func() { d.link.cut, d.partition = false, 0 })
		}
	}
}

// runHistory simulates the history of a seed and checks its invariants.
func runHistory(seed uint64) *history {
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
	if seed%recoverEvery == 0 {
		h.recoverAll()
	}
	return h
}

// recoverAll ends all faults and checks that the last revision comes into force
// on all daemons. With slowDelay sessions do not last, so that the check is left
// out.
func (h *history) recoverAll() {
	h.clock.Run(4 * time.Second)
	h.platform.SetFaults(fake.Faults{})
	for _, d := range h.daemons {
		d.link.cut, d.link.stale, d.link.loseNext, d.partition = false, false, 0, 0
	}
	h.clock.Run(recoveryTime)
	a, err := h.adoption(1<<60, h.clock.Now())
	if err != nil {
		h.failf("sessions: %v", err)
	}
	for _, s := range a.Lost {
		if d := h.byAddress(s.PeerAddress); d == nil {
			h.forget(s.Daemon)
		}
	}
	if len(a.Lost) > 0 {
		h.clock.Run(recoveryTime)
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
		h.failf("revision %d is not in force after recovery: %d of %d adopted, %d pending, %d lost: %v",
			head.Revision, len(a.Adopted), len(h.alive()), len(a.Pending), len(a.Lost), err)
	}
}

// TestHistories checks the invariants of configuration changes under random
// faults: an accepted revision belongs to one proposal, a refused one is not
// accepted, and no daemon serves an older revision than the one in force.
// HISTORY_SEED runs a single history.
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
	var total coverage
	var wg sync.WaitGroup
	for w := range historyWorkers {
		wg.Go(func() {
			for i := w; i < count; i += historyWorkers {
				h := runHistory(uint64(first + i))
				mu.Lock()
				if h.err != nil {
					t.Errorf("seed %d: %v (repeat with HISTORY_SEED=%d)", first+i, h.err, first+i)
				}
				total.add(h.coverage)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d histories: %+v", count, total)
	if count > 1 && (total.conflicts == 0 || total.unknown == 0 || total.detached == 0 || total.inForce == 0) {
		t.Errorf("the histories did not reach all situations: %+v", total)
	}
}

func (c *coverage) add(o coverage) {
	c.accepted += o.accepted
	c.conflicts += o.conflicts
	c.unknown += o.unknown
	c.detached += o.detached
	c.stopped += o.stopped
	c.inForce += o.inForce
}
