package cell

import (
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
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

// livenessCheck is the state of the reads of the list of VMs.
type livenessCheck struct {
	inFlight bool
	polledAt time.Time
	// absences are the workers, by ID, that were missing from the last read.
	absences map[string]absence
}

// absence is a series of reads of the list of VMs from which a worker was missing.
type absence struct {
	first dispatch.Observation
	reads int
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
		l.absences = map[string]absence{}
		for _, o := range unresponsive {
			if !alive[o.Worker()] {
				t.recordAbsence(o, before[o.Worker()])
			}
		}
	})
}

// recordAbsence handles a read from which an unresponsive worker was missing, as it was from
// those before. Reads that were sent before the worker's last answer, or before its boot was
// known, do not count.
func (t *term) recordAbsence(o dispatch.Observation, before absence) {
	if t.engine.Outdated(o) {
		t.log.WithFields(log.Fields{"event": "absence_outdated", "worker": o.Worker()}).Info("the worker has answered or restarted since the list of VMs was read")
		return
	}
	absent := before
	if absent.reads == 0 || t.engine.Outdated(absent.first) {
		absent = absence{first: o}
	}
	absent.reads++
	if absent.reads < absenceThreshold {
		t.liveness.absences[o.Worker()] = absent
		return
	}
	t.log.WithFields(log.Fields{"event": "worker_gone", "worker": o.Worker()}).Warn("the VM of the worker is not up")
	t.engine.HandleReplacement(absent.first, t.c.Now())
	t.schedulePlan()
}
