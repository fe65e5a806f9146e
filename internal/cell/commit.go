package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
)

// Pace and size of commits.
const (
	// urgentPause groups the ends of a few milliseconds: the store takes 200
	// transactions a second in one partition, and each is priced.
	urgentPause = 30 * time.Millisecond
	// lazyPause is for placements and checkpoints, which only a next owner needs.
	lazyPause = 250 * time.Millisecond
	// maxEntries is below the 100 that a transaction may hold, with room for the
	// last job's and for outcomes that are deleted.
	maxEntries = 50
	// maxCommitBytes is below the 1 MB that a transaction may hold, encoded.
	maxCommitBytes = 500 << 10
	// learnedPause is how often what has been learned of images is recorded; it
	// is lost at a take-over otherwise, and takes seconds to learn.
	learnedPause  = 2 * time.Second
	commitTimeout = time.Second
	commitRetry   = 100 * time.Millisecond
)

// committer groups what the owner has to record.
type committer struct {
	dirty  map[string]*dispatch.Job
	ready  map[string]*dispatch.Job // final, outcome not committed
	urgent bool
	// committedAt is when the last commit succeeded, and triedAt when the last
	// one was sent.
	committedAt time.Time
	triedAt     time.Time
	// learnedAt is when what has been learned was last put into a commit, and
	// learned its value then.
	learnedAt  time.Time
	learned    []byte
	committing bool
	failing    bool
	// progressRows are the jobs that may have a row of progress.
	progressRows map[string]bool
}

func newCommitter(now time.Time) committer {
	return committer{
		dirty: map[string]*dispatch.Job{}, ready: map[string]*dispatch.Job{},
		progressRows: map[string]bool{},
		committedAt:  now,
	}
}

func (t *tenure) toCommit(j *dispatch.Job, ended bool) {
	t.dirty[j.Spec.ID] = j
	t.urgent = t.urgent || ended
}

// finished takes in a job that has become final. Its state is shown once it is
// committed.
func (t *tenure) finished(j *dispatch.Job) {
	delete(t.dirty, j.Spec.ID)
	t.ready[j.Spec.ID] = j
	t.urgent = true
}

// commitIfDue commits what has changed, and renews the ownership.
func (t *tenure) commitIfDue(now time.Time) {
	since := now.Sub(t.triedAt)
	pause := renewInterval
	switch {
	case t.failing:
		pause = commitRetry
	case t.urgent || t.unconfirmed:
		pause = urgentPause
	case len(t.dirty) > 0:
		pause = lazyPause
	}
	if t.committing || !t.loaded || since < pause || t.releasing {
		return
	}
	t.commit(now, false)
}

// batch is one commit of the owner.
type batch struct {
	txn     port.Txn
	record  ownerRecord
	jobs    []*dispatch.Job
	outcome []*dispatch.Job
	// whole is set when nothing had to be left for the next commit; only then
	// the ends taken in so far may be acknowledged.
	whole bool
	ends  map[string]endMark
	// gone is how many outcomes are deleted.
	gone int
}

type endMark struct{ number, boot int64 }

// commit records what has changed on condition that the ownership is unchanged.
func (t *tenure) commit(now time.Time, release bool) {
	b := t.makeBatch(release)
	t.putLearned(&b, now)
	t.committing, t.triedAt = true, now
	t.urgent = false
	do(t, commitTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, b.txn)
	}, func(version int64, err error) {
		t.committing = false
		observe(t.c.gauges.commit, t.c.Now().Sub(now))
		t.commitDone(b, version, err)
	})
}

func (t *tenure) makeBatch(release bool) batch {
	b := batch{whole: true, ends: map[string]endMark{}}
	bytes := 0
	for _, j := range sortedJobs(t.ready) {
		if len(b.txn.Puts)+len(b.txn.Deletes) >= maxEntries {
			b.whole = false
			break
		}
		t.putOutcome(&b, j)
	}
	for _, j := range sortedJobs(t.dirty) {
		if len(b.txn.Puts)+len(b.txn.Deletes) >= maxEntries || bytes > maxCommitBytes {
			b.whole = false
			break
		}
		bytes += t.putProgress(&b, j)
		delete(t.dirty, j.Spec.ID)
	}
	for _, id := range t.janitor.gone {
		b.txn.Deletes = append(b.txn.Deletes, port.Ref{Table: tableOutcomes, Key: id})
	}
	b.gone = len(t.janitor.gone)
	b.record = t.record
	b.record.Beat++
	b.record.Released = release && b.whole
	owner := ownerTxn(t.c.Partition, t.version, b.record)
	b.txn.Partition, b.txn.Checks = owner.Partition, owner.Checks
	b.txn.Puts = append(b.txn.Puts, owner.Puts...)
	for id, w := range t.engine.Workers() {
		number, boot := w.LastEnd()
		b.ends[id] = endMark{number, boot}
	}
	return b
}

func sortedJobs(jobs map[string]*dispatch.Job) []*dispatch.Job {
	list := make([]*dispatch.Job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *dispatch.Job) int { return strings.Compare(a.Spec.ID, b.Spec.ID) })
	return list
}

