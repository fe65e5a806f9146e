package cell

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Pace of clearing away. Nothing waits for it.
const (
	// sweepInterval lets a sweep of one partition take several jobs.
	sweepInterval = 400 * time.Millisecond
	sweepTimeout  = 2 * time.Second
	// maxSwept keeps a sweep below the 100 entries of a transaction.
	maxSwept = 40
)

// endedJob is a job whose outcome is committed.
type endedJob struct {
	id    string
	state job.State
	at    time.Time // when this owner knew of it
}

// janitor replaces the rows of ended jobs by short ones, and deletes them when
// nobody may ask for them any more.
type janitor struct {
	// ended are jobs whose rows are still long, by job partition.
	ended map[string][]endedJob
	// old are jobs whose rows are short, the oldest first.
	old   []endedJob
	next  int // job partition to sweep next
	busy  bool
	at    time.Time
	gone  []string // jobs whose outcomes are to be deleted
	store *Cell
}

func newJanitor(c *Cell) janitor { return janitor{ended: map[string][]endedJob{}, store: c} }

// add takes in a job whose outcome is committed.
func (k *janitor) add(e endedJob) {
	p := k.store.jobPartition(e.id)
	k.ended[p] = append(k.ended[p], e)
}

// sweep clears one partition away.
func (t *tenure) sweep(now time.Time) {
	k := &t.janitor
	if k.busy || now.Sub(k.at) < sweepInterval {
		return
	}
	k.at = now
	t.forget(now)
	var partition string
	for range jobPartitions {
		partition = t.c.partitionNumber(k.next)
		k.next = (k.next + 1) % jobPartitions
		if len(k.ended[partition]) > 0 {
			break
		}
	}
	jobs := k.ended[partition]
	if len(jobs) == 0 {
		return
	}
	jobs = jobs[:min(len(jobs), maxSwept)]
	txn := port.Txn{Partition: partition}
	for _, j := range jobs {
		txn.Puts = append(txn.Puts, port.Put{Table: tableJobs, Key: j.id, Value: encode(jobRecord{Ended: j.state})})
		if j.state == job.Cancelled {
			txn.Deletes = append(txn.Deletes, port.Ref{Table: tableCancels, Key: j.id})
		}
	}
	k.busy = true
	do(t, sweepTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, txn)
	}, func(_ int64, err error) {
		k.busy = false
		if err != nil {
			t.log.WithFields(log.Fields{"event": "sweep_failed", "partition": partition, "jobs": len(jobs)}).WithError(err).Debug("tried again")
			return
		}
		k.ended[partition] = k.ended[partition][len(jobs):]
		k.old = append(k.old, jobs...)
	})
}

// forget deletes the rows of the oldest ended jobs once their time is over.
func (t *tenure) forget(now time.Time) {
	k := &t.janitor
	byPartition := map[string]*port.Txn{}
	for len(k.old) > 0 && now.Sub(k.old[0].at) > t.c.Retention && len(k.gone) < maxSwept {
		id := k.old[0].id
		k.old = k.old[1:]
		k.gone = append(k.gone, id)
		p := t.c.jobPartition(id)
		if byPartition[p] == nil {
			byPartition[p] = &port.Txn{Partition: p}
		}
		byPartition[p].Deletes = append(byPartition[p].Deletes, port.Ref{Table: tableJobs, Key: id})
	}
	for _, txn := range byPartition {
		do(t, sweepTimeout, func(ctx context.Context) (int64, error) {
			return t.c.Store.Commit(ctx, *txn)
		}, func(_ int64, err error) {
			if err != nil {
				t.log.WithField("event", "forget_failed").WithError(err).Warn("the rows stay")
			}
		})
	}
}
