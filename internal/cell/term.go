package cell

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/job"
)

// term is a period in which this daemon owns the cell, and the owner's state in
// it. It belongs to the control loop.
type term struct {
	c *Cell
	// epoch is immutable, and may be read on any goroutine.
	epoch  int64
	record ownerRecord
	// version is the version of the owner's row after the last commit.
	version int64
	engine  *dispatch.Engine
	log     log.Interface

	startedAt time.Time
	loaded    bool // the state of former owners has been read from the store
	recovered bool // every worker has answered in this epoch, or can no longer run tasks
	ended     bool
	releasing bool
	abandoned bool // the state of former owners cannot be read; the cell is to be released
	// unconfirmed is set after a suspension or a loss of contact with the store, until a
	// commit confirms that this daemon still owns the cell. While it is set, no tasks
	// are planned.
	unconfirmed bool
	// suspended is set after a suspension of the VM, until a commit that was sent after
	// it. The monotonic clock stood still, so that no lease may be renewed.
	suspended bool

	// listings is the context of the listings in flight, which stopListings cancels.
	listings     context.Context //nolint:containedctx // it ends with the term or a release, not with a call
	stopListings context.CancelFunc
	// handoverNotBefore is until when the cell is not released by choice, and askingSuccessor is set
	// while a daemon is asked whether it takes the cell.
	handoverNotBefore time.Time
	askingSuccessor   bool

	// afterRelease is set if the previous owner released the cell.
	afterRelease bool
	// runsRecorded is set if the previous owner has recorded all runs when it released the cell.
	runsRecorded bool
	candidates   candidates
	claims       loadClaims
	mapKeeper    mapKeeper
	mover        mover
	transfers    transferrer
	queueKeeper  queueKeeper

	planScheduled bool // a call of plan is posted or delayed
	// planNotBefore is the earliest time of the next plan between ticks.
	planNotBefore time.Time
	heartbeats    map[string]*workerHeartbeat
	// inherited are the leases to renew until the state of former owners is known.
	inherited inheritedLeases

	committer
	roster    roster
	compactor compactor
	liveness  livenessCheck

	// cancelled holds the IDs of cancelled jobs that the engine does not know,
	// either not yet or no longer.
	cancelled map[string]bool

	deferred deferredJobs

	// evacuated are the data centres whose evacuation has been logged.
	evacuated map[string]bool

	directoryPolledAt     time.Time
	directoryReadInFlight bool
	changes               map[string]*changeCursor
	cancelReads           cancelReads
	// cancelScan is set while cancellations are read by partition, which last began at
	// cancelScannedAt.
	cancelScan      bool
	cancelScannedAt time.Time
	// jobsReadAt is the start of the last successful read of the stored jobs.
	jobsReadAt time.Time
	// waitsObservedAt is when the interrupted services were last counted, and
	// recoveryWaitLoggedAt when the workers that the recovery waits for were last logged.
	waitsObservedAt, recoveryWaitLoggedAt time.Time
}

func newTerm(c *Cell, record ownerRecord, version int64, now time.Time) *term {
	t := &term{
		c: c, epoch: record.Epoch, record: record, version: version,
		engine:     dispatch.NewEngine(engineOptions(c.Engine)),
		log:        c.Log.WithFields(log.Fields{"cell": c.Number, "epoch": record.Epoch}),
		startedAt:  now,
		candidates: candidates{},
		claims:     loadClaims{},
		mover:      newMover(),
		transfers:  newTransferrer(),
		heartbeats: map[string]*workerHeartbeat{},
		inherited:  inheritedLeases{},

		cancelled: map[string]bool{},
		deferred:  deferredJobs{queues: map[string]string{}},
		evacuated: map[string]bool{},
		changes: map[string]*changeCursor{
			c.tables.jobs: {}, c.tables.cancels: {},
		},
	}
	if c.group != nil {
		t.changes[tableHosted] = &changeCursor{}
	}
	t.committer = newCommitter(now)
	t.listings, t.stopListings = context.WithCancel(context.Background())
	t.roster = newRoster()
	t.queueKeeper.removedAt = map[string]time.Time{}
	t.cancelReads.partitions = map[string]time.Time{}
	t.compactor = newCompactor(c)
	t.liveness.absences = map[string]absence{}
	t.engine.SetQueues(c.queues(), c.configVersion())
	return t
}

// engineOptions returns the options of an owner's engine.
func engineOptions(o dispatch.Options) dispatch.Options {
	o.RecordedWorkersOnly = true
	return o
}

