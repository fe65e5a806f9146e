package traffic_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/traffic"
)

// A daemon whose control goroutine is stalled must stop serving, although its
// traffic goroutines still run: the snapshot expires by itself.
func TestSnapshotExpires(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := traffic.Snapshot{Ready: true, ValidUntil: now.Add(time.Second)}
	ok, _ := s.Serving(now)
	is.True(ok)
	ok, reason := s.Serving(s.ValidUntil)
	is.True(!ok)
	is.Equal(reason, "the daemon's view of the configuration has expired")
	s.Ready, s.Reason = false, "the daemon is draining"
	ok, reason = s.Serving(now)
	is.True(!ok)
	is.Equal(reason, "the daemon is draining")
}
