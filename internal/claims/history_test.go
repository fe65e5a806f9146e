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

// Over many seeded histories of kills, freezes, outages, lost and late replies
// and of callers that try again on other daemons, no booking runs twice, no
// try that was refused as not run has run, and every answer is the one that the
// target gave.
func TestBookingsRunAtMostOnce(t *testing.T) {
	var total tally
	for seed := range uint64(histories) {
		w := newWorld(seed)
		w.run()
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.violations)
		}
		total.add(w.tally)
	}
	is := is.New(t)
	is.True(total.ran > histories)              // most bookings run
	is.True(total.replayed > histories/10)      // kept answers are given again
	is.True(total.unknown > histories/10)       // claims without outcome are met
	is.True(total.notRun > histories/10)        // refusals are met
	is.True(total.afterRelease > histories/100) // a released key runs on a later try
	is.True(total.duplicates > histories/10)    // callers send keys more than once
	again := newWorld(7)
	again.run()
	once := newWorld(7)
	once.run()
	is.Equal(again.tally, once.tally) // a seed gives the same history
	t.Logf("%d histories: %+v", histories, total)
}

// Where nothing fails but the table's replies, every booking runs, and every
// caller has its answer, at the first try.
func TestLostRepliesHinderNoBooking(t *testing.T) {
	for seed := range uint64(histories / 10) {
		w := newWorld(seed)
		w.calm = true
		w.run()
		for _, b := range w.keys {
			if len(b.runs) != 1 || b.answer != b.runs[0] || len(w.notRun) > 0 {
				t.Fatalf("seed %d: %+v, refused %v", seed, b, w.notRun)
			}
		}
	}
}

const (
	daemonCount  = 3
	keyCount     = 3
	triesPerKey  = 6
	faultCount   = 5
	maxDelay     = 40 * time.Millisecond
	faultsEnd    = 6 * time.Second
	settlingTime = 20 * time.Second
)

type tally struct{ tries, ran, replayed, unknown, notRun, afterRelease, duplicates int }

func (t *tally) add(o tally) {
	t.tries += o.tries
	t.ran += o.ran
	t.replayed += o.replayed
	t.unknown += o.unknown
	t.notRun += o.notRun
	t.afterRelease += o.afterRelease
	t.duplicates += o.duplicates
}

// lateTable lets some transactions take effect long after their caller gave up.
type lateTable struct {
	*fake.Platform
	clock *fake.Clock
	late  int
}

func (l *lateTable) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if l.late == 0 {
		return l.Platform.Commit(ctx, txn)
	}
	l.late--
	l.clock.After(time.Duration(l.clock.Rand().Int64N(int64(3*time.Second))), func() {
		_, _ = l.Platform.Commit(context.Background(), txn)
	})
	return 0, &platform.UnavailableError{Op: "commit", Verdict: verdict.MayHaveRun, Err: errors.New("timeout")}
}

type world struct {
	clock      *fake.Clock
	rand       *rand.Rand
	table      *lateTable
	faults     fake.Faults
	daemons    []*daemon
	keys       [keyCount]booking
	notRun     map[string]bool
	ran        map[string]bool
	violations []string
	tally      tally
	// calm is set when only the table's replies are lost.
	calm bool
}

// booking is the truth about one key at the targets and its caller's view.
type booking struct {
	name   string
	runs   []string // tries that ran
	tries  int
	answer string
	notRun int
}

type daemon struct {
	w       *world
	x       *fake.Executor
	claims  *claims.Batcher
	session string
	dead    bool
}

func newWorld(seed uint64) *world {
	clock := fake.NewClock(seed)
	w := &world{clock: clock, rand: clock.Rand(), notRun: map[string]bool{}, ran: map[string]bool{}}
	w.table = &lateTable{Platform: fake.NewPlatform(), clock: clock}
	for i := range daemonCount {
		w.daemons = append(w.daemons, w.newDaemon(i, maxDelay, daemonCount))
	}
	for i := range w.keys {
		w.keys[i].name = fmt.Sprintf("key-%d", i)
	}
	return w
}

