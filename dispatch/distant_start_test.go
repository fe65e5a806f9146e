package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
)

// Guards against ORDER: a start time beyond 292 years overflowed a time.Duration, and the task
// started at once.
func TestTaskWithADistantStartDoesNotStart(t *testing.T) {
	wall := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, first := range map[string]int64{
		"year 3000": time.Date(3000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli(),
		"year 9999": time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli(),
		"last":      math.MaxInt64,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("a", 8000, 64000))
			s := spec("job", batchStep(1, 1000, false))
			s.Schedule = job.Schedule{Times: 3, FirstUnixMS: first, IntervalMS: math.MaxInt64 / 2}
			f.Add(s, f.now, wall.UnixMilli())
			is.Equal(len(f.plan(time.Second).Starts), 0)
		})
	}
}
