package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Plan starts every task whose turn has come and for which there is room, and
// looks after what runs.
func (e *Engine) Plan(now time.Time) {
	e.now = now
	e.Expire(now)
	e.evacuate()
	e.consolidate(now)
	e.noRoom.reset()
	for _, j := range e.byUrgency(now) {
		for _, o := range j.occurrences {
			if now.Before(o.due) {
				continue
			}
			for s := range j.Spec.Steps {
				step := &j.Spec.Steps[s]
				if o.left[s] > 0 && o.ready(step) {
					e.planStep(step, o.tasks[s], now)
				}
			}
		}
	}
}

// byUrgency returns the open jobs, first those that lose most by waiting. The
// slice is used again by the next plan.
func (e *Engine) byUrgency(now time.Time) []*Job {
	jobs := e.sorted[:0]
	for _, j := range e.jobs {
		j.prospect = j.prospectAt(now)
		jobs = append(jobs, j)
	}
	e.sorted = jobs
	slices.SortFunc(jobs, func(a, b *Job) int {
		if a.prospect != b.prospect {
			return int(a.prospect) - int(b.prospect)
		}
		if a.Queue.Priority != b.Queue.Priority {
			return a.Queue.Priority - b.Queue.Priority
		}
		if a.service || b.service {
			if c := compareServices(a, b); c != 0 {
				return c
			}
		}
		if c := a.latestStart.Compare(b.latestStart); c != 0 {
			return c
		}
		return strings.Compare(a.Spec.ID, b.Spec.ID)
	})
	return jobs
}

