package claims_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/claims"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// Simulates killed and paused daemons, table outages, lost and delayed table
// replies, and callers that retry on other daemons. No keyed request may run
// twice, no attempt answered with not-run may have run, and every response must
// be the one that the target gave.
func TestKeyedRequestsRunAtMostOnce(t *testing.T) {
	var total counters
	for seed := range uint64(simulationCount) {
		s := newSimulation(seed)
		s.run()
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, s.violations)
		}
		total.add(s.counters)
	}
	is := is.New(t)
	is.True(total.ran > simulationCount)              // most requests run
	is.True(total.replayed > simulationCount/10)      // stored responses are replayed
	is.True(total.unknown > simulationCount/10)       // attempts meet claims without an outcome
	is.True(total.notRun > simulationCount/10)        // attempts are refused
	is.True(total.afterRelease > simulationCount/100) // a released key runs on a later attempt
	is.True(total.duplicates > simulationCount/10)    // callers send keys more than once
	again := newSimulation(7)
	again.run()
	once := newSimulation(7)
	once.run()
	is.Equal(again.counters, once.counters) // the same seed gives the same run
	t.Logf("%d simulations: %+v", simulationCount, total)
}

// If the only faults are lost table replies, every request must run and every
// caller must get its response on the first attempt: the batcher reads the rows
// back instead of failing the request.
func TestRequestsSucceedDespiteLostReplies(t *testing.T) {
	for seed := range uint64(simulationCount / 10) {
		s := newSimulation(seed)
		s.onlyReplyLoss = true
		s.run()
		for _, req := range s.requests {
			if len(req.runs) != 1 || req.response != req.runs[0] || len(s.notRun) > 0 {
				t.Fatalf("seed %d: %+v, refused %v", seed, req, s.notRun)
			}
		}
	}
}

const (
	daemonCount    = 3
	keyCount       = 3
	attemptsPerKey = 6
	faultCount     = 5
	maxDelay       = 40 * time.Millisecond
	faultsEnd      = 6 * time.Second
	settlingTime   = 20 * time.Second
)

type counters struct{ attempts, ran, replayed, unknown, notRun, afterRelease, duplicates int }

func (c *counters) add(o counters) {
	c.attempts += o.attempts
	c.ran += o.ran
	c.replayed += o.replayed
	c.unknown += o.unknown
	c.notRun += o.notRun
	c.afterRelease += o.afterRelease
	c.duplicates += o.duplicates
}

// delayedTable applies the next delayedCommits transactions up to three seconds
// after it reported them as timed out.
type delayedTable struct {
	*fake.Platform
	clock          *fake.Clock
	delayedCommits int
}

func (l *delayedTable) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if l.delayedCommits == 0 {
		return l.Platform.Commit(ctx, txn)
	}
	l.delayedCommits--
	l.clock.After(time.Duration(l.clock.Rand().Int64N(int64(3*time.Second))), func() {
		_, _ = l.Platform.Commit(context.Background(), txn)
	})
	return 0, &platform.UnavailableError{Op: "commit", Verdict: verdict.MayHaveRun, Err: errors.New("timeout")}
}

type simulation struct {
	clock      *fake.Clock
	rand       *rand.Rand
	table      *delayedTable
	faults     fake.Faults
	daemons    []*daemon
	requests   [keyCount]keyedRequest
	notRun     map[string]bool
	ran        map[string]bool
	violations []string
	counters   counters
	// onlyReplyLoss restricts the injected faults to lost table replies.
	onlyReplyLoss bool
}

// keyedRequest records what ran for one key and which responses its caller got.
type keyedRequest struct {
	name     string
	runs     []string // attempts that ran
	attempts int
	response string
	notRun   int
}

type daemon struct {
	sim      *simulation
	executor *fake.Executor
	claims   *claims.Batcher
	session  string
	dead     bool
}

func newSimulation(seed uint64) *simulation {
	clock := fake.NewClock(seed)
	s := &simulation{clock: clock, rand: clock.Rand(), notRun: map[string]bool{}, ran: map[string]bool{}}
	s.table = &delayedTable{Platform: fake.NewPlatform(), clock: clock}
	for i := range daemonCount {
		s.daemons = append(s.daemons, s.newDaemon(i, maxDelay, daemonCount))
	}
	for i := range s.requests {
		s.requests[i].name = fmt.Sprintf("key-%d", i)
	}
	return s
}

