package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// The tasks of a step are created when its turn has come: its occurrence is due and the steps
// before it are done. They are dropped when all of them are done. So memory and the time of a plan
// follow from the tasks that can run, and not from all that jobs may run in the future. A task that
// a worker lists, or that a former owner recorded, is created whenever that is.
const (
	// maxWaitingOfStep is the number of tasks of a step, in all occurrences, from which those of
	// further occurrences are not created: they could start no earlier.
	maxWaitingOfStep = 500
	// maxCreatedPerPlan is the number of tasks after which a plan creates no more, so that the first
	// plan after many occurrences were missed does not delay requests.
	maxCreatedPerPlan = 4000
	// displaceAfter is how long a step of which no task has started keeps its tasks when a job
	// without any needs their memory, and how long a job that was displaced displaces no other.
	displaceAfter = 2 * time.Second
)

// occurrence is one run of a job's steps that has begun and is not done.
type occurrence struct {
	number int
	due    time.Time
	// begunAt is when the occurrence became due, or later, when its turn had come.
	begunAt time.Time
	// tasks are the tasks by step; nil for a step whose tasks are not created, or all done.
	tasks [][]*Task
	// createdAt is when the tasks of each step were created.
	createdAt []time.Time
	pending   []int // tasks not done, by step
}

func (o *occurrence) done() bool {
	return !slices.ContainsFunc(o.pending, func(n int) bool { return n > 0 })
}

// ready reports whether all predecessors of a step are done.
func (o *occurrence) ready(step *job.Step) bool {
	return !slices.ContainsFunc(step.After, func(before int) bool { return o.pending[before] > 0 })
}

// dueAt returns when an occurrence is due.
func (j *Job) dueAt(number int) time.Time {
	due := j.Spec.DueUnixMS(number)
	if due <= 0 {
		return j.arrived
	}
	return j.arrived.Add(time.Duration(min(due-j.arrivedUnixMS, maxDelayMS)) * time.Millisecond)
}

// newOccurrence returns an occurrence without tasks.
func (j *Job) newOccurrence(number int) *occurrence {
	o := &occurrence{
		number: number, due: j.dueAt(number), begunAt: j.dueAt(number), tasks: make([][]*Task, len(j.Spec.Steps)),
		createdAt: make([]time.Time, len(j.Spec.Steps)), pending: make([]int, len(j.Spec.Steps)),
	}
	for s := range j.Spec.Steps {
		o.pending[s] = j.Spec.Steps[s].Tasks
	}
	return o
}

// position returns where an occurrence is, or would be, in the job's occurrences.
func (j *Job) position(number int) (int, bool) {
	i := sort.Search(len(j.occurrences), func(i int) bool { return j.occurrences[i].number >= number })
	return i, i < len(j.occurrences) && j.occurrences[i].number == number
}

// begin returns an occurrence of a job, or nil if it is done.
func (e *Engine) begin(j *Job, number int) *occurrence {
	i, begun := j.position(number)
	if begun {
		return j.occurrences[i]
	}
	if _, ended := j.ended.Containing(number); ended {
		return nil
	}
	o := j.newOccurrence(number)
	o.begunAt = later(o.due, later(j.arrived, e.now))
	j.occurrences = slices.Insert(j.occurrences, i, o)
	e.countHeld(1)
	return o
}

// skipBegun advances j.next past occurrences that have begun or are done.
func (j *Job) skipBegun() {
	for j.next < j.Spec.Occurrences() {
		if r, ended := j.ended.Containing(j.next); ended {
			j.next = r[1]
		} else if _, begun := j.position(j.next); begun {
			j.next++
		} else {
			return
		}
	}
}

// allBegun reports whether no occurrence of the job remains that has not begun.
func (j *Job) allBegun() bool {
	j.skipBegun()
	return j.next >= j.Spec.Occurrences()
}

// complete reports whether all occurrences of the job are done.
func (j *Job) complete() bool {
	r, ok := j.ended.Containing(0)
	return ok && r[1] >= j.Spec.Occurrences()
}