// compareServices orders services behind other jobs, which are sooner over, and
// puts together those that should share workers; the ones that are hardest to
// place come first.
func compareServices(a, b *Job) int {
	if a.service != b.service {
		return boolInt(a.service) - boolInt(b.service)
	}
	first, second := &a.Spec.Steps[0], &b.Spec.Steps[0]
	if c := strings.Compare(first.Image, second.Image); c != 0 {
		return c
	}
	return boolInt(first.MaxPerWorker == 0) - boolInt(second.MaxPerWorker == 0)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// prospect is what a job may still be worth.
type prospect int

const (
	// inTime means that the objective is not over. Services and scheduled jobs
	// always count as being in time.
	inTime prospect = iota
	// late means that the job is worth a part.
	late
	// hopeless means that the job is worth nothing any more.
	hopeless
)

// lateFactor is how many times its objective a job may take and still be worth
// something; the platform's pages say three.
const lateFactor = 3

func (j *Job) prospectAt(now time.Time) prospect {
	switch {
	case j.Spec.Schedule.Times > 0 || j.service || !now.After(j.objective):
		return inTime
	case now.Sub(j.arrived) > lateFactor*j.objective.Sub(j.arrived):
		return hopeless
	}
	return late
}

// planStep starts the tasks of a step that may start.
func (e *Engine) planStep(step *job.Step, tasks []*Task, now time.Time) {
	if step.Gang {
		e.planGang(step, tasks, now)
		return
	}
	for _, t := range tasks {
		if !e.mayStart(t, now) {
			continue
		}
		if e.noRoom.covers(t, now) {
			return
		}
		w := e.choose(t, tasks, now, nil)
		if w == nil {
			e.noRoom.add(t, now)
			e.ask(t, now)
			return // like tasks do not fit either
		}
		e.start(t, w, t.Attempt+1, now)
	}
}

// demandKind is what, besides its size, decides where a task fits.
type demandKind struct {
	pool, image, label           string
	service, bestEffort, hurried bool
}

// noRoom remembers, within one plan, for which tasks there was no room. Room
// only shrinks during a plan, so tasks of a kind that ask for as much or more
// need not be tried.
type noRoom map[demandKind][]job.Resources

// sizesPerKind bounds the sizes remembered of a kind; further ones are tried.
const sizesPerKind = 8

func (n noRoom) reset() { clear(n) }

func kindOf(t *Task, now time.Time) demandKind {
	k := demandKind{pool: t.Job.Queue.Pool, label: t.Step.Label, service: t.Step.Service, bestEffort: t.Step.BestEffort}
	if k.bestEffort {
		k.image = t.Step.Image // services bear some images and not others
		k.hurried = t.hurried(now)
	}
	return k
}

// covers reports whether a task needs no try.
func (n noRoom) covers(t *Task, now time.Time) bool {
	for _, size := range n[kindOf(t, now)] {
		if size.Fits(t.Step.Resources) {
			return true
		}
	}
	return false
}

// add takes in that no worker can run a task. Tasks with a bound on neighbours
// of their own step, or with an advisor, say nothing about others.
func (n noRoom) add(t *Task, now time.Time) {
	k := kindOf(t, now)
	if t.Step.MaxPerWorker == 0 && t.Job.Queue.Advisor == nil && len(n[k]) < sizesPerKind {
		n[k] = append(n[k], t.Step.Resources)
	}
}

// serviceGather is how long a new service waits for others that arrive with it,
// so that they can be placed by their images. It is a small part of the shortest
// time in which a service is missed.
const serviceGather = 150 * time.Millisecond

// mayStart reports whether a task waits for nothing but room.
func (e *Engine) mayStart(t *Task, now time.Time) bool {
	if t.Done || len(t.Runs) > 0 || now.Before(t.notBefore) || e.strayTasks[t.name()] > 0 {
		return false
	}
	if t.inherited && len(e.silent) > 0 && !t.Step.Speculative {
		return false
	}
	if t.Step.Service && t.Attempt == 0 && now.Sub(t.Job.arrived) < serviceGather {
		return false
	}
	if t.readyAt.IsZero() {
		t.readyAt = now
	}
	return true
}

// planGang starts all tasks of a gang, or none.
func (e *Engine) planGang(step *job.Step, tasks []*Task, now time.Time) {
	attempt := 0
	for _, t := range tasks {
		if !e.mayStart(t, now) {
			return
		}
		attempt = max(attempt, t.Attempt)
	}
	reserved := &reservation{taken: map[*Worker]job.Resources{}, count: map[*Worker]int{}}
	chosen := make([]*Worker, len(tasks))
	for i, t := range tasks {
		w := e.choose(t, tasks, now, reserved)
		if w == nil {
			e.ask(t, now)
			return
		}
		reserved.taken[w] = reserved.taken[w].Add(demand(step))
		reserved.count[w]++
		chosen[i] = w
	}
	checkpoint := ""
	for _, t := range tasks {
		if t.Checkpoint != "" {
			checkpoint = t.Checkpoint
		}
	}
	for i, t := range tasks {
		t.Checkpoint = checkpoint
		e.start(t, chosen[i], attempt+1, now)
	}
}

// reservation is room that other members of a gang will take.
type reservation struct {
	taken map[*Worker]job.Resources
	count map[*Worker]int
}

// start orders a run of a task.
func (e *Engine) start(t *Task, w *Worker, attempt int, now time.Time) {
	t.Attempt = attempt
	r := &Run{
		Task: t, Worker: w, Attempt: attempt, State: RunStarting, FirstOfJob: !t.Job.Started,
		orderedAt: now, ConfirmedLimit: 100, limit: 100, Ticket: e.ticketFor(t, w, now),
		notAfterMS: w.ClockMS(now) + e.options.StartWindow.Milliseconds(),
	}
	// A start extends the worker's lease like a renewal.
	w.leaseMS = max(w.leaseMS, r.notAfterMS)
	w.attach(r)
	e.begin(t.Job)
	e.changed(t.Job, false)
	e.shared = e.shared || t.Step.BestEffort
	e.out.Starts = append(e.out.Starts, r)
}

// NotAfterMS is the time on the worker's clock past which it refuses the start.
func (r *Run) NotAfterMS() int64 { return r.notAfterMS }

// evacuationMargin is the least time before a draining worker leaves at which
// what still runs there is stopped, so that its checkpoint is kept and its end
// is heard of. Stops take up to 200 ms and a round trip.
const evacuationMargin = 700 * time.Millisecond

// evacuate moves services off draining workers, and stops what would be lost
// when they leave.
func (e *Engine) evacuate() {
	for _, w := range e.workers {
		if !w.Entry.Draining || len(w.runs) == 0 {
			continue
		}
		leaving := w.Entry.Remaining <= evacuationMargin
		for _, r := range w.sortedRuns() {
			if r.stopping || r.State != RunActive {
				continue
			}
			if leaving || (r.Task.Step.Service && e.mayTakeAway(r.Task)) {
				e.stop(r, StopDraining)
			}
		}
	}
}

// mayTakeAway reports whether a service step bears the loss of one more task.
func (e *Engine) mayTakeAway(t *Task) bool {
	limit := t.Step.MaxUnavailable
	if limit < 0 {
		return true
	}
	return t.siblingsAway() < max(limit, 1)
}

// atWork reports whether a service task serves.
func (t *Task) atWork() bool {
	for _, r := range t.Runs {
		if r.State == RunActive && !r.stopping && r.Progress == 100 {
			return true
		}
	}
	return false
}