func (s *simulation) newDaemon(index int, delay time.Duration, daemons int) *daemon {
	d := &daemon{sim: s, executor: fake.NewExecutor(s.clock, delay), session: fmt.Sprintf("d%d-%d", index, s.clock.Now().UnixMilli())}
	d.claims = d.newClaims(d.executor, daemons)
	return d
}

func (d *daemon) newClaims(x control.Executor, daemons int) *claims.Batcher {
	s := d.sim
	return claims.NewBatcher(claims.Options{
		Executor: x, Table: s.table, Objects: s.table.Objects(), Now: s.clock.Now, After: s.clock.After,
		Metrics: claims.NewMetrics(metrics.NewRegistry()),
		Log:     &log.Logger{Handler: discard.New()},
		Daemons: func() int { return daemons },
	})
}

func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(d)))
}
func (s *simulation) chance(percent int) bool { return !s.onlyReplyLoss && s.rand.IntN(100) < percent }

func (s *simulation) run() {
	for range faultCount {
		at := s.randomDuration(faultsEnd)
		if s.onlyReplyLoss {
			s.clock.After(at, s.loseReplies)
		} else {
			s.clock.After(at, s.injectFault)
		}
	}
	for i := range s.requests {
		req := &s.requests[i]
		concurrent := 1 + s.rand.IntN(2)
		s.clock.After(s.randomDuration(faultsEnd/2), func() {
			for range concurrent {
				s.attempt(req, s.rand.IntN(daemonCount))
			}
		})
	}
	s.clock.Run(faultsEnd + settlingTime)
	for i := range s.requests {
		req := &s.requests[i]
		if len(req.runs) > 1 {
			s.addViolation("%s ran %d times: %v", req.name, len(req.runs), req.runs)
		}
		s.counters.duplicates += min(1, req.attempts-1)
	}
}

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// injectFault injects a random fault and schedules its end.
func (s *simulation) injectFault() {
	i := s.rand.IntN(daemonCount)
	d := s.daemons[i]
	switch s.rand.IntN(5) {
	case 0:
		d.executor.Kill()
		d.dead = true
		s.clock.After(s.randomDuration(time.Second), func() { s.daemons[i] = s.newDaemon(i, maxDelay, daemonCount) })
	case 1:
		d.executor.Pause()
		s.clock.After(s.randomDuration(4*time.Second), func() { d.resume() })
	case 2:
		s.setOutage(true)
		s.clock.After(s.randomDuration(2*time.Second), func() { s.setOutage(false) })
	case 3:
		s.loseReplies()
	default:
		s.table.delayedCommits = 1 + s.rand.IntN(3)
	}
}

func (s *simulation) loseReplies() {
	s.faults.LoseReplies = 1 + s.rand.IntN(4)
	s.table.SetFaults(s.faults)
}

func (s *simulation) setOutage(on bool) {
	s.faults.Outage = on
	s.table.SetFaults(s.faults)
}

// resume resumes a paused daemon. Its session may have been replaced meanwhile.
func (d *daemon) resume() {
	if d.sim.chance(50) {
		d.session += "'"
	}
	d.executor.Resume()
}

// attempt sends the request to a daemon, at most attemptsPerKey times in all.
func (s *simulation) attempt(req *keyedRequest, index int) {
	if req.attempts == attemptsPerKey {
		return
	}
	req.attempts++
	s.counters.attempts++
	id := fmt.Sprintf("%s/%d", req.name, req.attempts)
	deadline := s.clock.Now().Add(500*time.Millisecond + s.randomDuration(2*time.Second))
	replied := false
	s.clock.After(s.randomDuration(maxDelay), func() {
		s.daemons[index].serve(req, id, deadline, func(v verdict.Verdict, body string) {
			if !replied {
				replied = true
				s.handleReply(req, id, v, body)
			}
		})
	})
	// A caller without a response retries, sometimes before its deadline.
	s.clock.After(deadline.Sub(s.clock.Now())+s.randomDuration(time.Second)-300*time.Millisecond, func() {
		if !replied {
			replied = s.chance(50) // half of the callers still accept a late response
			s.attempt(req, s.rand.IntN(daemonCount))
		}
	})
}

