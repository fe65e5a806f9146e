package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// newLoadReport returns a report whose number of requests in flight equals its
// sequence number.
func newLoadReport(sequence uint64, leaving string) *peerpb.LoadReport {
	return &peerpb.LoadReport{
		Session: "s", Sequence: sequence, LeavingVms: []string{leaving},
		Services: []*peerpb.ServiceLoad{{Service: "stock", Region: "hobart", InFlight: uint32(sequence)}},
	}
}

// A delayed or repeated report must not replace a newer one of its session, and
// no report may be used for longer than maxReportAge.
func TestLateReportNeverReplacesNewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newLoadTable()
		now := time.Unix(0, 0)
		var newest uint64
		var newestAt time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			table.expire(now)
			sequence := rapid.Uint64Range(1, 40).Draw(t, "number")
			table.record(newLoadReport(sequence, "w1"), now)
			if sequence > newest {
				newest, newestAt = sequence, now
			}
			want := int(newest)
			if now.Sub(newestAt) > maxReportAge {
				want = 0
			}
			if local, _ := table.peersInFlight("stock", "hobart"); local != want {
				t.Fatalf("%d in flight, the newest report says %d", local, want)
			}
		}
	})
}

func TestPeersLeavingNoticeExpiresWithItsReport(t *testing.T) {
	is := is.New(t)
	table := newLoadTable()
	now := time.Unix(0, 0)
	table.record(newLoadReport(1, "w1"), now)
	is.True(table.leaving("w1"))
	table.expire(now.Add(maxReportAge + time.Millisecond)) // no newer report arrives
	is.True(!table.leaving("w1"))
}
