package cell

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/port"
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
	out := t.engine.Take()
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
		if !j.Begun {
			depths[j.Spec.Queue]++
		}
	}
	return depths
}

// carryOut gives the engine's orders.
func (t *tenure) carryOut(out dispatch.Output, now time.Time) {
	for _, r := range out.Starts {
		t.start(r, now)
	}
	for _, r := range out.Stops {
		t.stop(r, now)
	}
	for _, s := range out.Strays {
		t.stopStray(s)
	}
	for _, th := range out.Throttles {
		t.throttle(th)
	}
	for _, q := range out.Questions {
		t.ask(q, now)
	}
}

// Time-outs of orders: twice the round trip between regions and a slow
// worker's answer.
const (
	orderTimeout = 700 * time.Millisecond
	stopTimeout  = 900 * time.Millisecond
)

func (t *tenure) start(r *dispatch.Run, now time.Time) {
	task := r.Task
	order := port.StartOrder{
		Task: task.ID.String(), Attempt: r.Attempt, Payload: task.Job.Spec.Payload,
		Checkpoint: task.Checkpoint, Ticket: r.Ticket, Epoch: t.epoch, NotAfterMS: r.NotAfterMS(),
	}
	target := r.Worker.Target()
	observe(t.c.gauges.handOver, now.Sub(task.ReadySince(now)))
	if r.First {
		observe(t.c.gauges.firstStart, now.Sub(task.Job.Arrived()))
	}
	t.log.WithFields(log.Fields{"event": "task_start", "task": order.Task, "attempt": order.Attempt, "worker": target.ID,
		"resumed": order.Checkpoint != "", "waited_ms": now.Sub(task.ReadySince(now)).Milliseconds()}).Info("ordered")
	do(t, orderTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Workers.Start(ctx, target, order)
	}, func(clock int64, err error) {
		if err != nil {
			t.log.WithFields(log.Fields{"event": "task_start_failed", "task": order.Task, "attempt": order.Attempt, "worker": target.ID}).WithError(err).Info("start")
		}
		t.engine.Started(r, clock, err, now, t.c.Now())
		t.orderAnswered(err)
		t.kick()
	})
}

// orderAnswered ends the tenure when a worker knows a higher epoch.
func (t *tenure) orderAnswered(err error) {
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedEpoch {
		t.c.lose("a worker knows a higher epoch")
	}
}

func (t *tenure) stop(r *dispatch.Run, now time.Time) {
	name, target := r.Task.ID.String(), r.Worker.Target()
	t.log.WithFields(log.Fields{"event": "task_stop", "task": name, "attempt": r.Attempt, "worker": target.ID, "reason": string(r.StopReason())}).Info("ordered")
	do(t, stopTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.c.Workers.Stop(ctx, target, name, r.Attempt, t.epoch)
	}, func(_ struct{}, err error) {
		t.engine.Stopped(r, err, now, t.c.Now())
		t.orderAnswered(err)
		t.kick()
	})
}

// stopStray ends a run that no open task has. It is listed again, and stopped
// again, if this order fails.
func (t *tenure) stopStray(s dispatch.Stray) {
	target := s.Worker.Target()
	t.log.WithFields(log.Fields{"event": "stray_stop", "task": s.Task, "attempt": s.Attempt, "worker": target.ID}).Info("ordered")
	do(t, stopTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.c.Workers.Stop(ctx, target, s.Task, s.Attempt, t.epoch)
	}, func(_ struct{}, err error) {
		t.orderAnswered(err)
	})
}

func (t *tenure) throttle(th dispatch.Throttle) {
	r := th.Run
	name, target := r.Task.ID.String(), r.Worker.Target()
	t.log.WithFields(log.Fields{"event": "task_throttle", "task": name, "attempt": r.Attempt, "worker": target.ID, "percent": th.Percent}).Info("ordered")
	do(t, orderTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.c.Workers.Throttle(ctx, target, name, r.Attempt, t.epoch, th.Percent)
	}, func(_ struct{}, err error) {
		t.engine.Throttled(r, th.Percent, err, t.c.Now())
		t.orderAnswered(err)
	})
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

// pollDirectory reads the list of workers.
func (t *tenure) pollDirectory(now time.Time) {
	if t.directoryBusy || now.Sub(t.directoryAt) < directoryPoll {
		return
	}
	t.directoryBusy, t.directoryAt = true, now
	do(t, storeTimeout, t.c.Directory.List, func(list []port.WorkerEntry, err error) {
		t.directoryBusy = false
		t.c.storeAnswered(err, t.c.Now())
		if err == nil {
			t.engine.SetWorkers(list, t.c.Now())
			t.kick()
		}
	})
}

// changeCursor is how far the changes of a table have been read.
type changeCursor struct {
	version int64
	busy    bool
	at      time.Time
	rescan  bool
}

// pollChanges reads what entries have stored and could not tell.
func (t *tenure) pollChanges(now time.Time) {
	for table, cursor := range t.changes {
		if cursor.busy || now.Sub(cursor.at) < changesPoll {
			continue
		}
		cursor.busy, cursor.at = true, now
		if cursor.rescan {
			t.rescan(table, cursor)
			continue
		}
		do(t, storeTimeout, func(ctx context.Context) (port.Page, error) {
			return t.c.Store.Changes(ctx, table, cursor.version, 0)
		}, func(page port.Page, err error) {
			cursor.busy = false
			t.c.storeAnswered(err, t.c.Now())
			var refused *port.RefusedError
			if errors.As(err, &refused) && refused.Reason == port.RefusedOld {
				t.log.WithFields(log.Fields{"event": "history_lost", "table": table, "version": cursor.version}).Warn("the table is read whole")
				cursor.rescan = true
				cursor.at = time.Time{}
			}
			if err == nil {
				cursor.version = max(cursor.version, page.Version)
				t.takeRows(table, page.Rows)
			}
		})
	}
}

// rescan reads a table whole, because the store no longer knows its changes.
func (t *tenure) rescan(table string, cursor *changeCursor) {
	do(t, 2*storeTimeout, func(ctx context.Context) (port.Page, error) {
		return t.c.scanJobs(ctx, table)
	}, func(page port.Page, err error) {
		cursor.busy = false
		t.c.storeAnswered(err, t.c.Now())
		if err == nil {
			cursor.rescan = false
			cursor.version = max(cursor.version, page.Version)
			t.takeRows(table, page.Rows)
		}
	})
}

// takeRows takes in rows of jobs or cancellations.
func (t *tenure) takeRows(table string, rows []port.Row) {
	now := t.c.Now()
	for _, row := range rows {
		if row.Version == 0 || row.Partition != t.c.jobPartition(row.Key) {
			continue
		}
		if table == tableCancels {
			t.cancel(row.Key)
			continue
		}
		if spec, ok := t.readSpec(row); ok {
			t.add(spec, now)
		}
	}
	t.kick()
}

// readSpec reads a job's row. It reports false for one that has ended or cannot
// be read.
func (t *tenure) readSpec(row port.Row) (job.Spec, bool) {
	record, err := decode[jobRecord](row)
	if err != nil {
		t.log.WithField("event", "job_row_unreadable").WithError(err).Error("job")
	}
	if err != nil || record.Spec == nil || record.Spec.ID != row.Key {
		return job.Spec{}, false
	}
	return *record.Spec, true
}