// runAsync runs work on another goroutine with a timeout, and then done on the
// control loop. done is not called if the term has ended.
func runAsync[T any](t *term, timeout time.Duration, work func(ctx context.Context) (T, error), done func(T, error)) {
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

// stable reports whether the term has lasted long enough after its recovery to show
// that this daemon can keep the cell.
func (t *term) stable(now time.Time) bool {
	return t.recovered && now.Sub(t.startedAt) > stableTermAfter
}

func (t *term) setQueues() {
	t.engine.SetQueues(t.c.queues(), t.c.configVersion())
	t.queueKeeper.checkedAt, t.urgent = time.Time{}, true
	t.schedulePlan()
}

// unconfirmedAfter is how long an owner starts tasks after it has sent its last
// successful commit: no daemon replaces it before staleAfter.
const unconfirmedAfter = staleAfter

// checkOwnershipConfirmed stops planning while another daemon may have taken over
// without this daemon's knowledge.
func (t *term) checkOwnershipConfirmed(now time.Time) {
	if now.Sub(t.commitSentAt) > unconfirmedAfter && !t.unconfirmed {
		t.unconfirmed = true
		t.log.WithFields(log.Fields{"event": "owner_alone", "committed_ms": now.Sub(t.committedAt).Milliseconds()}).
			Warn("the ownership is unconfirmed; starting no tasks until a commit succeeds")
	}
}

// leaseAt returns the duration of a lease that is granted now; it is not positive if
// none may be granted. A successor acquires the cell no earlier than staleAfter after
// the last commit was sent, and waits for the longest lease before it starts tasks that
// may run on a worker that it cannot reach. No lease may last longer than that.
func (t *term) leaseAt(now time.Time) time.Duration {
	if t.suspended {
		return 0
	}
	end := t.commitSentAt.Add(staleAfter + t.c.Engine.MaxLease)
	if !t.releaseSentAt.IsZero() { // a successor may acquire the cell at once
		end = t.releaseSentAt.Add(t.c.Engine.MaxLease)
	}
	return min(t.c.Lease, end.Sub(now))
}

// tick runs the owner's periodic work.
func (t *term) tick(now time.Time) {
	if t.releasing || t.abandoned {
		t.retryRelease(now)
	} else {
		t.handOver(now)
	}
	t.renewInherited(now)
	if t.loaded && !t.releasing {
		t.pollDirectory(now)
		t.pollChanges(now)
		t.scanCancels(now)
		t.checkRecovered(now)
		t.pollLiveness(now)
		t.compactRows(now)
		t.updateMap(now)
		t.moveJobs(now)
		t.transferTasks(now)
		t.readDeferred(now)
	}
	if t.loaded {
		t.c.jobStates.confirm(now, t.depths(), t.jobsReadAt)
		t.c.jobStates.setMemory(t.memoryPercent(), now)
	}
	t.plan()
}

// Pause after a plan, as a multiple of the plan's duration up to a maximum, so
// that requests and their responses get most of the processor time. While the control
// loop is overloaded, the pause is at least overloadedPlanPause, so that one plan
// handles several events.
const (
	planPauseFactor     = 2
	maxPlanPause        = 40 * time.Millisecond
	overloadedPlanPause = 20 * time.Millisecond
)

// planPause returns the pause after a plan that took a time.
func planPause(took time.Duration, overloaded bool) time.Duration {
	pause := planPauseFactor * took
	if overloaded {
		pause = max(pause, overloadedPlanPause)
	}
	return min(maxPlanPause, pause)
}

// schedulePlan schedules a plan after the functions in the control loop's queue,
// and not before planNotBefore.
func (t *term) schedulePlan() {
	if t.planScheduled {
		return
	}
	run := func() {
		t.planScheduled = false
		if !t.ended {
			t.plan()
		}
	}
	delay := t.planNotBefore.Sub(t.c.Now())
	if delay <= 0 {
		t.planScheduled = t.c.Loop.Post(run)
		return
	}
	t.planScheduled = true
	t.c.Loop.Go(func(ctx context.Context) func() {
		if err := sleep(ctx, delay); err != nil {
			return func() {}
		}
		return run
	})
}

// plan runs the engine and sends the requests that it outputs.
func (t *term) plan() {
	now := t.c.Now()
	if !t.releaseSentAt.IsZero() && t.committing {
		return // nothing is ordered after the last commit
	}
	t.c.checkStall(now)
	t.checkOwnershipConfirmed(now)
	defer func() {
		done := t.c.Now()
		t.planNotBefore = done.Add(planPause(done.Sub(now), t.c.loopDelay.overloaded))
	}()
	if t.loaded && !t.releasing && !t.unconfirmed {
		t.limitStarts(now)
		t.engine.Plan(now)
	}
	out := t.engine.TakeOutput()
	for j, ended := range out.Changed {
		t.markDirty(j, ended)
	}
	t.observeLost(out.Lost)
	t.observeGivenUp(out.GivenUp)
	t.observeCopies(out.Copies, out.Races)
	t.observeReservations(out.Reservations)
	for _, j := range out.Finished {
		if j.Hosted() {
			t.finishHosted(j)
			continue
		}
		t.addFinal(j)
	}
	t.observeStarved(out.Starved, now)
	t.observeWaits(now)
	t.publishStates(out)
	t.sendRequests(out, now)
	t.heartbeatAll(now)
	t.commitIfDue(now)
}

func (t *term) publishStates(out dispatch.Output) {
	for j := range out.Changed {
		if j.Hosted() {
			continue // its home cell does
		}
		t.c.jobStates.set(j.Spec.ID, j.State, t.c.Now())
	}
}

// depths returns the number of jobs that have not started, by queue. Empty queues
// are left out.
func (t *term) depths() map[string]int {
	depths := maps.Clone(t.engine.Unstarted())
	t.countDepartures(depths, t.c.Now())
	t.deferred.count(depths)
	return depths
}

// acceptStored adds jobs and cancellations that a daemon has stored.
func (t *term) acceptStored(jobs []storedJob, cancelled []string) {
	if !t.loaded {
		return // included in the rows that are being read, or in the changes after them
	}
	now := t.c.Now()
	for _, stored := range jobs {
		if !t.hasLeft(stored) {
			t.add(stored.Spec, now)
		}
	}
	for _, id := range cancelled {
		t.cancel(id, "notification")
	}
	t.schedulePlan()
}

// add adds an accepted job to the engine. It returns nil if the job has ended or
// was cancelled, or if there is no memory for it yet.
func (t *term) add(spec job.Spec, now time.Time) *dispatch.Job {
	if j := t.engine.Job(spec.ID); j != nil {
		return j
	}
	if !t.cancelled[spec.ID] && !t.hasEnded(spec.ID, now) && t.deferJob(spec) {
		return nil
	}
	if t.deferred.has(spec.ID) {
		return t.addDeferred(spec, now)
	}
	return t.addAlways(spec, now)
}

// addAlways is like add. The job is added even if there is no memory for it.
func (t *term) addAlways(spec job.Spec, now time.Time) *dispatch.Job {
	if j := t.engine.Job(spec.ID); j != nil {
		return j
	}
	if t.hasEnded(spec.ID, now) {
		return nil // the next commit deletes its progress row
	}
	j := t.engine.Add(spec, now, t.c.Wall().UnixMilli())
	if j == nil {
		return nil
	}
	t.log.WithFields(log.Fields{"event": "job_known", "job": spec.ID, "queue": spec.Queue, "steps": len(spec.Steps),
		"age_ms": t.c.Wall().UnixMilli() - spec.AcceptedUnixMS}).Info("accepted")
	if j.Spec.QueueSettings == nil {
		t.c.instruments.jobsWithoutSettings.Inc(1)
		t.log.WithFields(log.Fields{"event": "job_without_settings", "job": spec.ID, "queue": spec.Queue}).Error("the settings of the job's queue are not known; it waits for a configuration with the queue")
	}
	t.c.jobStates.set(spec.ID, j.State, now)
	if t.cancelled[spec.ID] {
		delete(t.cancelled, spec.ID)
		t.cancel(spec.ID, "earlier")
		return nil
	}
	return j
}

// hasEnded reports whether the job has ended, committed or not.
func (t *term) hasEnded(id string, now time.Time) bool {
	return t.uncommittedFinal[id] != nil || t.knownToHaveEnded(id, now)
}

// knownToHaveEnded reports whether an owner has committed the job's end. A cancellation
// may only be stored: its job is added, to stop its runs and to commit the outcome.
func (t *term) knownToHaveEnded(id string, now time.Time) bool {
	state, ok := t.c.jobStates.state(id, now)
	return ok && state.Final() && state != job.Cancelled
}

// cancel applies a stored cancellation. source tells how the owner has learned of it.
func (t *term) cancel(id, source string) {
	if t.engine.Job(id) == nil {
		t.cancelDeferred(id)
		t.cancelled[id] = true // the job's row may be read later
		return
	}
	if t.engine.Cancel(id) {
		t.log.WithFields(log.Fields{"event": "job_cancel", "job": id, "source": source}).Info("cancelled by the caller")
	}
}
