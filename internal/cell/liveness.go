package cell

import (
	"time"

	"github.com/apex/log"
)

// Intervals of the liveness check of unresponsive workers.
const (
	// livenessCheckAfter is how long a worker must be unresponsive before the
	// state of its VM is read. It exceeds the time to retry after a lost response.
	livenessCheckAfter = 400 * time.Millisecond
	livenessPoll       = 500 * time.Millisecond
	// absenceThreshold is the number of consecutive reads from which a worker must
	// be missing, because the list of VMs may lag.
	absenceThreshold = 2
)

// livenessCheck counts, by worker ID, the consecutive reads of the list of VMs
// from which the worker was missing.
type livenessCheck struct {
	inFlight bool
	polledAt time.Time
	absences map[string]int
}

// pollLiveness reads whether the VMs of unresponsive workers are up. A VM that is
// not up runs no tasks, even if the worker's lease has not expired.
func (t *term) pollLiveness(now time.Time) {
	l := &t.liveness
	if t.c.Machines == nil || l.inFlight || now.Sub(l.polledAt) < livenessPoll {
		return
	}
	unresponsive := t.engine.UnresponsiveFor(now, livenessCheckAfter)
	if len(unresponsive) == 0 {
		clear(l.absences)
		return
	}
	l.inFlight, l.polledAt = true, now
	runAsync(t, storeTimeout, t.c.Machines.Alive, func(alive map[string]bool, err error) {
		l.inFlight = false
		if err != nil {
			t.log.WithField("event", "machines_unread").WithError(err).Debug("cannot read the state of VMs; waiting for leases to expire")
			return
		}
		before := l.absences
		l.absences = map[string]int{}
		for _, id := range unresponsive {
			t.recordAbsence(id, before[id], alive[id])
		}
	})
}

// recordAbsence handles the result of one read for an unresponsive worker, which
// was missing from the previous reads absent times.
func (t *term) recordAbsence(id string, absent int, alive bool) {
	if alive {
		return
	}
	if absent+1 < absenceThreshold {
		t.liveness.absences[id] = absent + 1
		return
	}
	t.log.WithFields(log.Fields{"event": "worker_gone", "worker": id}).Warn("the VM of the worker is not up")
	t.engine.HandleReplacement(id, t.c.Now())
	t.schedulePlan()
}
