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
	f := newFixture(workers...)
	f.SetQueues([]job.Queue{{
		Name: "q", Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second,
		Advisor: &job.Advisor{DecisionTime: 5 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketTTL: 3 * time.Second},
	}}, 1)
	return f
}

func TestAdvisedTasksStartWithTheirTickets(t *testing.T) {
	is := is.New(t)
	f := newAdvisorFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	f.Add(spec("j", small(3)), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 0)
	is.Equal(len(out.AdviceRequests), 1)
	is.Equal(out.AdviceRequests[0].Step, "j.0.0")
	is.Equal(out.AdviceRequests[0].Workers, []string{"a", "b"})
	is.Equal(len(f.plan(0).AdviceRequests), 0) // one request in flight for a step
	f.HandleAdvice(out.AdviceRequests[0], map[string]string{"b": "t-b"}, nil, f.now, f.now)
	out = f.plan(0)
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
		invalidate func(f *fixture)
	}{
		{"when they expire", func(f *fixture) { f.now = f.now.Add(3 * time.Second) }},
		{"when the worker restarts", func(f *fixture) {
			f.reportListing("a", port.Listing{Boot: 2})
			f.listBoot("a", 2)
		}},
	}
	for _, event := range events {
		t.Run(event.name, func(t *testing.T) {
			is := is.New(t)
			f := newAdvisorFixture(worker("a", 1000, 8000))
			f.Add(spec("j", small(2)), f.now, 0)
			request := f.plan(0).AdviceRequests[0]
			f.HandleAdvice(request, map[string]string{"a": "t-a"}, nil, f.now, f.now)
			out := f.plan(0)
			is.Equal(len(out.Starts), 1)
			f.confirmStarts(out)
			f.listEnd(out.Starts[0], 1, port.EndDone)
			event.invalidate(f)
			out = f.plan(0)
			is.Equal(len(out.Starts), 0)
			is.Equal(len(out.AdviceRequests), 1)
		})
	}
}

func TestRefusedTicketIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	f := newAdvisorFixture(worker("a", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	f.HandleAdvice(f.plan(0).AdviceRequests[0], map[string]string{"a": "t-a"}, nil, f.now, f.now)
	run := f.plan(0).Starts[0]
	f.HandleStartResponse(run, run.Worker.Observe(f.now), 0, &port.RefusedError{Op: "start", Reason: port.RefusedTicket}, f.now)
	out := f.plan(refusalBackoff)
	is.Equal(len(out.Starts), 0)
	is.Equal(len(out.AdviceRequests), 1)
}

func TestFailedAdviceRequestIsRetriedAfterBackoff(t *testing.T) {
	is := is.New(t)
	f := newAdvisorFixture(worker("a", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	f.HandleAdvice(f.plan(0).AdviceRequests[0], nil, errors.New("silent"), f.now, f.now)
	is.Equal(len(f.plan(0).AdviceRequests), 0)
	is.Equal(len(f.plan(adviceBackoff).AdviceRequests), 1)
}

func TestAdviceRequestsInFlightAreLimited(t *testing.T) {
	is := is.New(t)
	f := newAdvisorFixture(worker("a", 8000, 8000))
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		f.Add(spec(id, small(1)), f.now, 0)
	}
	out := f.plan(0)
	is.Equal(len(out.AdviceRequests), maxAdviceInFlight)
	f.HandleAdvice(out.AdviceRequests[0], map[string]string{}, nil, f.now, f.now)
	again := f.plan(0).AdviceRequests
	is.Equal(len(again), 1)
	is.True(again[0].Job != out.AdviceRequests[0].Job) // the only worker has been denied to the first job
}
