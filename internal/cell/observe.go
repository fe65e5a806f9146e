package cell

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
)

// storeAnswered reports whether the result of a call shows that the store is
// available.
func storeAnswered(err error) bool {
	var refused *port.RefusedError
	return err == nil || errors.As(err, &refused) && refused.Reason == port.RefusedStale
}

// logStoreResult logs the first failed call to the store after a successful one,
// and the first successful call after a failed one.
func (c *Cell) logStoreResult(err error, now time.Time) {
	fields := log.Fields{"event": "store_regained"}
	if !c.storeLastContact.IsZero() {
		fields["since_ms"] = now.Sub(c.storeLastContact).Milliseconds()
	}
	if storeAnswered(err) {
		if c.storeFailing {
			c.Log.WithFields(fields).Info("the store is available again")
		}
		return
	}
	if c.storeFailing {
		fields["event"] = "store_failed"
		c.Log.WithFields(fields).WithError(err).Debug("call to the store failed")
		return
	}
	fields["event"] = "store_lost"
	c.Log.WithFields(fields).WithError(err).Warn("call to the store failed; the store counts as lost until a call succeeds")
}

// observeOwnership updates the gauges of the ownership.
func (c *Cell) observeOwnership() {
	if !c.isLead() {
		return // the gauges are those of the lead cell
	}
	m, t := c.instruments, c.term
	m.epoch.Update(c.owner.Epoch)
	m.owner.Update(gaugeValue(t != nil))
	m.loaded.Update(gaugeValue(t != nil && t.loaded))
	m.recovered.Update(gaugeValue(t != nil && t.recovered))
}

