package cell

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
)

// Intervals and sizes of commits.
const (
	// urgentCommitDelay groups ends that arrive within a few milliseconds: the
	// store serves 200 transactions per second in one partition, and each is
	// billed.
	urgentCommitDelay = 30 * time.Millisecond
	// batchCommitDelay is for placements and checkpoints, which are read only after
	// a takeover.
	batchCommitDelay = 250 * time.Millisecond
	// maxCommitEntries is below the store's limit of 100 entries in a transaction,
	// which leaves room for the entries of the last job and for deleted outcomes.
	maxCommitEntries = 50
	// maxTxnEntries is just below the store's limit.
	maxTxnEntries = 98
	// maxDeletedOutcomes bounds the outcomes that a commit deletes.
	maxDeletedOutcomes = 10
	// maxCommitBytes is below the store's limit of 1 MB for an encoded transaction, which is a
	// third larger than its values, and leaves room for the rows of the last job.
	maxCommitBytes = 500 << 10
	// learnedInterval is the interval at which the learned data of images is
	// stored. What is not stored is lost at a takeover, and takes seconds to learn
	// again.
	learnedInterval = 2 * time.Second
	commitTimeout   = time.Second
	// releaseWithin bounds the time in which an owner stores all changes before it releases the cell.
	// Meanwhile it starts nothing and reads nothing from workers; their leases last longer.
	releaseWithin    = 1500 * time.Millisecond
	commitRetryDelay = 100 * time.Millisecond
)

// committer collects the changes that the owner must commit. It belongs to the
// control loop.
type committer struct {
	dirty            map[string]*dispatch.Job
	uncommittedFinal map[string]*dispatch.Job // final jobs whose outcome is not committed
	// changedSince holds, by job ID, the number of the batch that the oldest change that
	// is in no batch was made for.
	changedSince map[string]int64
	batches      int64 // number of batches built
	// unacknowledged are the committed batches, oldest first, whose ends may not be
	// acknowledged yet, because earlier changes are not committed.
	unacknowledged []committedEnds
	urgent         bool
	// committedAt is when the last commit succeeded, and commitSentAt when it was
	// sent. triedAt is when the last commit was sent, successful or not.
	committedAt, commitSentAt, triedAt time.Time
	// releaseBegan is when the owner began to store what is left before it releases the cell, and
	// releaseSentAt when the first commit that releases it was sent.
	releaseBegan, releaseSentAt time.Time
	// learnedAt is when the learned data was last added to a commit, and learned
	// its encoding at that time.
	learnedAt  time.Time
	learned    []byte
	committing bool
	failing    bool
	// progressRows holds the IDs of jobs that may have a progress row.
	progressRows map[string]bool
	// parts are the rows of split progress by job, and staleParts the keys of those to delete.
	parts      map[string]*progressParts
	staleParts []string
	refused    refusedJobs
}

func newCommitter(now time.Time) committer {
	return committer{
		dirty: map[string]*dispatch.Job{}, uncommittedFinal: map[string]*dispatch.Job{},
		changedSince: map[string]int64{},
		progressRows: map[string]bool{},
		parts:        map[string]*progressParts{},
		refused:      refusedJobs{until: map[string]time.Time{}},
		committedAt:  now,
	}
}

func (t *term) markDirty(j *dispatch.Job, ended bool) {
	t.dirty[j.Spec.ID] = j
	t.noteChange(j.Spec.ID, t.batches+1)
	t.urgent = t.urgent || ended
}

// noteChange records that a job has a change that was made for a batch.
func (t *term) noteChange(id string, number int64) {
	if since, changed := t.changedSince[id]; !changed || number < since {
		t.changedSince[id] = number
	}
}

// addFinal adds a job that has become final to the next commit. Its state is
// published after the commit.
func (t *term) addFinal(j *dispatch.Job) {
	delete(t.dirty, j.Spec.ID)
	t.uncommittedFinal[j.Spec.ID] = j
	t.noteChange(j.Spec.ID, t.batches+1)
	t.urgent = true
	if some, _ := j.Elsewhere(); some {
		t.transfers.ending[j.Spec.ID] = time.Time{}
	}
}

// commitIfDue commits the changes, or renews the ownership, if that is due. Before
// the term is loaded there are no changes.
func (t *term) commitIfDue(now time.Time) {
	since := now.Sub(t.triedAt)
	interval := renewInterval
	switch {
	case t.failing:
		interval = commitRetryDelay
	case t.urgent || t.unconfirmed:
		interval = urgentCommitDelay
	case len(t.dirty) > 0:
		interval = batchCommitDelay
	}
	if t.committing || since < interval || t.releasing {
		return
	}
	t.commit(now, false)
}

