package cell

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Intervals and sizes of compaction. No other work depends on it.
const (
	// compactInterval lets several jobs of a partition accumulate for one
	// transaction.
	compactInterval = 400 * time.Millisecond
	compactTimeout  = 2 * time.Second
	// maxCompacted keeps a transaction, with up to three entries for a job, below the
	// store's limit of 100 entries.
	maxCompacted = 30
)

// endedJob is a job whose outcome is committed.
type endedJob struct {
	id    string
	state job.State
	at    time.Time // when this owner committed or read the outcome
}

// compactor replaces the rows of ended jobs by short rows, and deletes these after
// the retention time. It belongs to the control loop.
type compactor struct {
	// uncompacted holds the jobs whose rows are not compacted, by job partition.
	uncompacted map[string][]endedJob
	// compacted holds the jobs whose rows are compacted, the oldest first.
	compacted       []endedJob
	nextPartition   int // number of the job partition to compact next
	inFlight        bool
	startedAt       time.Time
	expiredOutcomes []string // IDs of jobs whose outcomes are to be deleted
	// withdrawn are the jobs that were cancelled before they were stored.
	withdrawn         []withdrawnJob
	deletingWithdrawn bool
	cell              *Cell
}

func newCompactor(c *Cell) compactor { return compactor{uncompacted: map[string][]endedJob{}, cell: c} }

// add queues a job whose outcome is committed.
func (comp *compactor) add(e endedJob) {
	p := comp.cell.jobPartition(e.id)
	comp.uncompacted[p] = append(comp.uncompacted[p], e)
}

// compactRows deletes expired rows and compacts one partition, if that is due.
func (t *term) compactRows(now time.Time) {
	comp := &t.compactor
	if comp.inFlight || now.Sub(comp.startedAt) < compactInterval {
		return
	}
	comp.startedAt = now
	t.deleteExpired(now)
	t.deleteWithdrawn(now)
	var partition string
	for range jobPartitions {
		partition = t.c.partitionName(comp.nextPartition)
		comp.nextPartition = (comp.nextPartition + 1) % jobPartitions
		if len(comp.uncompacted[partition]) > 0 {
			break
		}
	}
	jobs := comp.uncompacted[partition]
	if len(jobs) == 0 {
		return
	}
	// Jobs with tasks in other cells come last, as their cells may not know of the end yet.
	slices.SortStableFunc(jobs, func(a, b endedJob) int { return cmp.Compare(t.endingOrder(a.id), t.endingOrder(b.id)) })
	jobs = jobs[:min(len(jobs), maxCompacted)]
	if n := slices.IndexFunc(jobs, func(j endedJob) bool { return t.endingOrder(j.id) > 0 }); n >= 0 {
		jobs = jobs[:n]
	}
	if len(jobs) == 0 {
		return
	}
	txn := port.Txn{Partition: partition}
	for _, j := range jobs {
		txn.Puts = append(txn.Puts, port.Put{Table: t.c.indexTable(), Key: j.id, Value: encode(jobRecord{Ended: j.state, Cell: t.c.Number})})
		if t.c.indexTable() != t.c.tables.jobs {
			txn.Deletes = append(txn.Deletes, port.Ref{Table: t.c.tables.jobs, Key: j.id})
		}
		if j.state == job.Cancelled {
			txn.Deletes = append(txn.Deletes, port.Ref{Table: t.c.tables.cancels, Key: j.id})
		}
	}
	comp.inFlight = true
	runAsync(t, compactTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, txn)
	}, func(_ int64, err error) {
		comp.inFlight = false
		if err != nil {
			t.log.WithFields(log.Fields{"event": "sweep_failed", "partition": partition, "jobs": len(jobs)}).WithError(err).Debug("compaction failed; retrying")
			return
		}
		comp.uncompacted[partition] = comp.uncompacted[partition][len(jobs):]
		comp.compacted = append(comp.compacted, jobs...)
	})
}

// endingOrder returns 1 for a job whose end other cells may not know yet, and else zero.
func (t *term) endingOrder(id string) int {
	if _, ok := t.transfers.ending[id]; ok {
		return 1
	}
	return 0
}

// deleteExpired deletes the rows of ended jobs after the retention time. A failed
// deletion is not retried.
func (t *term) deleteExpired(now time.Time) {
	comp := &t.compactor
	byPartition := map[string]*port.Txn{}
	for len(comp.compacted) > 0 && now.Sub(comp.compacted[0].at) > t.c.Retention && len(comp.expiredOutcomes) < maxCompacted {
		id := comp.compacted[0].id
		comp.compacted = comp.compacted[1:]
		comp.expiredOutcomes = append(comp.expiredOutcomes, id)
		p := t.c.jobPartition(id)
		if byPartition[p] == nil {
			byPartition[p] = &port.Txn{Partition: p}
		}
		byPartition[p].Deletes = append(byPartition[p].Deletes, port.Ref{Table: t.c.indexTable(), Key: id})
	}
	for _, txn := range byPartition {
		runAsync(t, compactTimeout, func(ctx context.Context) (int64, error) {
			return t.c.Store.Commit(ctx, *txn)
		}, func(_ int64, err error) {
			if err != nil {
				t.log.WithField("event", "forget_failed").WithError(err).Warn("deletion of expired rows failed; the rows remain")
			}
		})
	}
}