func (w *world) newDaemon(number int, delay time.Duration, daemons int) *daemon {
	d := &daemon{w: w, x: fake.NewExecutor(w.clock, delay), session: fmt.Sprintf("d%d-%d", number, w.clock.Now().UnixMilli())}
	d.claims = d.newClaims(d.x, daemons)
	return d
}

func (d *daemon) newClaims(x control.Executor, daemons int) *claims.Batcher {
	w := d.w
	return claims.NewBatcher(claims.Options{
		Executor: x, Table: w.table, Objects: w.table.Objects(), Now: w.clock.Now, After: w.clock.After,
		Metrics: claims.NewMetrics(metrics.NewRegistry()),
		Log:     &log.Logger{Handler: discard.New()},
		Daemons: func() int { return daemons },
	})
}

func (w *world) within(d time.Duration) time.Duration { return time.Duration(w.rand.Int64N(int64(d))) }
func (w *world) chance(percent int) bool              { return !w.calm && w.rand.IntN(100) < percent }

func (w *world) run() {
	for range faultCount {
		at := w.within(faultsEnd)
		if w.calm {
			w.clock.After(at, w.loseReplies)
		} else {
			w.clock.After(at, w.fault)
		}
	}
	for i := range w.keys {
		b := &w.keys[i]
		together := 1 + w.rand.IntN(2)
		w.clock.After(w.within(faultsEnd/2), func() {
			for range together {
				w.try(b, w.rand.IntN(daemonCount))
			}
		})
	}
	w.clock.Run(faultsEnd + settlingTime)
	for i := range w.keys {
		b := &w.keys[i]
		if len(b.runs) > 1 {
			w.fail("%s ran %d times: %v", b.name, len(b.runs), b.runs)
		}
		w.tally.duplicates += min(1, b.tries-1)
	}
}

