package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Queues with an advisor: only workers that the advisor names may run a step,
// each with a ticket. The advisor is asked step by step about the workers that
// have room, until there are enough.
const (
	// advisedWorkers is how many workers are asked about at a time. A call costs
	// time for each; the platform's objectives count one of thirty a step.
	advisedWorkers = 30
	// advisorCalls is how many calls are open at a time: the advisor handles one
	// after the other, and what is asked later may be more urgent.
	advisorCalls = 2
	// ticketMargin is kept of a ticket's time for the start order's way.
	ticketMargin = 300 * time.Millisecond
	// advicePause follows a call that failed.
	advicePause = 200 * time.Millisecond
)

// ticket lets tasks of a step start in one life of a worker.
type ticket struct {
	text  string
	boot  int64
	until time.Time
}

// advice is what is known of the workers for one step.
type advice struct {
	tickets map[string]ticket
	// refused are the lives of workers that may not run the step.
	refused   map[string]int64
	open      bool // a call is under way
	notBefore time.Time
}

// AdviceRequest asks the advisor which workers may run a step.
type AdviceRequest struct {
	Job *Job
	// Step is the step's name as the advisor knows it.
	Step    string
	Workers []string

	key   stepKey
	boots map[string]int64
}

// advised reports whether a worker may run a task by what the advisor has said.
func (e *Engine) advised(t *Task, w *Worker, now time.Time) bool {
	return t.Job.Queue.Advisor == nil || e.ticketFor(t, w, now) != ""
}

// ticketFor returns the ticket for a task on a worker, or "".
func (e *Engine) ticketFor(t *Task, w *Worker, now time.Time) string {
	a := t.Job.advice[t.stepKey()]
	if a == nil {
		return ""
	}
	got, ok := a.tickets[w.Entry.ID]
	if !ok || got.boot != w.boot || !now.Before(got.until) {
		return ""
	}
	return got.text
}

// ask asks about workers for a task that has found no place.
func (e *Engine) ask(t *Task, now time.Time) {
	if t.Job.Queue.Advisor == nil || e.openQuestions >= advisorCalls {
		return
	}
	key := t.stepKey()
	a := t.Job.advice[key]
	if a == nil {
		a = &advice{tickets: map[string]ticket{}, refused: map[string]int64{}}
		if t.Job.advice == nil {
			t.Job.advice = map[stepKey]*advice{}
		}
		t.Job.advice[key] = a
	}
	if a.open || now.Before(a.notBefore) {
		return
	}
	q := AdviceRequest{Job: t.Job, Step: fmt.Sprintf("%s.%d.%d", t.Job.Spec.ID, key.occurrence, key.step), key: key, boots: map[string]int64{}}
	for _, w := range e.candidates(t, a, now) {
		q.Workers = append(q.Workers, w.Entry.ID)
		q.boots[w.Entry.ID] = w.boot
	}
	if len(q.Workers) == 0 {
		return
	}
	a.open = true
	e.openQuestions++
	e.out.AdviceRequests = append(e.out.AdviceRequests, q)
}

// candidates returns the best workers to ask about: those that have room and
// have not been refused.
func (e *Engine) candidates(t *Task, a *advice, now time.Time) []*Worker {
	type ranked struct {
		w       *Worker
		penalty float64
	}
	var some []ranked
	for _, w := range e.workers {
		boot, refused := a.refused[w.Entry.ID]
		if refused && boot == w.boot || e.ticketFor(t, w, now) != "" || !e.suits(t, w, now, nil) {
			continue
		}
		some = append(some, ranked{w, e.penalty(t, w, "", nil)})
	}
	slices.SortFunc(some, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.w.Entry.ID, b.w.Entry.ID))
	})
	var workers []*Worker
	for _, r := range some[:min(len(some), advisedWorkers)] {
		workers = append(workers, r.w)
	}
	return workers
}

// HandleAdvice takes in the response to a question: the tickets by worker, or an
// error. asked is when the question was sent.
func (e *Engine) HandleAdvice(q AdviceRequest, tickets map[string]string, err error, asked, now time.Time) {
	e.openQuestions--
	a := q.Job.advice[q.key]
	a.open = false
	if err != nil {
		a.notBefore = now.Add(advicePause)
		return
	}
	valid := time.Duration(0)
	if advisor := q.Job.Queue.Advisor; advisor != nil {
		valid = advisor.Valid
	}
	for _, id := range q.Workers {
		if text, ok := tickets[id]; ok {
			a.tickets[id] = ticket{text: text, boot: q.boots[id], until: asked.Add(valid - ticketMargin)}
		} else {
			a.refused[id] = q.boots[id]
		}
	}
}

// ticketRefused takes in that a worker did not accept a ticket.
func (t *Task) ticketRefused(w *Worker) {
	if a := t.Job.advice[t.stepKey()]; a != nil {
		delete(a.tickets, w.Entry.ID)
	}
}

// AdviceTime returns how long the advisor takes over a question, and over those
// that may be handled before it.
func AdviceTime(a *job.Advisor) time.Duration {
	if a == nil {
		return 0
	}
	return advisorCalls * (a.Decide + advisedWorkers*a.PerWorker)
}