// batch is one commit of the owner.
type batch struct {
	txn port.Txn
	// bytes is the size of the values in txn.
	bytes    int
	record   ownerRecord
	jobs     []*dispatch.Job
	outcomes []*dispatch.Job
	// changedSince is the committer's changedSince of the jobs in the batch.
	changedSince map[string]int64
	// committed is the number of the last batch whose changes, and those of all earlier
	// ones, are committed with this batch.
	committed int64
	ends      committedEnds
	// queues are the settings of queues in the batch; nil if there are none.
	queues []byte
	// cellMap is the cell map in the batch; nil if there is none.
	cellMap *cellmap.Map
	// moves are those whose records are in the batch.
	moves     []batchMove
	transfers []batchTransfer
	// staleProgress holds the jobs whose progress rows the batch deletes.
	staleProgress []string
	// parts are the rows of split progress in the batch, and split the jobs whose row tells that
	// their progress is split.
	parts []partRef
	split []string
	// incomplete is set if parts of a job's progress remain for the next batch.
	incomplete bool
	// stalePartsDeleted is the number of stale parts that the batch handles.
	stalePartsDeleted int
	// roster are the rows of the roster in the batch.
	roster []rosterChange
	// outcomesDeleted is the number of outcomes that the commit deletes.
	outcomesDeleted int
	// suspensions is the number of suspensions of the VM before the commit was sent. A
	// response that arrives after a later one does not confirm the ownership.
	suspensions int
}

// committedEnds are the last ends that had been listed, by worker ID, when a batch was
// built.
type committedEnds struct {
	number int64 // of the batch
	ends   map[string]endPosition
}

// put adds a row to the batch.
func (b *batch) put(table, key string, value []byte) {
	b.txn.Puts = append(b.txn.Puts, port.Put{Table: table, Key: key, Value: value})
	b.bytes += len(value)
}

// isFull reports whether no further part of a job's progress is to be added.
func (b *batch) isFull() bool {
	return len(b.txn.Puts)+len(b.txn.Deletes) >= maxPartEntries || b.bytes > maxCommitBytes
}

// room returns how many entries fit into the batch.
func (b *batch) room() int {
	return max(0, maxTxnEntries-len(b.txn.Puts)-len(b.txn.Deletes)-len(b.txn.Checks))
}

type endPosition struct{ sequence, boot int64 }

// commit commits the changes, on condition that the owner's row is unchanged.
func (t *term) commit(now time.Time, release bool) {
	b := t.buildBatch(release)
	t.urgent = b.incomplete
	t.putLearned(&b, now)
	t.putMap(&b)
	t.putQueues(&b, now)
	t.putMoves(&b)
	t.putTransfers(&b)
	t.putRoster(&b)
	t.putStaleParts(&b)
	t.committing, t.triedAt = true, now
	if b.record.Released {
		t.noteReleaseSent(now)
	}
	runAsync(t, commitTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, b.txn)
	}, func(version int64, err error) {
		t.committing = false
		observe(t.c.instruments.commitLatency, t.c.Now().Sub(now))
		t.handleCommitResult(b, version, err)
	})
}

// buildBatch builds a batch of the changes, the oldest first, so that none waits forever
// while others keep arriving.
func (t *term) buildBatch(release bool) batch {
	t.batches++
	b := batch{changedSince: map[string]int64{}, ends: committedEnds{t.batches, map[string]endPosition{}}}
	t.putChanges(&b)
	b.outcomesDeleted = min(len(t.compactor.expiredOutcomes), maxDeletedOutcomes)
	for _, id := range t.compactor.expiredOutcomes[:b.outcomesDeleted] {
		b.txn.Deletes = append(b.txn.Deletes, port.Ref{Table: tableOutcomes, Key: id})
	}
	b.suspensions = t.c.suspensions
	b.record = t.record
	b.record.Sequence++
	b.record.Released = release && (t.allChangesIn(&b) || t.mustRelease(t.c.Now()))
	b.record.Recorded = b.record.Released && len(t.changedSince) == 0 && t.loaded && t.engine.KnowsAllRuns(t.c.Now())
	if t.stable(t.c.Now()) {
		b.record.Backoff = 0
	}
	owner := ownerTxn(t.c.Partition, t.version, b.record)
	b.txn.Partition, b.txn.Checks = owner.Partition, owner.Checks
	b.txn.Puts = append(b.txn.Puts, owner.Puts...)
	for id, w := range t.engine.Workers() {
		sequence, boot := w.LastEnd()
		b.ends.ends[id] = endPosition{sequence, boot}
	}
	return b
}

