package dispatch

import (
	"cmp"
)

// StopReason says why a run is stopped.
type StopReason string

// Reasons to stop a run.
const (
	// StopEnded means that the job is final, or the task is done elsewhere.
	StopEnded StopReason = "job_ended"
	// StopUnknown means that it is not known whether the run exists.
	StopUnknown StopReason = "doubtful"
	// StopGang means that another member of the gang has ended.
	StopGang StopReason = "gang_broken"
	// StopDraining means that the worker is about to leave.
	StopDraining StopReason = "draining"
	// StopStalled means that the run makes no progress, and StopSlow that its
	// worker is slow.
	StopStalled StopReason = "stalled"
	StopSlow    StopReason = "slow_worker"
	// StopInterference means that the run disturbs a service.
	StopInterference StopReason = "disturbs_service"
	// StopConsolidate means that the service moves to other services.
	StopConsolidate StopReason = "consolidation"
)

// move stops a run that should go on on another worker.
func (e *Engine) move(r *Run, why StopReason) {
	r.Task.leaving = r.Worker.Entry.ID
	e.stop(r, why)
}

// StopReason returns why the run is stopped; empty if it is not.
func (r *Run) StopReason() StopReason { return r.stopReason }

// stop orders the end of a run. It is repeated until the run has ended.
func (e *Engine) stop(r *Run, why StopReason) {
	r.stopping = true
	r.stopReason = cmp.Or(r.stopReason, why)
	if !r.stopSent && r.State != RunStarting {
		r.stopSent = true
		e.out.Stops = append(e.out.Stops, r)
	}
}
