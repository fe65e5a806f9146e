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

// load is what a rate of bookings costs.
type load struct {
	transactions, rows int64 // per 1,000 bookings
	p50, p99           time.Duration
}

// book makes bookings at a rate over daemons for ten seconds. Each waits for
// its claim and for its outcome; the latencies are the sums of both waits.
func book(daemons, perSecond int) load {
	const seconds = 10
	w := newWorld(1)
	w.daemons = nil
	for i := range daemons {
		w.daemons = append(w.daemons, w.newDaemon(i, tableDelay, daemons))
	}
	var waits []time.Duration
	for i := range perSecond * seconds {
		w.clock.After(w.within(seconds*time.Second), func() {
			d := w.daemons[i%daemons]
			d.x.Post(func() { d.book(fmt.Sprint("key-", i), func(wait time.Duration) { waits = append(waits, wait) }) })
		})
	}
	w.clock.Run((seconds + 5) * time.Second)
	slices.Sort(waits)
	n := int64(len(waits))
	c := w.table.Counts()
	return load{c.Commits * 1000 / n, c.RowWrites * 1000 / n, waits[n/2], waits[n*99/100]}
}

func (d *daemon) book(key string, done func(time.Duration)) {
	begun := d.w.clock.Now()
	claim := idempotency.Claim{Session: d.session, AttemptID: key, ClaimedUnixMS: begun.UnixMilli()}
	d.claims.StartClaim(idempotency.Key{Member: "m", Service: "s", Value: key}, claim, begun.Add(time.Minute), func(r claims.Result) {
		claimed := d.w.clock.Now()
		d.w.clock.After(20*time.Millisecond, func() {
			d.x.Post(func() {
				sent := d.w.clock.Now()
				d.claims.StartComplete(r.Ticket, idempotency.Outcome{Status: 200}, func(error) {
					done(d.w.clock.Now().Sub(sent) + claimed.Sub(begun))
				})
			})
		})
	})
}

// A claim and an outcome in transactions of their own cost 2,000 transactions
// for 1,000 bookings. Grouped, a overload stays within the daemons' write budget.
func TestGroupingBoundsWrites(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []int{10, 100, 1000, 3000} {
		l := book(8, perSecond)
		t.Logf("8 daemons, %d bookings/s: %+v", perSecond, l)
		is.True(l.transactions <= 2000)
		is.True(l.transactions*int64(perSecond)/1000 <= 205) // transactions a second
	}
}

// Deletion removes what has expired, with its answers, in few transactions,
// and nothing else.
func TestSweepDeletesExpiredClaimsOnly(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	d := w.daemons[0]
	large := make([]byte, 8<<10)
	for i := range 2000 {
		w.clock.After(w.within(10*time.Second), func() {
			d.x.Post(func() {
				d.book(fmt.Sprint("old-", i), func(time.Duration) {})
			})
		})
	}
	w.clock.Run(20 * time.Second)
	ticket := claims.Ticket{
		Key:   idempotency.Key{Member: "m", Service: "s", Value: "large"},
		Claim: idempotency.Claim{Session: "d", AttemptID: "large", ClaimedUnixMS: w.clock.Now().UnixMilli()},
	}
	d.claims.StartClaim(ticket.Key, ticket.Claim, w.clock.Now().Add(time.Minute), func(r claims.Result) {
		d.claims.StartComplete(r.Ticket, idempotency.Outcome{Body: large}, func(err error) { is.NoErr(err) })
	})
	w.clock.Run(idempotency.Retention - 10*time.Minute)
	d.book("new", func(time.Duration) {})
	w.clock.Run(20 * time.Minute)
	before := w.table.Counts()
	s := &claims.Sweeper{Table: w.table, Objects: w.table.Objects()}
	deleted := 0
	for found := true; found; {
		n, more, err := s.Sweep(context.Background(), w.clock.Now())
		is.NoErr(err)
		deleted, found = deleted+n, more
	}
	is.Equal(deleted, 2001)
	is.True(w.table.Counts().Commits-before.Commits <= 2001/50)
	_, err := w.table.Objects().Get(context.Background(), platform.ResponseObjectKey("large"))
	is.True(err != nil) // the kept answer is gone too
	rows, err := w.table.Scan(context.Background(), "claims/", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, platform.ClaimKey("m", "s", "new"))
	t.Logf("%d claims deleted in %d transactions", deleted, w.table.Counts().Commits-before.Commits)
}

// busyExecutor refuses the next posts, as one whose queue is full.
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

// A full queue of the executor delays changes and loses none.
func TestFullExecutorLosesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	d := w.newDaemon(0, tableDelay, 1)
	busy := &busyExecutor{Executor: d.x}
	d.claims = d.newClaims(busy, 1)
	booked := 0
	for i := range 20 {
		d.book(fmt.Sprint("key-", i), func(time.Duration) { booked++ })
	}
	w.clock.Run(time.Millisecond)
	busy.refuse = 5
	w.clock.Run(10 * time.Second)
	is.Equal(booked, 20)
}
