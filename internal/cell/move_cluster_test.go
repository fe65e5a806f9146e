package cell

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// txnHook handles a transaction, which it may pass on to commit.
type txnHook func(ctx context.Context, txn port.Txn, commit func() (int64, error)) (int64, error)

// Transactions of a move.
const (
	notOfMove   = 0
	recordTxn   = 1 // of the owner: records the move
	rowsTxn     = 2 // moves the job's rows
	removalTxn  = 3 // of the owner: removes the record
	rewriteTxn  = 4 // revokes the move
	movingFrom  = 1 // cell in which the job waits
	movingTo    = 2 // the only cell with capacity
	settleDelay = 4 * time.Second
)

// txnOfMove returns which transaction of the move of a job a transaction is.
func txnOfMove(txn port.Txn, id string) int {
	for _, p := range txn.Puts {
		if p.Key != id {
			continue
		}
		record, err := decode[jobRecord](port.Row{Value: p.Value})
		switch {
		case p.Table == tableMoves:
			return recordTxn
		case err == nil && record.Moves > 0 && record.Cell == movingTo:
			return rowsTxn
		case err == nil && record.Spec != nil && len(txn.Checks) == 1:
			return rewriteTxn
		}
	}
	if slices.ContainsFunc(txn.Deletes, func(r port.Ref) bool { return r.Table == tableMoves && r.Key == id }) {
		return removalTxn
	}
	return notOfMove
}

// eventLog holds what the daemons have logged. It is safe for concurrent use.
type eventLog struct {
	mu     sync.Mutex
	events []*log.Entry
}

// HandleLog implements log.Handler.
func (l *eventLog) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
	return nil
}

func (l *eventLog) all() []*log.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}

// moveCluster is a divided cluster of which only the cell movingTo has capacity.
type moveCluster struct {
	*cluster
	m    *cellmap.Map
	from *daemon // owner of the cell movingFrom
	to   *daemon // owner of the cell movingTo
	logs *eventLog
	spec job.Spec
}

// runMove runs a test in a cluster in which a job waits in a cell without capacity.
func runMove(t *testing.T, seed uint64, work func(string) time.Duration, test func(mc *moveCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newDividedCluster(t, seed, 0, work, nil)
		logs := &eventLog{}
		cl.logTo = logs
		for i := range 6 {
			cl.start(fmt.Sprintf("d%d", i))
		}
		defer cl.stopAll()
		mc := &moveCluster{cluster: cl, m: cl.awaitCells(), logs: logs, spec: cl.spec(2)}
		time.Sleep(settleDelay)
		for n := range mc.m.Cells {
			if n != movingTo {
				mc.setUnlisted(n, true)
			}
		}
		time.Sleep(settleDelay)
		mc.from, mc.to = cl.ownerOf(movingFrom), cl.ownerOf(movingTo)
		test(mc)
		cl.check()
	})
}

// setUnlisted removes all workers of a cell from the directory, or adds them again.
func (mc *moveCluster) setUnlisted(cell int, unlisted bool) {
	mc.eachWorker(cell, func(id string) { mc.fleet.SetUnlisted(id, unlisted) })
}

func (mc *moveCluster) eachWorker(cell int, do func(id string)) {
	for r := range dividedRacks {
		if mc.m.Racks[fmt.Sprintf("r%d", r)] != cell {
			continue
		}
		for i := range workersPerRack {
			do(fmt.Sprintf("w%d-%d", r, i))
		}
	}
}

// submitTo stores a job in a cell.
func (mc *moveCluster) submitTo(cell int, spec job.Spec) {
	mc.t.Helper()
	d := mc.bystander()
	if err := d.group.cell(cell).Submit(context.Background(), spec); err != nil {
		mc.t.Fatal(err)
	}
	d.group.locations.set(spec.ID, cell, time.Now())
}

// bystander returns a daemon that owns no cell of the move.
func (mc *moveCluster) bystander() *daemon {
	for _, name := range mc.names() {
		if d := mc.daemons[name]; d != mc.from && d != mc.to && name != mc.owner() {
			return d
		}
	}
	mc.t.Fatal("every daemon owns a cell")
	return nil
}