// putChanges adds the changes of jobs to a batch.
func (t *term) putChanges(b *batch) {
	now := t.c.Now()
	for _, id := range t.changedJobs() {
		if len(b.txn.Puts)+len(b.txn.Deletes) >= maxCommitEntries || b.bytes > maxCommitBytes || t.refused.limit > 0 && len(b.changedSince) >= t.refused.limit {
			break
		}
		b.changedSince[id] = t.changedSince[id]
		if j := t.uncommittedFinal[id]; j != nil {
			t.putOutcome(b, j)
		} else if t.putProgress(b, t.dirty[id]) {
			delete(t.dirty, id)
		} else {
			b.incomplete = true
			continue // the ends of the job are acknowledged with its last part
		}
		delete(t.changedSince, id)
	}
	b.committed = t.batches
	for id, since := range t.changedSince {
		if !now.Before(t.refused.until[id]) { // ends of jobs that are set aside hold up no others
			b.committed = min(b.committed, since-1)
		}
	}
}

// changedJobs returns the IDs of the jobs with changes that are in no batch, in the order
// of their oldest change. Final jobs come first among those of the same batch.
func (t *term) changedJobs() []string {
	ids, now := make([]string, 0, len(t.changedSince)), t.c.Now()
	for id := range t.changedSince {
		if (t.uncommittedFinal[id] != nil || t.dirty[id] != nil) && !t.refused.skips(id, now) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c := cmp.Compare(t.changedSince[a], t.changedSince[b]); c != 0 {
			return c
		}
		if aFinal, bFinal := t.uncommittedFinal[a] != nil, t.uncommittedFinal[b] != nil; aFinal != bFinal {
			if aFinal {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return ids
}

func (t *term) putOutcome(b *batch, j *dispatch.Job) {
	id := j.Spec.ID
	value := encode(outcomeRecord{State: j.State, UnixMS: t.c.Wall().UnixMilli()})
	b.txn.Puts = append(b.txn.Puts, port.Put{Table: tableOutcomes, Key: id, Value: value})
	if t.progressRows[id] {
		b.txn.Deletes = append(b.txn.Deletes, port.Ref{Table: tableProgress, Key: id})
	}
	b.outcomes = append(b.outcomes, j)
}

// putLearned adds the learned data of images to a batch, if that is due.
func (t *term) putLearned(b *batch, now time.Time) {
	if !t.loaded || now.Sub(t.learnedAt) < learnedInterval {
		return
	}
	t.learnedAt = now
	value := encode(t.engine.Learned())
	if bytes.Equal(value, t.learned) {
		return
	}
	t.learned = value
	if len(value) > t.c.rowBytes() {
		t.log.WithFields(log.Fields{"event": "learned_too_large", "bytes": len(value)}).Warn("the learned data of images is too large to be stored; a next owner learns it again")
		return
	}
	b.put(tableLearned, learnedKey, value)
}

// handleCommitResult handles the result of a commit. A commit without a response
// is retried: if it was applied, the retry conflicts with this owner's own row.
func (t *term) handleCommitResult(b batch, version int64, err error) {
	now := t.c.Now()
	conflict, conflicted := err.(*port.ConflictError)
	switch {
	case err == nil:
		t.commitApplied(b, version, now)
	case conflicted:
		t.c.recordStoreResult(nil, now)
		t.requeueBatch(b)
		t.resolveConflict(conflict)
	default:
		t.c.recordStoreResult(err, now)
		t.requeueBatch(b)
		var refused *port.RefusedError
		if errors.As(err, &refused) && refused.Reason == port.RefusedInvalid {
			t.batchRefused(b)
		}
		if !t.failing {
			t.log.WithFields(log.Fields{"event": "commit_failed", "jobs": len(b.jobs), "outcomes": len(b.outcomes)}).WithError(err).Warn("commit failed; the next commit retries its changes")
		}
		t.failing = true
	}
	if t.releasing && err == nil && !t.ended {
		t.release(now)
		return
	}
	t.schedulePlan()
}

// requeueBatch marks the changes of an unconfirmed commit as dirty again.
// Progress rows that the commit may have written are deleted with their jobs.
func (t *term) requeueBatch(b batch) {
	for id, since := range b.changedSince {
		t.noteChange(id, since)
	}
	t.partsUncertain(b)
	for _, j := range b.jobs {
		t.noteProgressRow(j)
		if !j.State.Final() && t.engine.Job(j.Spec.ID) == j {
			t.dirty[j.Spec.ID] = j
		}
	}
	t.urgent = t.urgent || len(b.outcomes) > 0 || len(b.jobs) > 0 || len(b.moves)+len(b.transfers) > 0
}

func (t *term) commitApplied(b batch, version int64, now time.Time) {
	t.c.recordStoreResult(nil, now)
	if t.failing {
		t.log.WithFields(log.Fields{"event": "commit_regained", "away_ms": now.Sub(t.committedAt).Milliseconds()}).Info("commits succeed again")
	}
	t.failing = false
	t.version, t.record = version, b.record
	t.c.checkStall(now)
	if b.suspensions == t.c.suspensions {
		t.committedAt, t.commitSentAt = now, t.triedAt
		t.unconfirmed, t.suspended = false, false
		t.checkOwnershipConfirmed(now)
	}
	t.batchAccepted(now)
	if b.queues != nil {
		t.queueKeeper.stored = b.queues
	}
	t.partsCommitted(b)
	for _, id := range b.staleProgress {
		delete(t.transfers.staleProgress, id)
	}
	for _, j := range b.jobs {
		t.noteProgressRow(j)
	}
	for _, j := range b.outcomes {
		delete(t.uncommittedFinal, j.Spec.ID)
		delete(t.progressRows, j.Spec.ID)
		t.forgetParts(j.Spec.ID)
		t.compactor.add(endedJob{j.Spec.ID, j.State, now})
		t.c.instruments.countFinal(j.State)
		t.log.WithFields(log.Fields{"event": "job_final", "job": j.Spec.ID, "state": j.State, "queue": j.Spec.Queue,
			"known_ms": now.Sub(j.Arrived()).Milliseconds()}).Info("committed")
		t.c.jobStates.set(j.Spec.ID, j.State, now)
	}
	t.compactor.expiredOutcomes = t.compactor.expiredOutcomes[b.outcomesDeleted:]
	t.mapCommitted(b.cellMap)
	t.movesCommitted(b.moves)
	t.transfersCommitted(b.transfers)
	t.rosterCommitted(b.roster)
	t.unacknowledged = append(t.unacknowledged, b.ends)
	for len(t.unacknowledged) > 0 && t.unacknowledged[0].number <= b.committed {
		t.recordCommittedEnds(t.unacknowledged[0])
		t.unacknowledged = t.unacknowledged[1:]
	}
	if b.record.Released {
		t.finishRelease()
	}
}

// recordCommittedEnds allows the ends of a batch to be acknowledged.
func (t *term) recordCommittedEnds(committed committedEnds) {
	for id, end := range committed.ends {
		if hb := t.heartbeats[id]; hb != nil && hb.boot == end.boot {
			hb.committedEnd = max(hb.committedEnd, end.sequence)
		}
	}
}

// resolveConflict determines whether an earlier commit without a response was
// applied, or whether another daemon owns the cell.
func (t *term) resolveConflict(conflict *port.ConflictError) {
	row := findRow(conflict.Rows, tableOwners, ownerKey)
	var record ownerRecord
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			t.log.WithField("event", "owner_row_unreadable").WithError(err).Error("cannot decode the owner row after a commit conflict; giving up the ownership")
		}
	}
	if record.Boot != t.record.Boot || record.Epoch != t.epoch {
		t.c.loseOwnership("another daemon owns the cell")
		return
	}
	// An earlier commit of this owner was applied. Its changes are committed again,
	// which is idempotent.
	t.version, t.record = row.Version, record
	t.triedAt = time.Time{}
}

// finishRelease ends the term. Followers read the released row and take over.
func (t *term) finishRelease() {
	t.log.WithField("event", "ownership_released").Info("released the ownership of the cell")
	t.ended = true
	t.observeEnd()
	t.engine.Close()
	t.stopListings()
	t.c.term = nil
	t.c.transition(charts.ShardRelease)
	t.c.ownerVersionSeenAt = time.Time{}
	t.c.jobStates.reset()
	t.c.publish()
}