func (t *tenure) putOutcome(b *batch, j *dispatch.Job) {
	id := j.Spec.ID
	value := encode(outcomeRecord{State: j.State, UnixMS: t.c.Wall().UnixMilli()})
	b.txn.Puts = append(b.txn.Puts, port.Put{Table: tableOutcomes, Key: id, Value: value})
	if t.progressRows[id] {
		b.txn.Deletes = append(b.txn.Deletes, port.Ref{Table: tableProgress, Key: id})
	}
	b.outcome = append(b.outcome, j)
}

// putLearned records what has been learned of images, if that is due.
func (t *tenure) putLearned(b *batch, now time.Time) {
	if now.Sub(t.learnedAt) < learnedPause {
		return
	}
	t.learnedAt = now
	value := encode(t.engine.Learned())
	if bytes.Equal(value, t.learned) {
		return
	}
	t.learned = value
	b.txn.Puts = append(b.txn.Puts, port.Put{Table: tableLearned, Key: learnedKey, Value: value})
}

func (t *tenure) putProgress(b *batch, j *dispatch.Job) int {
	value := encode(j.Progress())
	b.txn.Puts = append(b.txn.Puts, port.Put{Table: tableProgress, Key: j.Spec.ID, Value: value})
	b.jobs = append(b.jobs, j)
	return len(value)
}

// commitDone takes in the outcome of a commit. A commit without a response is
// repeated: if it was applied, the conflict shows our own row.
func (t *tenure) commitDone(b batch, version int64, err error) {
	now := t.c.Now()
	conflict, conflicted := err.(*port.ConflictError)
	switch {
	case err == nil:
		t.applied(b, version, now)
	case conflicted:
		t.c.storeAnswered(nil, now)
		t.restoreDirty(b)
		t.commitConflict(conflict)
	default:
		t.c.storeAnswered(err, now)
		t.restoreDirty(b)
		if !t.failing {
			t.log.WithFields(log.Fields{"event": "commit_failed", "jobs": len(b.jobs), "outcomes": len(b.outcome)}).WithError(err).Warn("repeated")
		}
		t.failing = true
	}
	t.kick()
}

// restoreDirty puts back what a commit did not record. Rows that it may have
// written nevertheless are deleted with their jobs.
func (t *tenure) restoreDirty(b batch) {
	for _, j := range b.jobs {
		t.progressRows[j.Spec.ID] = true
		if !j.State.Final() {
			t.dirty[j.Spec.ID] = j
		}
	}
	t.urgent = t.urgent || len(b.outcome) > 0 || len(b.jobs) > 0
}

func (t *tenure) applied(b batch, version int64, now time.Time) {
	t.c.storeAnswered(nil, now)
	if t.failing {
		t.log.WithFields(log.Fields{"event": "commit_regained", "away_ms": now.Sub(t.committedAt).Milliseconds()}).Info("cell")
	}
	t.failing, t.unconfirmed = false, false
	t.version, t.record, t.committedAt = version, b.record, now
	for _, j := range b.jobs {
		t.progressRows[j.Spec.ID] = true
	}
	for _, j := range b.outcome {
		delete(t.ready, j.Spec.ID)
		delete(t.progressRows, j.Spec.ID)
		t.janitor.add(endedJob{j.Spec.ID, j.State, now})
		t.c.gauges.final(j.State)
		t.log.WithFields(log.Fields{"event": "job_final", "job": j.Spec.ID, "state": j.State, "queue": j.Spec.Queue,
			"known_ms": now.Sub(j.Arrived()).Milliseconds()}).Info("committed")
		t.c.news.announce(j.Spec.ID, j.State, now)
	}
	t.janitor.gone = t.janitor.gone[b.gone:]
	if b.whole {
		for id, mark := range b.ends {
			if k := t.talks[id]; k != nil && k.boot == mark.boot {
				k.committed = max(k.committed, mark.number)
			}
		}
	}
	if b.record.Released {
		t.released()
	}
}

// commitConflict finds out whether an earlier commit without a response was
// applied, or another daemon owns the cell.
func (t *tenure) commitConflict(conflict *port.ConflictError) {
	row := findRow(conflict.Rows, tableOwners, ownerKey)
	var record ownerRecord
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			t.log.WithField("event", "owner_row_unreadable").WithError(err).Error("ownership")
		}
	}
	if record.Boot != t.record.Boot || record.Epoch != t.epoch {
		t.c.lose("another daemon owns the cell")
		return
	}
	// Ours: what it held is committed again, which does no harm.
	t.version, t.record = row.Version, record
	t.triedAt = time.Time{}
}

// release gives the cell up at a planned stop, after a last commit.
func (t *tenure) release(now time.Time) {
	if t.committing || !t.loaded {
		return
	}
	t.releasing = true
	t.commit(now, true)
}

// released ends the tenure; followers find the row and take over.
func (t *tenure) released() {
	t.log.WithField("event", "ownership_released").Info("cell")
	t.ended = true
	t.c.tenure = nil
	t.c.move(charts.ShardRelease)
	t.c.ownerSince = time.Time{}
	t.c.news.reset()
	t.c.publish()
}
