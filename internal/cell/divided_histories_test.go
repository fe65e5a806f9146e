package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

func (cl *cluster) restartMissing() {
	for i := range 6 {
		if name := fmt.Sprintf("d%d", i); cl.daemons[name] == nil {
			cl.start(name)
		}
	}
}

// TestDividedHistories runs histories of faults in a divided cluster. It checks what
// TestHistories checks, and that jobs that move are in one cell at a time.
func TestDividedHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(*histories); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runDividedHistory(t, seed, true, (*cluster).historySpec) })
		})
	}
}

// TestDividedHistoriesRegression runs the histories that once failed.
func TestDividedHistoriesRegression(t *testing.T) {
	seeds := []uint64{
		17, 60, // racks moved out of the lead cell whose ends it had not committed
		35, // the lead cell's owner started tasks in other cells while the first map was being committed
	}
	for _, seed := range seeds {
		for _, moves := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed=%d,moves=%t", seed, moves), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runDividedHistory(t, seed, moves, (*cluster).spec) })
			})
		}
	}
}

// runDividedHistory runs a history of faults, in which jobs also move if moves is set.
func runDividedHistory(t *testing.T, seed uint64, moves bool, newSpec func(*cluster, int) job.Spec) {
	work := func(task string) time.Duration {
		return time.Duration(100+200*(len(task)+int(task[len(task)-1]))%2900) * time.Millisecond
	}
	cl := newDividedCluster(t, seed, 6, work, func(_ string, attempt int) bool { return attempt%7 == 3 })
	defer cl.stopAll()
	cl.awaitOwner()
	rng := rand.New(rand.NewPCG(seed, 7))
	var accepted []string
	var cancelled []string
	emptied := newEmptiedCells(cl, seed)
	for range 12 {
		for range 1 + rng.IntN(4) {
			spec := newSpec(cl, 1+rng.IntN(5))
			if cl.trySubmit(fmt.Sprintf("d%d", rng.IntN(6)), spec) == nil {
				accepted = append(accepted, spec.ID)
			}
		}
		if len(accepted) > 0 && rng.IntN(3) == 0 {
			id := accepted[rng.IntN(len(accepted))]
			if d := cl.daemons[fmt.Sprintf("d%d", rng.IntN(6))]; d != nil && cl.tryCancel(d, id) {
				cancelled = append(cancelled, id)
			}
		}
		if moves {
			accepted = append(accepted, emptied.change()...)
		}
		cl.injectDividedFault(rng)
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	cl.clearDividedFaults()
	emptied.clear()
	for _, id := range accepted {
		cl.awaitFinal(id, 90*time.Second)
	}
	for _, id := range cancelled {
		if state := cl.state(id); state != job.Cancelled && state != job.Completed && state != job.Failed {
			t.Errorf("the cancelled job %s is %q", id, state)
		}
	}
	cl.check()
	emptied.check(accepted)
}

func (cl *cluster) tryCancel(d *daemon, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return d.group.Cancel(ctx, id) == nil
}

// injectDividedFault injects a random fault, or clears one, and may restart daemons.
func (cl *cluster) injectDividedFault(rng *rand.Rand) {
	worker := fmt.Sprintf("w%d-%d", rng.IntN(dividedRacks), rng.IntN(workersPerRack))
	d := cl.daemons[fmt.Sprintf("d%d", rng.IntN(6))]
	if rng.IntN(2) == 0 {
		if owner := cl.ownerOf(rng.IntN(4)); owner != nil {
			d = owner
		}
	}
	switch rng.IntN(10) {
	case 0, 1:
		if d != nil {
			cl.kill(d.name)
		}
	case 2:
		for _, name := range cl.names() {
			cl.kill(name)
		}
		cl.restartMissing()
	case 3:
		cl.fleet.SetUnreachable(worker, rng.IntN(2) == 0)
	case 4:
		cl.fleet.Restart(worker)
	case 5:
		cl.fleet.DelayStarts(worker, time.Duration(rng.IntN(2))*2*time.Second)
	case 6:
		if d != nil {
			d.storeUnreachable.Store(rng.IntN(2) == 0)
		}
	case 7:
		if d != nil {
			d.isolated.Store(rng.IntN(2) == 0)
		}
	case 8:
		share, calls := rng.Float64(), rand.New(rand.NewPCG(rng.Uint64(), 4))
		cl.store.SetFault(func(string) fake.StoreFault { // runs under the store's lock
			if calls.Float64() < share/2 {
				return fake.FaultResponseLost
			}
			return fake.FaultNone
		})
	case 9:
		cl.store.Compact()
	}
	if rng.IntN(2) == 0 {
		cl.restartMissing()
	}
}

func (cl *cluster) clearDividedFaults() {
	cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
	for r := range dividedRacks {
		for i := range workersPerRack {
			id := fmt.Sprintf("w%d-%d", r, i)
			cl.fleet.SetUnreachable(id, false)
			cl.fleet.DelayStarts(id, 0)
		}
	}
	cl.restartMissing()
	for _, name := range cl.names() {
		cl.daemons[name].storeUnreachable.Store(false)
		cl.daemons[name].isolated.Store(false)
	}
}

// emptiedCells takes cells' workers out of the directory, so that their jobs move. It has
// its own random numbers, so that the other faults of a history stay as they are.
type emptiedCells struct {
	cl    *cluster
	rng   *rand.Rand
	cells map[int]bool
	moves atomic.Int64 // of jobs' rows
}

func newEmptiedCells(cl *cluster, seed uint64) *emptiedCells {
	e := &emptiedCells{cl: cl, rng: rand.New(rand.NewPCG(seed, 8)), cells: map[int]bool{}}
	cl.store.OnCommit(func(txn port.Txn) {
		for _, p := range txn.Puts {
			record, err := decode[jobRecord](port.Row{Value: p.Value})
			if err == nil && record.Moves > 0 && len(txn.Checks) == 2 {
				e.moves.Add(1)
			}
		}
	})
	return e
}

// change empties a cell or fills one again, and submits jobs to those that are empty. It
// returns the IDs of the accepted ones.
func (e *emptiedCells) change() []string {
	n := e.rng.IntN(4)
	if len(e.cells) < 2 || e.cells[n] {
		e.set(n, !e.cells[n])
	}
	var accepted []string
	for n := range 4 {
		d := e.cl.daemons[fmt.Sprintf("d%d", e.rng.IntN(6))]
		if !e.cells[n] || d == nil || d.cellMap() == nil || n >= len(d.cellMap().Cells) {
			continue
		}
		for range 1 + e.rng.IntN(3) {
			spec := e.cl.spec(1 + e.rng.IntN(5))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			if d.group.cell(n).Submit(ctx, spec) == nil {
				d.group.locations.set(spec.ID, n, time.Now())
				accepted = append(accepted, spec.ID)
			}
			cancel()
		}
	}
	time.Sleep(time.Duration(e.rng.IntN(1500)) * time.Millisecond) // for some moves before the next fault
	return accepted
}

// set empties a cell or fills it again, as far as the map is known.
func (e *emptiedCells) set(n int, empty bool) {
	e.cells[n] = empty
	if !empty {
		delete(e.cells, n)
	}
	var m *cellmap.Map
	for _, name := range e.cl.names() {
		if d := e.cl.daemons[name]; d.cellMap() != nil {
			m = d.cellMap()
		}
	}
	if m == nil {
		return
	}
	for r := range dividedRacks {
		for i := range workersPerRack {
			if m.Racks[fmt.Sprintf("r%d", r)] == n {
				e.cl.fleet.SetUnlisted(fmt.Sprintf("w%d-%d", r, i), empty)
			}
		}
	}
}

func (e *emptiedCells) clear() {
	e.cells = map[int]bool{}
	for r := range dividedRacks {
		for i := range workersPerRack {
			e.cl.fleet.SetUnlisted(fmt.Sprintf("w%d-%d", r, i), false)
		}
	}
}

// check checks after a history that no move is left, that each job is in one cell, and that
// no job is counted as waiting.
func (e *emptiedCells) check(accepted []string) {
	cl := e.cl
	cl.t.Helper()
	cl.t.Logf("%d moves", e.moves.Load())
	cl.awaitCells()
	time.Sleep(5 * time.Second)
	for n := range 4 {
		for _, row := range cl.store.Rows(tableMoves, fmt.Sprintf("c%d", n)) {
			cl.t.Errorf("the record of the move of job %s is left in cell %d", row.Key, n)
		}
	}
	lead := cl.daemons["d0"].group.lead
	for _, id := range accepted {
		found := 0
		for _, table := range []string{tableIndex, tableJobs} {
			for _, row := range cl.store.Rows(table, lead.jobPartition(id)) {
				if row.Key == id {
					found++
				}
			}
		}
		if found != 1 {
			cl.t.Errorf("%d rows tell the cell of job %s", found, id)
		}
	}
	for _, name := range cl.names() {
		n, err := cl.daemons[name].group.Pending("batch")
		for range 20 { // a cell may just be changing its owner
			if err == nil && n == 0 {
				break
			}
			time.Sleep(time.Second)
			n, err = cl.daemons[name].group.Pending("batch")
		}
		if err != nil || n != 0 {
			cl.t.Errorf("daemon %s counts %d waiting jobs, %v", name, n, err)
		}
	}
}
