package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/job"
)

// Guards against TWICE: more tasks end while no daemon lists their worker than one listing
// holds, and the next owner starts those again whose ends are in the second.
func TestTasksWhoseEndsAreInALaterListingDoNotRunAgain(t *testing.T) {
	for name, disturb := range map[string]func(cl *cluster, owner string){
		"owner killed": func(cl *cluster, owner string) { cl.kill(owner) },
		"store away": func(cl *cluster, _ string) {
			cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultRefused })
			time.Sleep(4500 * time.Millisecond)
			cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				work := func(string) time.Duration { return 2500 * time.Millisecond }
				cl := newClusterOf(t, 140, 3, 2, fake.FleetOptions{Now: time.Now, TaskDuration: work, EndsPerListing: 3}, nil)
				defer cl.stopAll()
				owner := cl.awaitOwner()
				time.Sleep(2 * time.Second)
				spec := cl.spec(14)
				spec.Steps = spec.Steps[:1]
				cl.submit(owner, spec)
				time.Sleep(1500 * time.Millisecond)
				disturb(cl, owner)
				cl.awaitState(spec.ID, job.Completed, 20*time.Second)
				is.Equal(cl.fleet.StartsOfJob(spec.ID), 14)
				cl.check()
			})
		})
	}
}
