package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
)

// Guards against a job that is shown as queued without end: the store's answer to its
// submission came after the job had moved to another cell, whose owner completed it, and
// the daemon kept the state that it had submitted (TestDividedHistories, seed 19).
func TestSubmittedStateIsNotKeptWithoutTheOwner(t *testing.T) {
	is := is.New(t)
	var cache jobStateCache
	cache.init()
	now := time.Unix(1000, 0)
	cache.add("moved", job.Queued, now)
	cache.add("told", job.Queued, now)
	cache.set("told", job.Queued, now) // by the owner
	cache.confirm(now, nil, now)
	for _, id := range []string{"moved", "told"} {
		state, ok := cache.state(id, now)
		is.True(ok)
		is.Equal(state, job.Queued)
	}
	now = now.Add(submittedTTL + time.Millisecond)
	cache.confirm(now, nil, now) // the owner confirms what it has told
	_, ok := cache.state("moved", now)
	is.True(!ok)
	state, ok := cache.state("told", now)
	is.True(ok)
	is.Equal(state, job.Queued)
	cache.set("moved", job.Running, now) // the job is back
	state, ok = cache.state("moved", now)
	is.True(ok)
	is.Equal(state, job.Running)
}
