package dispatch

import (
	"cmp"
)

// StopReason is why a run is stopped.
type StopReason string

// Reasons to stop a run.
const (
	// StopEnded means that the job is final, or the task done by another run.
	StopEnded StopReason = "job_ended"
	// StopUnacknowledged means that it is not known whether the run exists.
	StopUnacknowledged StopReason = "doubtful"
	// StopGang means that another run of the gang has ended.
	StopGang StopReason = "gang_broken"
	// StopDraining means that the worker is about to leave.
	StopDraining StopReason = "draining"
	// StopStalled means that the run makes no progress, and StopSlow that its
	// worker is slow.
	StopStalled StopReason = "stalled"
	StopSlow    StopReason = "slow_worker"
	// StopInterference means that the run slows down a colocated service.
	StopInterference StopReason = "disturbs_service"
	// StopForService means that the run makes room for an interrupted service task.
	StopForService StopReason = "makes_room"
	// StopConsolidate means that the service task moves to a worker with other
	// services.
	StopConsolidate StopReason = "consolidation"
	// StopEvacuation means that the service task leaves a data centre under evacuation.
	StopEvacuation StopReason = "evacuation"
)

// move stops a run whose task should continue on another worker.
func (e *Engine) move(r *Run, why StopReason) {
	r.Task.movedFrom = r.Worker.Entry.ID
	e.stop(r, why)
}

// StopReason returns why the run is stopped; empty if it is not.
func (r *Run) StopReason() StopReason { return r.stopReason }

// stop requests the stop of a run. The request is repeated until the run has ended.
func (e *Engine) stop(r *Run, why StopReason) {
	r.stopping = true
	r.stopReason = cmp.Or(r.stopReason, why)
	if !r.stopInFlight && r.State != RunStarting {
		r.stopInFlight = true
		e.out.Stops = append(e.out.Stops, r)
	}
}