func gaugeValue(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// observeTick records how late a tick of the control loop is.
func (c *Cell) observeTick(now time.Time) {
	if !c.lastTick.IsZero() {
		observe(c.instruments.tickLag, max(0, now.Sub(c.lastTick)-tickInterval))
	}
}

// observeEnd counts the term if it has ended before it has recovered.
func (t *term) observeEnd() {
	if !t.recovered {
		t.c.instruments.termsUnrecovered.Inc(1)
	}
}

// observeLost logs and counts the runs that were given up.
func (t *term) observeLost(lost []dispatch.LostRun) {
	for _, l := range lost {
		t.c.instruments.countLost(l.Reason)
		t.log.WithFields(log.Fields{"event": "task_lost", "task": l.Run.Task.ID.String(), "attempt": l.Run.Attempt,
			"worker": l.Run.Worker.Entry.ID, "reason": string(l.Reason), "crashes": l.Crashes}).Info("run given up; its worker has not listed its end")
	}
}

// observeGivenUp logs and counts the tasks that were given up because workers crashed
// under them.
func (t *term) observeGivenUp(tasks []*dispatch.Task) {
	for _, task := range tasks {
		t.c.instruments.tasksGivenUp.Inc(1)
		t.log.WithFields(log.Fields{"event": "task_given_up", "task": task.ID.String(), "crashes": len(task.Crashes), "attempt": task.Attempt}).
			Warn("workers crashed under the task again and again; its job fails")
	}
}

// observeCopies logs and counts the copies whose start is requested, and the tasks of which
// one of two runs is done.
func (t *term) observeCopies(started []dispatch.StartedCopy, races []dispatch.Race) {
	for _, c := range started {
		t.c.instruments.copiesStarted.Inc(1)
		t.log.WithFields(log.Fields{"event": "task_copy", "task": c.Run.Task.ID.String(), "attempt": c.Run.Attempt, "worker": c.Run.Worker.Entry.ID,
			"first_attempt": c.First.Attempt, "first_worker": c.First.Worker.Entry.ID, "reason": string(c.Reason), "gain_ms": c.Gain.Milliseconds()}).
			Info("starting a second run of a task")
	}
	for _, r := range races {
		if r.Winner.IsCopy() {
			t.c.instruments.copiesWon.Inc(1)
		}
		t.log.WithFields(log.Fields{"event": "task_copy_ended", "task": r.Task.ID.String(), "attempt": r.Winner.Attempt,
			"worker": r.Winner.Worker.Entry.ID, "copy_won": r.Winner.IsCopy()}).Info("one of two runs is done; the other is stopped")
	}
}

// observeStarved logs and counts the interrupted service tasks that no worker can run, with
// what keeps them from how many workers.
func (t *term) observeStarved(tasks []dispatch.StarvedTask, now time.Time) {
	for _, s := range tasks {
		reasons := make([]string, 0, len(s.Workers))
		for _, o := range s.Reasons() {
			t.c.instruments.obstacleCounter(o).Inc(int64(s.Workers[o]))
			reasons = append(reasons, fmt.Sprintf("%s:%d", o, s.Workers[o]))
		}
		demand := s.Task.Step.Resources
		t.log.WithFields(log.Fields{"event": "service_starved", "task": s.Task.ID.String(), "waited_ms": now.Sub(s.Task.ReadySince(now)).Milliseconds(),
			"cpu": demand.MilliCPU, "memory_mb": demand.MemoryMB, "most_free_cpu": s.MostFree.MilliCPU, "most_free_memory_mb": s.MostFree.MemoryMB,
			"workers": strings.Join(reasons, ",")}).WithFields(t.transferFields(s.Task, now)).
			Warn("no worker has capacity for an interrupted service task, even without its other tasks")
	}
}

// interruptedInterval is the interval at which the interrupted service tasks are counted.
const interruptedInterval = time.Second

// observeWaits updates the gauge of the interrupted service tasks.
func (t *term) observeWaits(now time.Time) {
	if !t.loaded || now.Sub(t.waitsObservedAt) < interruptedInterval {
		return
	}
	t.waitsObservedAt = now
	t.c.instruments.interrupted.Update(int64(t.engine.Interrupted()))
}

// recoveryWaitInterval is the interval at which an owner logs which workers it waits for.
const recoveryWaitInterval = time.Second

// observeRecoveryWait logs the workers that have not answered this owner and may run tasks of
// a former one, which are not started elsewhere before.
func (t *term) observeRecoveryWait(now time.Time) {
	if now.Sub(t.recoveryWaitLoggedAt) < recoveryWaitInterval || now.Sub(t.startedAt) < recoveryWaitInterval {
		return
	}
	t.recoveryWaitLoggedAt = now
	workers := t.engine.UncontactedWorkers()
	named := workers[:min(len(workers), maxNamedWorkers)]
	t.log.WithFields(log.Fields{"event": "recovery_waits", "workers": strings.Join(named, ","), "count": len(workers),
		"since_ms": now.Sub(t.startedAt).Milliseconds(), "interrupted": t.engine.Interrupted()}).
		Warn("workers that may run tasks of a former owner have not answered; its tasks are not started elsewhere")
}

// maxNamedWorkers bounds the workers that a line of the log names.
const maxNamedWorkers = 8

// observeReservations logs and counts the advance reservations that were made, used and given
// up.
func (t *term) observeReservations(events []dispatch.ReservationEvent) {
	for _, r := range events {
		fields := log.Fields{"event": "reservation_made", "task": r.Task.ID.String(), "workers": strings.Join(r.Workers, ",")}
		if r.End == "" {
			t.c.instruments.reservationsMade.Inc(1)
			fields["expected_in_ms"] = r.ExpectedIn.Milliseconds()
			t.log.WithFields(fields).Info("workers reserved for a large task that fits nowhere")
			continue
		}
		t.c.instruments.reservationEndCounter(r.End).Inc(1)
		fields["event"], fields["reason"], fields["held_ms"] = "reservation_ended", string(r.End), r.Held.Milliseconds()
		t.log.WithFields(fields).Info("workers are no longer reserved for the task")
	}
}

// observeListing records the result of a listing.
func (m *instruments) observeListing(latency time.Duration, err error) {
	if err != nil {
		m.listingsFailed.Inc(1)
		return
	}
	observe(m.listingLatency, latency)
}

// unknownAge is the gauge of the depths' age while there are none.
const unknownAge = -1

// registerDepthAge registers the age of the queue depths, which is computed when it is
// read.
func (c *Cell) registerDepthAge() {
	c.instruments.registry.GetOrRegister("cell.depth_age_ms", metrics.NewFunctionalGauge(func() int64 {
		age, ok := c.jobStates.depthAge(c.Now())
		if !ok {
			return unknownAge
		}
		return age.Milliseconds()
	}))
}

// depthAge returns the age of the queue depths, and whether there are any.
func (cache *jobStateCache) depthAge(now time.Time) (time.Duration, bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return now.Sub(cache.depthsAt), !cache.depthsAt.IsZero()
}

// observeDepth counts and logs the answer to a request for a queue's depth.
func (c *Cell) observeDepth(queue string, pending int, valid bool, now time.Time) {
	view := c.View()
	fields := log.Fields{"event": "depth_answered", "queue": queue, "pending": pending, "epoch": view.Epoch, "owner": view.Owner}
	if age, ok := c.jobStates.depthAge(now); ok {
		fields["age_ms"] = age.Milliseconds()
	}
	if valid {
		c.instruments.depthsAnswered.Inc(1)
		c.Log.WithFields(fields).Debug("queue depth given")
		return
	}
	c.instruments.depthsRefused.Inc(1)
	fields["event"] = "depth_refused"
	c.Log.WithFields(fields).Info("queue depth refused: the last one is too old")
}

// Reasons of an acquisition of the cell.
const (
	reasonNoOwner           = "no_owner"
	reasonReleased          = "released"
	reasonOwnEarlierBoot    = "own_earlier_boot"
	reasonOwnerUnreachable  = "owner_unreachable"
	reasonOwnerCannotCommit = "owner_cannot_commit"
)

// acquisitionReason returns why the cell needs a new owner, given that it does.
func (c *Cell) acquisitionReason(now time.Time) string {
	switch {
	case c.ownerVersion == 0:
		return reasonNoOwner
	case c.owner.Released:
		return reasonReleased
	case c.owner.Name == c.Self.Name:
		return reasonOwnEarlierBoot
	case c.link.healthy(now):
		return reasonOwnerCannotCommit
	}
	return reasonOwnerUnreachable
}

// logAcquisition logs why this daemon tries to acquire the cell.
func (c *Cell) logAcquisition(now time.Time) {
	fields := log.Fields{
		"event": "acquire_begin", "reason": c.acquisitionReason(now),
		"previous": c.owner.Name, "previous_epoch": c.owner.Epoch,
		"unchanged_ms": c.ownerReadAt.Sub(c.ownerVersionSeenAt).Milliseconds(),
	}
	if !c.link.repliedAt.IsZero() {
		fields["replied_ms"] = now.Sub(c.link.repliedAt).Milliseconds()
	}
	c.Log.WithFields(fields).Info("acquiring the cell")
}
