package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

func reportOf(number uint64, leaving string) *peerpb.LoadReport {
	return &peerpb.LoadReport{
		Session: "s", Sequence: number, LeavingVms: []string{leaving},
		Services: []*peerpb.ServiceLoad{{Service: "stock", Region: "hobart", InFlight: uint32(number)}},
	}
}

// However reports are delayed, repeated or mixed up, the newest one counts, and
// it counts no longer than maxReportAge.
func TestLateReportNeverReplacesNewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newLoadTable()
		now := time.Unix(0, 0)
		var newest uint64
		var newestAt time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			table.expire(now)
			number := rapid.Uint64Range(1, 40).Draw(t, "number")
			table.take(reportOf(number, "w1"), now)
			if number > newest {
				newest, newestAt = number, now
			}
			want := int(newest)
			if now.Sub(newestAt) > maxReportAge {
				want = 0
			}
			if here, _ := table.inFlight("stock", "hobart"); here != want {
				t.Fatalf("%d in flight, the newest report says %d", here, want)
			}
		}
	})
}

func TestPeersWordThatTargetLeavesEndsWithItsReport(t *testing.T) {
	is := is.New(t)
	table := newLoadTable()
	now := time.Unix(0, 0)
	table.take(reportOf(1, "w1"), now)
	is.True(table.leaving("w1"))
	table.expire(now.Add(maxReportAge + time.Millisecond)) // the peer is silent
	is.True(!table.leaving("w1"))
}
