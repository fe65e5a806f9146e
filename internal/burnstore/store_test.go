package burnstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/fake"
)

var series = burn.Series{Service: "reorder", Member: "m"}

func newTestStore(p *fake.Platform, clock *fake.Clock, instance string) (*Store, *burn.Recorder) {
	r := burn.NewRecorder()
	s := NewStore(Options{Table: p, Objects: p.Objects(), Recorder: r, Instance: instance, Now: clock.Now})
	return s, r
}

// TestCountsOutliveDaemons replaces 20 daemons one after another, one an hour, with
// lost replies and with old hours being rolled up. The totals must equal an
// independent count.
func TestCountsOutliveDaemons(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := fake.NewClock(1)
	p := fake.NewPlatform()
	var want int64
	for i := range 20 {
		s, r := newTestStore(p, clock, fmt.Sprintf("daemon-%d", i))
		for range i + 1 {
			r.Observe(burn.Observation{At: clock.Now(), Series: series, Outcome: burn.OutcomeFailed})
			want++
			if i%3 == 0 {
				p.SetFaults(fake.Faults{LoseReplies: 1})
				_ = s.Flush(ctx) // the write succeeds but its reply is lost; the next flush repeats it
				p.SetFaults(fake.Faults{})
			}
			is.NoErr(s.Flush(ctx))
		}
		is.NoErr(s.RollUp(ctx))
		clock.Run(time.Hour)
	}
	reader, _ := newTestStore(p, clock, "reader")
	ledger, err := reader.Load(ctx)
	is.NoErr(err)
	is.Equal(ledger.Since(clock.Now().Add(-72 * time.Hour))[series].Total(), want)
}

func TestHoursPastReportRetentionAreDeleted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := fake.NewClock(1)
	p := fake.NewPlatform()
	s, r := newTestStore(p, clock, "a")
	r.Observe(burn.Observation{At: clock.Now(), Series: series})
	is.NoErr(s.Flush(ctx))
	clock.Run(80 * time.Hour)
	is.NoErr(s.RollUp(ctx))
	rows, err := p.Scan(ctx, "burn/", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 0)
}