// handleReply checks a response that reached the caller.
func (s *simulation) handleReply(req *keyedRequest, id string, v verdict.Verdict, body string) {
	switch v {
	case verdict.Ran:
		s.counters.ran++
		if req.response != "" && req.response != body {
			s.addViolation("%s was answered with %s and with %s", req.name, req.response, body)
		}
		if !s.ran[body] {
			s.addViolation("%s was answered with %s, which did not run", req.name, body)
		}
		if body != id {
			s.counters.replayed++
		} else if req.notRun > 0 {
			s.counters.afterRelease++
		}
		req.response = body
		if s.chance(30) {
			s.attempt(req, s.rand.IntN(daemonCount)) // duplicate after success
		}
	case verdict.NotRun:
		s.counters.notRun++
		req.notRun++
		s.notRun[id] = true
		if s.ran[id] {
			s.addViolation("%s was refused as not run after it ran", id)
		}
		s.clock.After(s.randomDuration(time.Second), func() { s.attempt(req, s.rand.IntN(daemonCount)) })
	default:
		s.counters.unknown++
		s.clock.After(s.randomDuration(time.Second), func() { s.attempt(req, s.rand.IntN(daemonCount)) })
	}
}

// serve models how internal/entry handles one attempt.
func (d *daemon) serve(req *keyedRequest, id string, deadline time.Time, reply func(verdict.Verdict, string)) {
	s := d.sim
	claim := idempotency.Claim{Session: d.session, AttemptID: id, RequestDigest: req.name, ClaimedUnixMS: s.clock.Now().UnixMilli()}
	key := idempotency.Key{Member: "m", Service: "s", Value: req.name}
	flow := idempotency.NewFlow(claim, deadline)
	respond := func(v verdict.Verdict, body string) {
		if !s.chance(5) { // some responses are lost
			s.clock.After(s.randomDuration(maxDelay), func() { reply(v, body) })
		}
	}
	d.executor.Post(func() {
		d.claims.StartClaim(key, claim, deadline, func(r claims.Result) {
			next := flow.ClaimFailed()
			if r.Err == nil {
				next = flow.Claimed(r.Action, s.clock.Now(), d.session)
			}
			switch next.Command {
			case idempotency.CommandSend:
				d.send(flow, r.Ticket, deadline, respond)
			case idempotency.CommandRelease:
				respond(next.Verdict, "")
				d.claims.StartRelease(r.Ticket)
			default:
				body := ""
				if next.Reason == idempotency.ReasonReplayed {
					body = string(r.Stored.Outcome.Body)
				}
				respond(next.Verdict, body)
			}
		})
	})
}

// send runs the request on a target unless the connection fails.
func (d *daemon) send(flow *idempotency.Flow, ticket claims.Ticket, deadline time.Time, respond func(verdict.Verdict, string)) {
	s := d.sim
	id := ticket.Claim.AttemptID
	if !s.clock.Now().Before(deadline) || d.session != ticket.Claim.Session {
		s.addViolation("%s was sent after its deadline or its session", id)
	}
	done := false
	once := func(fn func()) func() {
		return func() {
			if !done {
				done = true
				fn()
			}
		}
	}
	if s.chance(15) {
		s.clock.After(s.randomDuration(maxDelay), func() {
			d.executor.Post(once(func() {
				respond(flow.NotSent().Verdict, "")
				d.claims.StartRelease(ticket)
			}))
		})
		return
	}
	s.clock.After(s.randomDuration(maxDelay), func() {
		s.runAtTarget(id)
		if s.chance(10) {
			return // the target's response is lost
		}
		s.clock.After(s.randomDuration(2*maxDelay), func() { d.executor.Post(once(func() { d.complete(flow, ticket, respond) })) })
	})
	s.clock.After(deadline.Sub(s.clock.Now()), func() {
		d.executor.Post(once(func() { respond(flow.NoResponse().Verdict, "") }))
	})
}

func (s *simulation) runAtTarget(id string) {
	for i := range s.requests {
		if req := &s.requests[i]; req.name == id[:len(req.name)] {
			req.runs = append(req.runs, id)
		}
	}
	s.ran[id] = true
	if s.notRun[id] {
		s.addViolation("%s ran after it was refused as not run", id)
	}
}

func (d *daemon) complete(flow *idempotency.Flow, ticket claims.Ticket, respond func(verdict.Verdict, string)) {
	body := ticket.Claim.AttemptID
	flow.ResponseReceived()
	d.claims.StartComplete(ticket, idempotency.Outcome{Status: 200, Body: []byte(body)}, func(err error) {
		respond(flow.Stored(err == nil).Verdict, body)
	})
}
