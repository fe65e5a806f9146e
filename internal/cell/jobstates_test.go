package cell

import (
	"fmt"
	"testing"
	"testing/synctest"
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

// Guards against memory that grows for as long as a daemon runs: only the owner of a cell dropped the
// states of jobs that had ended.
func TestStatesOfEndedJobsAreDroppedOnEveryDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 173, 6, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitCells()
		for n := range 30 {
			spec := cl.spec(1)
			cl.submit(fmt.Sprintf("d%d", n%6), spec)
			cl.awaitState(spec.ID, job.Completed, 20*time.Second)
		}
		open := cl.spec(1)
		open.Schedule = job.Schedule{Times: 1, FirstUnixMS: time.Now().Add(time.Hour).UnixMilli()}
		cl.submit("d0", open)
		time.Sleep(stateRetention + 2*time.Minute)
		states := 0
		for _, name := range cl.names() {
			for _, c := range append(cl.daemons[name].group.others(), cl.daemons[name].cell) {
				c.jobStates.mu.Lock()
				for id := range c.jobStates.states {
					is.Equal(id, open.ID)
					states++
				}
				c.jobStates.mu.Unlock()
			}
		}
		is.True(states > 0) // the open job is still known
		is.Equal(cl.state(open.ID), job.Queued)
	})
}
