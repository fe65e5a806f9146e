package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Obstacle is the first reason for which a worker cannot run a waiting task.
type Obstacle string

// Obstacles, in the order in which they are looked for. Workers of other pools are not
// counted.
const (
	ObstacleUnlisted    Obstacle = "unlisted"
	ObstacleDraining    Obstacle = "draining"
	ObstacleEvacuating  Obstacle = "evacuating"
	ObstacleUncontacted Obstacle = "uncontacted" // it has not answered this owner
	ObstacleUnrecorded  Obstacle = "unrecorded"  // the record for the next owner does not name it yet
	ObstacleUnanswered  Obstacle = "unanswered"  // its last call got no response
	ObstacleRestarted   Obstacle = "restarted"   // the list does not show its boot yet
	ObstacleUnknownRuns Obstacle = "unknown_runs"
	ObstacleBackoff     Obstacle = "backoff"
	ObstacleLabel       Obstacle = "label"
	ObstacleSpread      Obstacle = "spread" // it has as many tasks of the step as allowed
	ObstacleAdvice      Obstacle = "advice"
	ObstacleCapacity    Obstacle = "capacity"
	// ObstacleOther is any other: suspects that are kept apart, contention, or a start
	// request that would expire too soon.
	ObstacleOther Obstacle = "other"
)

// Obstacles lists all obstacles.
var Obstacles = []Obstacle{
	ObstacleUnlisted, ObstacleDraining, ObstacleEvacuating, ObstacleUncontacted, ObstacleUnrecorded, ObstacleUnanswered, ObstacleRestarted,
	ObstacleUnknownRuns, ObstacleBackoff, ObstacleLabel, ObstacleSpread, ObstacleAdvice, ObstacleCapacity, ObstacleOther,
}

// StarvedTask is an interrupted service task that no worker of the cell can run, even
// without its other tasks.
type StarvedTask struct {
	Task *Task
	// Workers is the number of workers of the task's pool by their obstacle.
	Workers map[Obstacle]int
	// MostFree are the free resources of the worker with the most free processors among
	// those that lack only capacity.
	MostFree job.Resources
}

// Reasons returns the obstacles of a starved task, the most frequent first.
func (s StarvedTask) Reasons() []Obstacle {
	return slices.SortedFunc(maps.Keys(s.Workers), func(a, b Obstacle) int {
		return cmp.Or(cmp.Compare(s.Workers[b], s.Workers[a]), cmp.Compare(a, b))
	})
}

// starvation counts the obstacles of a task.
func (e *Engine) starvation(t *Task, now time.Time) StarvedTask {
	s := StarvedTask{Task: t, Workers: map[Obstacle]int{}}
	for _, w := range e.workerList {
		if w.Entry.Pool != t.Job.Queue.Pool {
			continue
		}
		obstacle := e.obstacle(t, w, now)
		s.Workers[obstacle]++
		if free := w.freeFor(t); obstacle == ObstacleCapacity && free.MilliCPU > s.MostFree.MilliCPU {
			s.MostFree = free
		}
	}
	return s
}

// obstacle returns why a worker of the task's pool, on which the task does not fit, cannot
// run it.
func (e *Engine) obstacle(t *Task, w *Worker, now time.Time) Obstacle {
	if obstacle := w.obstacle(now); obstacle != "" {
		return obstacle
	}
	switch {
	case t.Step.Label != "" && !slices.Contains(w.Entry.Labels, t.Step.Label):
		return ObstacleLabel
	case t.Step.MaxPerWorker != 0 && e.stepTasksOn(t, w, nil) >= t.Step.MaxPerWorker:
		return ObstacleSpread
	case !e.suits(t, w, now, nil):
		return ObstacleOther
	case !e.advisorAllows(t, w, now):
		return ObstacleAdvice
	}
	return ObstacleCapacity
}

// obstacle returns why the worker cannot run any task now; empty if it can.
func (w *Worker) obstacle(now time.Time) Obstacle {
	switch {
	case !w.Listed:
		return ObstacleUnlisted
	case w.Entry.Draining:
		return ObstacleDraining
	case w.Entry.Evacuating:
		return ObstacleEvacuating
	case !w.contacted:
		return ObstacleUncontacted
	case !w.recorded:
		return ObstacleUnrecorded
	case !w.unansweredSince.IsZero():
		return ObstacleUnanswered
	case w.Entry.Boot != w.boot:
		return ObstacleRestarted
	case len(w.unknownRuns) > 0:
		return ObstacleUnknownRuns
	case now.Before(w.backoffUntil):
		return ObstacleBackoff
	}
	return ""
}