func (w *world) fail(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// fault brings one failure about and ends it later.
func (w *world) fault() {
	i := w.rand.IntN(daemonCount)
	d := w.daemons[i]
	switch w.rand.IntN(5) {
	case 0:
		d.x.Kill()
		d.dead = true
		w.clock.After(w.within(time.Second), func() { w.daemons[i] = w.newDaemon(i, maxDelay, daemonCount) })
	case 1:
		d.x.Pause()
		w.clock.After(w.within(4*time.Second), func() { d.thaw() })
	case 2:
		w.setOutage(true)
		w.clock.After(w.within(2*time.Second), func() { w.setOutage(false) })
	case 3:
		w.loseReplies()
	default:
		w.table.late = 1 + w.rand.IntN(3)
	}
}

func (w *world) loseReplies() {
	w.faults.LoseReplies = 1 + w.rand.IntN(4)
	w.table.SetFaults(w.faults)
}

func (w *world) setOutage(on bool) {
	w.faults.Outage = on
	w.table.SetFaults(w.faults)
}

// thaw wakes a daemon; its session may have been replaced by then.
func (d *daemon) thaw() {
	if d.w.chance(50) {
		d.session += "'"
	}
	d.x.Resume()
}

// try sends one try of a key to a daemon.
func (w *world) try(b *booking, number int) {
	if b.tries == triesPerKey {
		return
	}
	b.tries++
	w.tally.tries++
	id := fmt.Sprintf("%s/%d", b.name, b.tries)
	deadline := w.clock.Now().Add(500*time.Millisecond + w.within(2*time.Second))
	answered := false
	w.clock.After(w.within(maxDelay), func() {
		w.daemons[number].serve(b, id, deadline, func(v verdict.Verdict, body string) {
			if !answered {
				answered = true
				w.answered(b, id, v, body)
			}
		})
	})
	// A caller without answer tries again, sometimes before its deadline.
	w.clock.After(deadline.Sub(w.clock.Now())+w.within(time.Second)-300*time.Millisecond, func() {
		if !answered {
			answered = w.chance(50) // half of the callers still take a late answer
			w.try(b, w.rand.IntN(daemonCount))
		}
	})
}

// answered checks an answer that reached the caller.
func (w *world) answered(b *booking, id string, v verdict.Verdict, body string) {
	switch v {
	case verdict.Ran:
		w.tally.ran++
		if b.answer != "" && b.answer != body {
			w.fail("%s was answered with %s and with %s", b.name, b.answer, body)
		}
		if !w.ran[body] {
			w.fail("%s was answered with %s, which did not run", b.name, body)
		}
		if body != id {
			w.tally.replayed++
		} else if b.notRun > 0 {
			w.tally.afterRelease++
		}
		b.answer = body
		if w.chance(30) {
			w.try(b, w.rand.IntN(daemonCount)) // twice
		}
	case verdict.NotRun:
		w.tally.notRun++
		b.notRun++
		w.notRun[id] = true
		if w.ran[id] {
			w.fail("%s was refused as not run after it ran", id)
		}
		w.clock.After(w.within(time.Second), func() { w.try(b, w.rand.IntN(daemonCount)) })
	default:
		w.tally.unknown++
		w.clock.After(w.within(time.Second), func() { w.try(b, w.rand.IntN(daemonCount)) })
	}
}

// serve is the course of one try through a daemon, as in internal/entry.
func (d *daemon) serve(b *booking, id string, deadline time.Time, reply func(verdict.Verdict, string)) {
	w := d.w
	claim := idempotency.Claim{Session: d.session, AttemptID: id, RequestDigest: b.name, ClaimedUnixMS: w.clock.Now().UnixMilli()}
	key := idempotency.Key{Member: "m", Service: "s", Value: b.name}
	flow := idempotency.NewFlow(claim, deadline)
	answer := func(v verdict.Verdict, body string) {
		if !w.chance(5) { // some answers are lost
			w.clock.After(w.within(maxDelay), func() { reply(v, body) })
		}
	}
	d.x.Post(func() {
		d.claims.StartClaim(key, claim, deadline, func(r claims.Result) {
			next := flow.ClaimFailed()
			if r.Err == nil {
				next = flow.Claimed(r.Action, w.clock.Now(), d.session)
			}
			switch next.Command {
			case idempotency.CommandSend:
				d.send(flow, r.Ticket, deadline, answer)
			case idempotency.CommandRelease:
				answer(next.Verdict, "")
				d.claims.StartRelease(r.Ticket)
			default:
				body := ""
				if next.Reason == idempotency.ReasonReplayed {
					body = string(r.Stored.Outcome.Body)
				}
				answer(next.Verdict, body)
			}
		})
	})
}

// send runs the request on a target, unless the connection fails.
func (d *daemon) send(flow *idempotency.Flow, ticket claims.Ticket, deadline time.Time, answer func(verdict.Verdict, string)) {
	w := d.w
	id := ticket.Claim.AttemptID
	if !w.clock.Now().Before(deadline) || d.session != ticket.Claim.Session {
		w.fail("%s was sent after its deadline or its session", id)
	}
	ended := false
	end := func(fn func()) func() {
		return func() {
			if !ended {
				ended = true
				fn()
			}
		}
	}
	if w.chance(15) {
		w.clock.After(w.within(maxDelay), func() {
			d.x.Post(end(func() {
				answer(flow.NotSent().Verdict, "")
				d.claims.StartRelease(ticket)
			}))
		})
		return
	}
	w.clock.After(w.within(maxDelay), func() {
		w.runAtTarget(id)
		if w.chance(10) {
			return // the target's answer is lost
		}
		w.clock.After(w.within(2*maxDelay), func() { d.x.Post(end(func() { d.keep(flow, ticket, answer) })) })
	})
	w.clock.After(deadline.Sub(w.clock.Now()), func() {
		d.x.Post(end(func() { answer(flow.NoResponse().Verdict, "") }))
	})
}

func (w *world) runAtTarget(id string) {
	for i := range w.keys {
		if b := &w.keys[i]; b.name == id[:len(b.name)] {
			b.runs = append(b.runs, id)
		}
	}
	w.ran[id] = true
	if w.notRun[id] {
		w.fail("%s ran after it was refused as not run", id)
	}
}

func (d *daemon) keep(flow *idempotency.Flow, ticket claims.Ticket, answer func(verdict.Verdict, string)) {
	body := ticket.Claim.AttemptID
	flow.ResponseReceived()
	d.claims.StartComplete(ticket, idempotency.Outcome{Status: 200, Body: []byte(body)}, func(err error) {
		answer(flow.Stored(err == nil).Verdict, body)
	})
}