// create creates the tasks of a step of an occurrence.
func (e *Engine) create(j *Job, o *occurrence, s int, now time.Time) {
	step := &j.Spec.Steps[s]
	row, tasks := make([]*Task, step.Tasks), make([]Task, step.Tasks)
	for i := range row {
		id := job.TaskID{Job: j.Spec.ID, Occurrence: o.number, Step: s, Index: i}
		t := &tasks[i]
		*t = Task{ID: id, Job: j, Step: step, fullName: id.String(), inherited: j.inherited, Attempt: j.attemptBase, elsewhere: j.hosted, occurrence: o}
		row[i] = t
		e.tasks[t.fullName] = t
		if t.waiting() {
			j.countWaiting(s, 1)
		}
	}
	o.tasks[s], o.createdAt[s] = row, now
	e.countCreated(j, len(row))
}

func (e *Engine) countCreated(j *Job, n int) {
	j.created += n
	e.countHeld(n)
}

// drop forgets the tasks of a step. Runs of theirs that have not ended keep their task.
func (e *Engine) drop(j *Job, o *occurrence, s int) {
	for _, t := range o.tasks[s] {
		delete(e.tasks, t.fullName)
		if t.waiting() {
			j.countWaiting(s, -1)
		}
	}
	e.countCreated(j, -len(o.tasks[s]))
	o.tasks[s] = nil
}

// find returns a task by its name, which is created if need be, and its open job. The task is nil
// if all tasks of its step are done, and both are if there is no such task of an open job.
func (e *Engine) find(name string) (*Task, *Job) {
	if t := e.tasks[name]; t != nil {
		return t, t.Job
	}
	id, ok := job.ParseTaskID(name)
	if j := e.jobs[id.Job]; ok && j.hasTask(id) {
		return e.taskOf(j, id), j
	}
	return nil, nil
}

// hasTask reports whether the job has a task with an ID. The job may be nil.
func (j *Job) hasTask(id job.TaskID) bool {
	return j != nil && id.Occurrence >= 0 && id.Occurrence < j.Spec.Occurrences() &&
		id.Step >= 0 && id.Step < len(j.Spec.Steps) && id.Index >= 0 && id.Index < j.Spec.Steps[id.Step].Tasks
}

// taskOf returns a task of a job, which is created if need be, or nil if its step is done.
func (e *Engine) taskOf(j *Job, id job.TaskID) *Task {
	o := e.begin(j, id.Occurrence)
	if o == nil || o.pending[id.Step] == 0 && o.tasks[id.Step] == nil {
		return nil
	}
	if o.tasks[id.Step] == nil {
		e.create(j, o, id.Step, e.now)
	}
	return o.tasks[id.Step][id.Index]
}

// endStep drops the tasks of a step that are all done, and the occurrence with its last step.
func (e *Engine) endStep(j *Job, o *occurrence, s int) {
	o.pending[s] = 0
	key := stepKey{o.number, s}
	delete(j.finishedRuns, key)
	delete(j.stepAdvice, key)
	delete(j.speeds, key)
	e.drop(j, o, s)
	e.setMayCreate(j)
	j.profiledAt = time.Time{}
	if o.done() {
		e.endOccurrences(j, o.number, o.number+1)
	}
}

// endOccurrences records that the occurrences from from, and below to, are done.
func (e *Engine) endOccurrences(j *Job, from, to int) {
	j.ended = j.ended.Add(from, to)
	first, _ := j.position(from)
	last, _ := j.position(to)
	for _, o := range j.occurrences[first:last] {
		for s := range o.tasks {
			e.drop(j, o, s)
		}
	}
	e.countHeld(first - last)
	j.occurrences = slices.Delete(j.occurrences, first, last)
}

// createDue creates the tasks of open jobs whose turn has come, the most urgent jobs first, as far
// as the budget allows. The others are created by later plans.
func (e *Engine) createDue(now time.Time) {
	e.createdInPlan = 0
	var due []*Job
	for j := range e.incomplete {
		if j.hasDue(now) {
			e.updateRank(j, now)
			due = append(due, j)
		}
	}
	slices.SortFunc(due, compareUrgency)
	for _, j := range due {
		e.createFor(j, now)
	}
}

// setMayCreate has the next plan look for tasks of a job to create.
func (e *Engine) setMayCreate(j *Job) {
	j.mayCreate = true
	if e.jobs[j.Spec.ID] == j {
		e.incomplete[j] = true
	}
}

