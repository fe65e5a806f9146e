package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// newAdvisorFixture returns a fixture whose queue has an advisor.
func newAdvisorFixture(workers ...port.WorkerEntry) *fixture {
	r := newFixture(workers...)
	r.SetQueues([]job.Queue{{
		Name: "q", Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second,
		Advisor: &job.Advisor{DecisionTime: 5 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketTTL: 3 * time.Second},
	}})
	return r
}

func TestAdvisedTasksStartWithTheirTickets(t *testing.T) {
	is := is.New(t)
	r := newAdvisorFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.Add(spec("j", small(3)), r.now, 0)
	out := r.plan(0)
	is.Equal(len(out.Starts), 0)
	is.Equal(len(out.AdviceRequests), 1)
	is.Equal(out.AdviceRequests[0].Step, "j.0.0")
	is.Equal(out.AdviceRequests[0].Workers, []string{"a", "b"})
	is.Equal(len(r.plan(0).AdviceRequests), 0) // one request in flight for a step
	r.HandleAdvice(out.AdviceRequests[0], map[string]string{"b": "t-b"}, nil, r.now, r.now)
	out = r.plan(0)
	is.Equal(len(out.Starts), 3)
	for _, run := range out.Starts {
		is.Equal(run.Worker.Entry.ID, "b")
		is.Equal(run.Ticket, "t-b")
	}
	is.Equal(len(out.AdviceRequests), 0)
}

func TestTicketsBecomeInvalid(t *testing.T) {
	events := []struct {
		name       string
		invalidate func(r *fixture)
	}{
		{"when they expire", func(r *fixture) { r.now = r.now.Add(3 * time.Second) }},
		{"when the worker restarts", func(r *fixture) { r.reportListing("a", port.Listing{Boot: 2}) }},
	}
	for _, event := range events {
		t.Run(event.name, func(t *testing.T) {
			is := is.New(t)
			r := newAdvisorFixture(worker("a", 1000, 8000))
			r.Add(spec("j", small(2)), r.now, 0)
			request := r.plan(0).AdviceRequests[0]
			r.HandleAdvice(request, map[string]string{"a": "t-a"}, nil, r.now, r.now)
			out := r.plan(0)
			is.Equal(len(out.Starts), 1)
			r.confirmStarts(out)
			r.listEnd(out.Starts[0], 1, port.EndDone)
			event.invalidate(r)
			out = r.plan(0)
			is.Equal(len(out.Starts), 0)
			is.Equal(len(out.AdviceRequests), 1)
		})
	}
}

func TestRefusedTicketIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	r := newAdvisorFixture(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	r.HandleAdvice(r.plan(0).AdviceRequests[0], map[string]string{"a": "t-a"}, nil, r.now, r.now)
	run := r.plan(0).Starts[0]
	r.HandleStartResponse(run, 0, &port.RefusedError{Op: "start", Reason: port.RefusedTicket}, r.now, r.now)
	out := r.plan(refusalBackoff)
	is.Equal(len(out.Starts), 0)
	is.Equal(len(out.AdviceRequests), 1)
}

func TestFailedAdviceRequestIsRetriedAfterBackoff(t *testing.T) {
	is := is.New(t)
	r := newAdvisorFixture(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	r.HandleAdvice(r.plan(0).AdviceRequests[0], nil, errors.New("silent"), r.now, r.now)
	is.Equal(len(r.plan(0).AdviceRequests), 0)
	is.Equal(len(r.plan(adviceBackoff).AdviceRequests), 1)
}

func TestAdviceRequestsInFlightAreLimited(t *testing.T) {
	is := is.New(t)
	r := newAdvisorFixture(worker("a", 8000, 8000))
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		r.Add(spec(id, small(1)), r.now, 0)
	}
	out := r.plan(0)
	is.Equal(len(out.AdviceRequests), maxAdviceInFlight)
	r.HandleAdvice(out.AdviceRequests[0], map[string]string{}, nil, r.now, r.now)
	again := r.plan(0).AdviceRequests
	is.Equal(len(again), 1)
	is.True(again[0].Job != out.AdviceRequests[0].Job) // no worker is left to request for the first job
}