// onTxn calls hook in place of each commit of a transaction of the move by a daemon.
func (mc *moveCluster) onTxn(d *daemon, id string, kind int, hook txnHook) {
	h := txnHook(func(ctx context.Context, txn port.Txn, commit func() (int64, error)) (int64, error) {
		if txnOfMove(txn, id) == kind {
			return hook(ctx, txn, commit)
		}
		return commit()
	})
	d.txnHook.Store(&h)
}

// onFirstTxn is like onTxn for the first such transaction.
func (mc *moveCluster) onFirstTxn(d *daemon, id string, kind int, hook txnHook) *atomic.Int64 {
	calls := new(atomic.Int64)
	mc.onTxn(d, id, kind, func(ctx context.Context, txn port.Txn, commit func() (int64, error)) (int64, error) {
		if calls.Add(1) > 1 {
			return commit()
		}
		return hook(ctx, txn, commit)
	})
	return calls
}

var errLost = errors.New("lost")

// lose returns the error of a call whose response is lost.
func lose(ctx context.Context) (int64, error) {
	<-ctx.Done()
	return 0, &port.UnansweredError{Op: "commit", Err: errLost}
}

// cellOf returns the cell that the rows of a job name; the job may have ended.
func (mc *moveCluster) cellOf(id string) int {
	mc.t.Helper()
	p := mc.daemons[mc.names()[0]].group.lead.jobPartition(id)
	cell, found := -1, 0
	for _, row := range mc.store.Rows(tableIndex, p) {
		if record, err := decode[jobRecord](row); err == nil && row.Key == id {
			cell = record.Cell
			found++
		}
	}
	for _, row := range mc.store.Rows(tableJobs, p) {
		if row.Key == id {
			cell = cellmap.Lead
			found++
		}
	}
	if found != 1 {
		mc.t.Errorf("%d rows tell the cell of job %s", found, id)
	}
	return cell
}

// checkMoved waits until the job is completed and checks that it ran once, in a cell, and
// that no record of a move is left.
func (mc *moveCluster) checkMoved(id string, cell int) {
	mc.t.Helper()
	mc.awaitState(id, job.Completed, 40*time.Second)
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.1.0", ".0.1.1"} {
		if n := mc.fleet.Starts(id + task); n != 1 {
			mc.t.Errorf("task %s was started %d times", id+task, n)
		}
	}
	if got := mc.cellOf(id); got != cell {
		mc.t.Errorf("job %s is in cell %d, want %d", id, got, cell)
	}
	mc.checkNoRecords()
}

func (mc *moveCluster) checkNoRecords() {
	mc.t.Helper()
	time.Sleep(time.Second)
	for n := range mc.m.Cells {
		if rows := mc.store.Rows(tableMoves, mc.partitionOf(n)); len(rows) > 0 {
			mc.t.Errorf("the record of the move of %s is left in cell %d", rows[0].Key, n)
		}
	}
}

func (mc *moveCluster) partitionOf(cell int) string { return fmt.Sprintf("c%d", cell) }

// count returns how often an event was logged for a job.
func (mc *moveCluster) count(event, id string) int {
	n := 0
	for _, e := range mc.logs.all() {
		if e.Fields.Get("event") == event && e.Fields.Get("job") == id {
			n++
		}
	}
	return n
}

// loggedAt returns when an event was last logged for a job.
func (mc *moveCluster) loggedAt(event, id string) time.Time {
	mc.t.Helper()
	for _, e := range slices.Backward(mc.logs.all()) {
		if e.Fields.Get("event") == event && e.Fields.Get("job") == id {
			return e.Timestamp
		}
	}
	mc.t.Fatalf("%s was not logged for job %s", event, id)
	return time.Time{}
}

// onLoop runs fn on a daemon's control loop.
func (cl *cluster) onLoop(d *daemon, fn func()) {
	cl.t.Helper()
	if err := d.loop.Do(context.Background(), fn); err != nil {
		cl.t.Fatal(err)
	}
}
