package claims_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/claims"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
)

// tableDelay bounds the time to the table service in each direction.
const tableDelay = 2 * time.Millisecond

// writeCost is the table load and latency measured at one request rate.
type writeCost struct {
	transactions, rows int64 // per 1,000 requests
	p50, p99           time.Duration
}

// measureWrites spreads requests at a fixed rate over daemons for ten seconds.
// A request's latency is its wait for the claim plus its wait for the outcome.
func measureWrites(daemons, perSecond int) writeCost {
	const seconds = 10
	s := newSimulation(1)
	s.daemons = nil
	for i := range daemons {
		s.daemons = append(s.daemons, s.newDaemon(i, tableDelay, daemons))
	}
	var latencies []time.Duration
	for i := range perSecond * seconds {
		s.clock.After(s.randomDuration(seconds*time.Second), func() {
			d := s.daemons[i%daemons]
			d.executor.Post(func() {
				d.claimAndComplete(fmt.Sprint("key-", i), func(latency time.Duration) { latencies = append(latencies, latency) })
			})
		})
	}
	s.clock.Run((seconds + 5) * time.Second)
	slices.Sort(latencies)
	n := int64(len(latencies))
	c := s.table.Counts()
	return writeCost{c.Commits * 1000 / n, c.RowWrites * 1000 / n, latencies[n/2], latencies[n*99/100]}
}

// claimAndComplete claims a key, completes it 20 ms later and passes done the
// time spent in both writes.
func (d *daemon) claimAndComplete(key string, done func(time.Duration)) {
	start := d.sim.clock.Now()
	claim := idempotency.Claim{Session: d.session, AttemptID: key, ClaimedUnixMS: start.UnixMilli()}
	d.claims.StartClaim(idempotency.Key{Member: "m", Service: "s", Value: key}, claim, start.Add(time.Minute), func(r claims.Result) {
		claimed := d.sim.clock.Now()
		d.sim.clock.After(20*time.Millisecond, func() {
			d.executor.Post(func() {
				responded := d.sim.clock.Now()
				d.claims.StartComplete(r.Ticket, idempotency.Outcome{Status: 200}, func(error) {
					done(d.sim.clock.Now().Sub(responded) + claimed.Sub(start))
				})
			})
		})
	})
}

// Without batching, 1,000 requests cost 2,000 transactions: one for the claim
// and one for the outcome. Batched, even an overload stays within the daemons'
// write budget.
func TestBatchingBoundsWrites(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []int{10, 100, 1000, 3000} {
		cost := measureWrites(8, perSecond)
		t.Logf("8 daemons, %d requests/s: %+v", perSecond, cost)
		is.True(cost.transactions <= 2000)
		is.True(cost.transactions*int64(perSecond)/1000 <= 205) // transactions a second
	}
}

// The collector must delete expired claims with their stored bodies, in few
// transactions, and keep all other claims.
func TestCollectorDeletesExpiredClaimsOnly(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1)
	d := s.daemons[0]
	large := make([]byte, 8<<10)
	for i := range 2000 {
		s.clock.After(s.randomDuration(10*time.Second), func() {
			d.executor.Post(func() {
				d.claimAndComplete(fmt.Sprint("old-", i), func(time.Duration) {})
			})
		})
	}
	s.clock.Run(20 * time.Second)
	ticket := claims.Ticket{
		Key:   idempotency.Key{Member: "m", Service: "s", Value: "large"},
		Claim: idempotency.Claim{Session: "d", AttemptID: "large", ClaimedUnixMS: s.clock.Now().UnixMilli()},
	}
	d.claims.StartClaim(ticket.Key, ticket.Claim, s.clock.Now().Add(time.Minute), func(r claims.Result) {
		d.claims.StartComplete(r.Ticket, idempotency.Outcome{Body: large}, func(err error) { is.NoErr(err) })
	})
	s.clock.Run(idempotency.Retention - 10*time.Minute)
	d.claimAndComplete("new", func(time.Duration) {})
	s.clock.Run(20 * time.Minute)
	before := s.table.Counts()
	collector := &claims.Collector{Table: s.table, Objects: s.table.Objects()}
	deleted := 0
	for found := true; found; {
		n, more, err := collector.Collect(context.Background(), s.clock.Now())
		is.NoErr(err)
		deleted, found = deleted+n, more
	}
	is.Equal(deleted, 2001)
	is.True(s.table.Counts().Commits-before.Commits <= 2001/50)
	_, err := s.table.Objects().Get(context.Background(), platform.ResponseObjectKey("large"))
	is.True(err != nil) // the stored body is deleted too
	rows, err := s.table.Scan(context.Background(), "claims/", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, platform.ClaimKey("m", "s", "new"))
	t.Logf("%d claims deleted in %d transactions", deleted, s.table.Counts().Commits-before.Commits)
}

// busyExecutor rejects the next posts, like an executor whose queue is full.
type busyExecutor struct {
	*fake.Executor
	refuse int
}

func (b *busyExecutor) Post(fn func()) bool {
	if b.refuse > 0 {
		b.refuse--
		return false
	}
	return b.Executor.Post(fn)
}

// A full executor queue must only delay changes: posts are retried.
func TestFullExecutorLosesNoChanges(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1)
	d := s.newDaemon(0, tableDelay, 1)
	busy := &busyExecutor{Executor: d.executor}
	d.claims = d.newClaims(busy, 1)
	completed := 0
	for i := range 20 {
		d.claimAndComplete(fmt.Sprint("key-", i), func(time.Duration) { completed++ })
	}
	s.clock.Run(time.Millisecond)
	busy.refuse = 5
	s.clock.Run(10 * time.Second)
	is.Equal(completed, 20)
}
