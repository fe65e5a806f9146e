package dispatch

import "time"

// LossReason is why a run was given up although its worker has not listed its end.
type LossReason string

// Reasons to give up a run.
const (
	// LossWorkerRestarted means that a later boot of the worker has answered or is in
	// the platform's list.
	LossWorkerRestarted LossReason = "worker_restarted"
	// LossWorkerGone means that another worker answered at the address, or that the VM
	// is not up.
	LossWorkerGone LossReason = "worker_gone"
	// LossLeaseExpired means that the worker is silent and its lease has expired.
	LossLeaseExpired LossReason = "lease_expired"
	// LossNotListed means that the worker no longer lists a run that it has confirmed.
	LossNotListed LossReason = "not_listed"
	// LossNeverListed means that a run whose existence was not known does not exist and
	// can no longer begin.
	LossNeverListed LossReason = "never_listed"
)

// LostRun is a run that was given up without a listed end.
type LostRun struct {
	Run    *Run
	Reason LossReason
	// Crashes is the number of workers that have crashed under the task so far.
	Crashes int
}

// markLost gives up a run whose end has not been listed.
func (e *Engine) markLost(r *Run, reason LossReason) {
	r.Worker.detach(r)
	r.Task.readyAt = time.Time{}
	if reason != LossNeverListed {
		r.Task.unresolvedRuns++
	}
	e.stopGang(r)
	e.markChanged(r.Task.Job, false)
	e.recordIfCrashed(r, reason)
	e.out.Lost = append(e.out.Lost, LostRun{r, reason, len(r.Task.Crashes)})
}
