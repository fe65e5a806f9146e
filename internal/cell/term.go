package cell

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/job"
)

// tenure is the time for which this daemon owns the cell. It belongs to the
// control loop.
type tenure struct {
	c *Cell
	// epoch never changes, and may be read from any goroutine.
	epoch  int64
	record ownerRecord
	// version is that of the ownership row after the last commit.
	version int64
	engine  *dispatch.Engine
	log     log.Interface

	begun     time.Time
	loaded    bool // the jobs of former owners are known
	recovered bool // every worker has been heard of, or can run nothing
	ended     bool
	releasing bool
	// unconfirmed is set after a pause, until a commit shows that this daemon
	// still owns the cell. Meanwhile it gives no orders.
	unconfirmed bool

	// followedAt is when a follower last asked for news, or when the tenure began.
	followedAt time.Time

	pumping bool // a pump is posted
	// restUntil is when the next plan may be made out of turn.
	restUntil time.Time
	talks     map[string]*talk

	committer
	janitor  janitor
	suspects suspects

	// cancelled are jobs that are not known, or not any more.
	cancelled map[string]bool

	directoryAt   time.Time
	directoryBusy bool
	changes       map[string]*changeCursor
	prunedAt      time.Time
}

func newTenure(c *Cell, record ownerRecord, version int64, now time.Time) *tenure {
	t := &tenure{
		c: c, epoch: record.Epoch, record: record, version: version,
		engine: dispatch.NewEngine(c.Engine),
		log:    c.Log.WithField("epoch", record.Epoch),
		begun:  now, followedAt: now,
		talks: map[string]*talk{},

		cancelled: map[string]bool{},
		changes: map[string]*changeCursor{
			tableJobs: {}, tableCancels: {},
		},
	}
	t.committer = newCommitter(now)
	t.janitor = newJanitor(c)
	t.suspects.absent = map[string]int{}
	t.engine.SetQueues(c.queues())
	return t
}

// do runs work off the control loop and then done on it, unless the tenure has
// ended meanwhile.
func do[T any](t *tenure, timeout time.Duration, work func(ctx context.Context) (T, error), done func(T, error)) {
	control.Async(t.c.Loop, func(ctx context.Context) (T, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return work(ctx)
	}, func(result T, err error) {
		if !t.ended {
			done(result, err)
		}
	})
}

func (t *tenure) setQueues() {
	t.engine.SetQueues(t.c.queues())
	t.kick()
}

// aloneAfter is how long an owner without a commit and without a follower goes
// on: followers ask four times a second, and replace an owner that they do not
// reach after staleAfter.
const aloneAfter = staleAfter

// checkAlone stops orders while this daemon may have been replaced without
// knowing.
func (t *tenure) checkAlone(now time.Time) {
	alone := now.Sub(t.followedAt) > aloneAfter && now.Sub(t.committedAt) > aloneAfter
	if alone && !t.unconfirmed {
		t.unconfirmed = true
		t.log.WithFields(log.Fields{"event": "owner_alone", "committed_ms": now.Sub(t.committedAt).Milliseconds(),
			"followed_ms": now.Sub(t.followedAt).Milliseconds()}).Warn("no orders until a commit succeeds")
	}
}

// tick does what is due.
func (t *tenure) tick(now time.Time) {
	t.checkAlone(now)
	if t.loaded && !t.releasing {
		t.pollDirectory(now)
		t.pollChanges(now)
		t.checkRecovered(now)
		t.pollSuspects(now)
		t.sweep(now)
	}
	if t.loaded && now.Sub(t.prunedAt) > time.Minute {
		t.prunedAt = now
		t.c.news.prune(now)
	}
	t.c.news.refresh(t.depths(), now)
	t.pump()
}

// Pace of planning. A plan that takes long is followed by a pause, so that
// orders and their answers get most of the processor.
const (
	planRest    = 2
	maxPlanRest = 40 * time.Millisecond
)

// kick lets the engine plan soon: after what is in the control loop's queue.
func (t *tenure) kick() {
	if t.pumping {
		return
	}
	run := func() {
		t.pumping = false
		if !t.ended {
			t.pump()
		}
	}
	rest := t.restUntil.Sub(t.c.Now())
	if rest <= 0 {
		t.pumping = t.c.Loop.Post(run)
		return
	}
	t.pumping = true
	t.c.Loop.Go(func(ctx context.Context) func() {
		if err := pause(ctx, rest); err != nil {
			return func() {}
		}
		return run
	})
}

// pump plans and carries out what the engine wants.
func (t *tenure) pump() {
	now := t.c.Now()
	defer func() {
		done := t.c.Now()
		t.restUntil = done.Add(min(maxPlanRest, planRest*done.Sub(now)))
	}()
	if t.loaded && !t.releasing && !t.unconfirmed {
		t.engine.Plan(now)
	}
	out := t.engine.TakeOutput()
	for j, ended := range out.Changed {
		t.toCommit(j, ended)
	}
	for _, j := range out.Finished {
		t.finished(j)
	}
	t.announceBegun(out)
	t.carryOut(out, now)
	t.converseAll(now)
	t.commitIfDue(now)
}

func (t *tenure) announceBegun(out dispatch.Output) {
	for j := range out.Changed {
		t.c.news.announce(j.Spec.ID, j.State, t.c.Now())
	}
}

// depths returns the number of jobs that have not begun, by queue, without
// queues that have none.
func (t *tenure) depths() map[string]int {
	depths := map[string]int{}
	for _, j := range t.engine.Jobs() {
		if !j.Started {
			depths[j.Spec.Queue]++
		}
	}
	return depths
}

// accept takes in jobs and cancellations that entries have stored.
func (t *tenure) accept(specs []job.Spec, cancelled []string) {
	if !t.loaded {
		return // they are among the rows that are being read, or change after
	}
	now := t.c.Now()
	for _, spec := range specs {
		t.add(spec, now)
	}
	for _, id := range cancelled {
		t.cancel(id)
	}
	t.kick()
}

// add takes in an accepted job, unless it has ended already.
func (t *tenure) add(spec job.Spec, now time.Time) *dispatch.Job {
	if j := t.engine.Job(spec.ID); j != nil {
		return j
	}
	if state, ok := t.c.news.state(spec.ID, now); t.ready[spec.ID] != nil || ok && state.Final() {
		return nil // it has ended; its row is gone with the next commit
	}
	j := t.engine.Add(spec, now, t.c.Wall().UnixMilli())
	if j == nil {
		return nil
	}
	t.log.WithFields(log.Fields{"event": "job_known", "job": spec.ID, "queue": spec.Queue, "steps": len(spec.Steps),
		"age_ms": t.c.Wall().UnixMilli() - spec.AcceptedUnixMS}).Info("accepted")
	t.c.news.announce(spec.ID, j.State, now)
	if t.cancelled[spec.ID] {
		delete(t.cancelled, spec.ID)
		t.cancel(spec.ID)
		return nil
	}
	return j
}

// cancel takes in a stored cancellation.
func (t *tenure) cancel(id string) {
	if t.engine.Job(id) == nil {
		t.cancelled[id] = true // its job may be read after it
		return
	}
	if t.engine.Cancel(id) {
		t.log.WithFields(log.Fields{"event": "job_cancel", "job": id}).Info("cancelled by its caller")
	}
}