// hasDue reports whether tasks of the job may be created.
func (j *Job) hasDue(now time.Time) bool {
	return !j.hosted && (j.mayCreate || !j.allBegun() && !now.Before(j.dueAt(j.next)))
}

// createFor creates the tasks of a job whose turn has come.
func (e *Engine) createFor(j *Job, now time.Time) {
	e.createOccurrences(j, now)
	if !j.mayCreate && j.allBegun() {
		delete(e.incomplete, j)
	}
}

func (e *Engine) createOccurrences(j *Job, now time.Time) {
	j.mayCreate = false
	for _, o := range j.occurrences {
		if !e.createReady(j, o, now) {
			return
		}
	}
	for !j.allBegun() && !now.Before(j.dueAt(j.next)) && j.mayBeginNext() {
		if !e.allows(j, j.Spec.Steps[0].Tasks, now) || !e.createReady(j, e.begin(j, j.next), now) {
			return
		}
	}
}

// mayBeginNext reports whether tasks of the next occurrence would be created.
func (j *Job) mayBeginNext() bool {
	for s := range j.Spec.Steps {
		if len(j.Spec.Steps[s].After) == 0 && j.waitingOf[s] < maxWaitingOfStep {
			return true
		}
	}
	return false
}

// createReady creates the tasks of the steps of an occurrence whose turn has come. It returns false
// if no more tasks may be created.
func (e *Engine) createReady(j *Job, o *occurrence, now time.Time) bool {
	if now.Before(o.due) {
		j.mayCreate = true
		return true
	}
	for s := range j.Spec.Steps {
		step := &j.Spec.Steps[s]
		switch {
		case o.tasks[s] != nil || o.pending[s] == 0 || !o.ready(step):
		case j.waitingOf[s] >= maxWaitingOfStep && len(j.occurrences) > 1:
			j.mayCreate = true
		case !e.allows(j, step.Tasks, now):
			j.mayCreate = true
			return false
		default:
			e.create(j, o, s, now)
			e.createdInPlan += step.Tasks
		}
	}
	return true
}

// allows reports whether n more tasks of a job may be created. Half of the budget is left to jobs that
// have no tasks, so that a large job does not keep small ones waiting. If that is used up, too, tasks
// of other jobs that wait make way.
func (e *Engine) allows(j *Job, n int, now time.Time) bool {
	b := e.options.Budget
	switch {
	case b == nil:
		return true
	case j.created > 0:
		return e.createdInPlan < maxCreatedPerPlan && b.tasks+n <= b.limit/2
	case b.tasks+n > b.limit && now.Sub(j.displacedAt) >= displaceAfter:
		e.displace(j, b.tasks+n-b.limit, now)
	}
	return b.tasks+n <= b.limit
}

// displace drops n tasks or more of steps of which none has been started, those of the least urgent
// jobs first: of jobs that are less urgent than the given one, or that have waited in vain for
// displaceAfter. Such tasks are created again later.
func (e *Engine) displace(j *Job, n int, now time.Time) {
	for _, other := range slices.Backward(e.planOrder) {
		if other == j || other.hosted || other.created == 0 {
			continue
		}
		lessUrgent := compareUrgency(other, j) > 0
		for _, o := range slices.Backward(other.occurrences) {
			for s := range o.tasks {
				if n <= 0 {
					return
				}
				if (lessUrgent || now.Sub(o.createdAt[s]) >= displaceAfter) && other.untouched(o, s) {
					n -= len(o.tasks[s])
					e.drop(other, o, s)
					e.setMayCreate(other)
					other.displacedAt = now
				}
			}
		}
	}
}

// untouched reports whether the tasks of a step are as they were created.
func (j *Job) untouched(o *occurrence, s int) bool {
	return len(o.tasks[s]) > 0 && !slices.ContainsFunc(o.tasks[s], func(t *Task) bool {
		return !t.waiting() || t.hasRun || t.Attempt != j.attemptBase || t.held || t.reserved != nil || t.advance != nil ||
			len(t.Crashes) > 0 || t.unresolvedRuns > 0 || len(t.placedOn) > 0
	})
}
