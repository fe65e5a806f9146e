package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// In a queue with an advisor, only workers that the advisor allows may run a
// step, each with a ticket. Requests name feasible workers for one step and are
// repeated until enough workers have tickets.
const (
	// adviceBatchSize is the number of workers in a request. The advisor's latency
	// grows with each worker; the platform's objectives assume one request of thirty
	// workers for a step.
	adviceBatchSize = 30
	// maxAdviceInFlight is the number of concurrent requests: the advisor handles
	// them one after the other, and a later one may be more urgent.
	maxAdviceInFlight = 2
	// ticketMargin is the part of a ticket's validity reserved for the transfer of
	// the start request.
	ticketMargin = 300 * time.Millisecond
	// adviceBackoff is the delay after a failed request.
	adviceBackoff = 200 * time.Millisecond
)

// ticket permits tasks of a step to start on one boot of a worker.
type ticket struct {
	text      string
	boot      int64
	expiresAt time.Time
}

// advice holds the advisor's responses for one step.
type advice struct {
	tickets map[string]ticket
	// denied maps workers that may not run the step to their boots.
	denied    map[string]int64
	inFlight  bool
	notBefore time.Time
}

// AdviceRequest asks the advisor which workers may run a step.
type AdviceRequest struct {
	Job *Job
	// Step is the step's name at the advisor.
	Step    string
	Workers []string

	key   stepKey
	boots map[string]int64
}

// advisorAllows reports whether a worker may run a task: the task's queue has no
// advisor, or the worker has a valid ticket.
func (e *Engine) advisorAllows(t *Task, w *Worker, now time.Time) bool {
	return t.Job.Queue.Advisor == nil || e.ticketFor(t, w, now) != ""
}

// ticketFor returns the valid ticket for a task on a worker, or "".
func (e *Engine) ticketFor(t *Task, w *Worker, now time.Time) string {
	a := t.Job.stepAdvice[t.stepKey()]
	if a == nil {
		return ""
	}
	granted, ok := a.tickets[w.Entry.ID]
	if !ok || granted.boot != w.boot || !now.Before(granted.expiresAt) {
		return ""
	}
	return granted.text
}

// requestAdvice requests tickets for a task that could not be placed.
func (e *Engine) requestAdvice(t *Task, now time.Time) {
	if t.Job.Queue.Advisor == nil || e.adviceInFlight >= maxAdviceInFlight {
		return
	}
	key := t.stepKey()
	a := t.Job.stepAdvice[key]
	if a == nil {
		a = &advice{tickets: map[string]ticket{}, denied: map[string]int64{}}
		if t.Job.stepAdvice == nil {
			t.Job.stepAdvice = map[stepKey]*advice{}
		}
		t.Job.stepAdvice[key] = a
	}
	if a.inFlight || now.Before(a.notBefore) {
		return
	}
	req := AdviceRequest{Job: t.Job, Step: fmt.Sprintf("%s.%d.%d", t.Job.Spec.ID, key.occurrence, key.step), key: key, boots: map[string]int64{}}
	for _, w := range e.candidates(t, a, now) {
		req.Workers = append(req.Workers, w.Entry.ID)
		req.boots[w.Entry.ID] = w.boot
	}
	if len(req.Workers) == 0 {
		return
	}
	a.inFlight = true
	e.adviceInFlight++
	e.out.AdviceRequests = append(e.out.AdviceRequests, req)
}

// candidates returns the best feasible workers that have neither a ticket nor a
// denial.
func (e *Engine) candidates(t *Task, a *advice, now time.Time) []*Worker {
	type ranked struct {
		w       *Worker
		penalty float64
	}
	var feasible []ranked
	for _, w := range e.workers {
		boot, denied := a.denied[w.Entry.ID]
		if denied && boot == w.boot || e.ticketFor(t, w, now) != "" || !e.feasible(t, w, now, nil) {
			continue
		}
		feasible = append(feasible, ranked{w, e.penalty(t, w, "", nil)})
	}
	slices.SortFunc(feasible, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.w.Entry.ID, b.w.Entry.ID))
	})
	var workers []*Worker
	for _, r := range feasible[:min(len(feasible), adviceBatchSize)] {
		workers = append(workers, r.w)
	}
	return workers
}

// HandleAdvice handles the response to an advice request: the tickets by worker,
// or an error. sent is when the request was sent.
func (e *Engine) HandleAdvice(req AdviceRequest, tickets map[string]string, err error, sent, now time.Time) {
	e.adviceInFlight--
	a := req.Job.stepAdvice[req.key]
	if a == nil {
		return // the step is done
	}
	a.inFlight = false
	if err != nil {
		a.notBefore = now.Add(adviceBackoff)
		return
	}
	valid := time.Duration(0)
	if advisor := req.Job.Queue.Advisor; advisor != nil {
		valid = advisor.TicketTTL
	}
	for _, id := range req.Workers {
		if text, ok := tickets[id]; ok {
			a.tickets[id] = ticket{text: text, boot: req.boots[id], expiresAt: sent.Add(valid - ticketMargin)}
		} else {
			a.denied[id] = req.boots[id]
		}
	}
}

// dropTicket discards a ticket that a worker did not accept.
func (t *Task) dropTicket(w *Worker) {
	if a := t.Job.stepAdvice[t.stepKey()]; a != nil {
		delete(a.tickets, w.Entry.ID)
	}
}

// AdviceTime returns how long the advisor takes to answer a request, including
// those that it may handle first.
func AdviceTime(a *job.Advisor) time.Duration {
	if a == nil {
		return 0
	}
	return maxAdviceInFlight * (a.DecisionTime + adviceBatchSize*a.PerWorkerTime)
}
