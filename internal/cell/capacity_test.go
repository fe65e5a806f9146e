package cell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// newLimitedCluster returns a divided cluster whose workers run what they are told to and
// have room for few tasks.
func newLimitedCluster(t *testing.T, seed uint64, daemons int, work func(task string) time.Duration, fails func(string, int) bool) *cluster {
	t.Helper()
	cl := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), store: fake.NewRowStore(), daemons: map[string]*daemon{},
		milliCPU: func(string) int64 { return smallMilliCPU }, divided: true, storedDirectory: true,
	}
	cl.fleet = fake.NewFleet(fake.FleetOptions{
		Now: time.Now, TaskDuration: work, Fails: fails, SpeculationOptions: fake.SpeculationOptions{Speculative: speculativeTask},
		Demand: func(string) job.Resources { return job.Resources{MilliCPU: 1000, MemoryMB: 1000} },
	})
	for r := range dividedRacks {
		for i := range workersPerRack {
			cl.fleet.AddTo(regionOfRack(r), fmt.Sprintf("r%d", r), fmt.Sprintf("w%d-%d", r, i), "pool", job.Resources{MilliCPU: 4000, MemoryMB: 64000})
		}
	}
	for i := range daemons {
		cl.start(fmt.Sprintf("d%d", i))
	}
	return cl
}

// storedDirectory is a daemon's access to the directory. A read fails and takes as long as
// those of other tables, and returns the list as of its start.
type storedDirectory struct {
	cl *cluster
	d  *daemon
}

// List implements port.Directory.
func (s storedDirectory) List(ctx context.Context) ([]port.WorkerEntry, error) {
	list, err := s.cl.fleet.List(ctx)
	if err != nil {
		return nil, err
	}
	read := func() error {
		_, err := (daemonStore{s.cl.store, s.d}).Range(ctx, "servers", "", "", "\x00", 1)
		return err
	}
	var evacuationsErr error
	var wg sync.WaitGroup
	if s.cl.maxEvacuation > 0 { // two reads, either of which may fail
		wg.Go(func() { evacuationsErr = read() })
	}
	err = read()
	wg.Wait()
	if err = errors.Join(err, evacuationsErr); err != nil {
		return nil, err
	}
	return list, nil
}

// setAllCapacities gives every worker a capacity, which their entries show at once.
func (cl *cluster) setAllCapacities(capacity job.Resources) {
	for r := range dividedRacks {
		for i := range workersPerRack {
			cl.fleet.SetCapacity(fmt.Sprintf("w%d-%d", r, i), capacity, 0)
		}
	}
}
