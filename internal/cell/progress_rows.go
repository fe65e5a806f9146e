package cell

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

const (
	// partTasks is the number of consecutive tasks in a part of a job's progress. A running task
	// takes about 80 bytes.
	partTasks = 100
	// maxDoneRanges bounds the ranges in the row of a split progress. Parts beyond them keep
	// their rows.
	maxDoneRanges = 2000
	// maxPartEntries bounds the entries of a batch after which no further part is added.
	maxPartEntries = maxCommitEntries + 10
)

// progressRecord is the value of a job's row in tableProgress. The progress of a large job is split:
// its row tells which tasks are done, and parts in tableProgressParts hold the state of the others.
type progressRecord struct {
	dispatch.Progress
	Split bool `json:"split,omitempty"`
}

// progressParts are the rows of a split progress that are stored, by number, as hashes of their
// values. The hash is zero if it is not known whether the row is stored.
type progressParts struct {
	stored map[int]uint64
	// split is set once the job's row tells that the progress is split.
	split bool
}

// partRef is a row of a part in a batch.
type partRef struct {
	job     string
	part    int
	hash    uint64
	deleted bool
}

func partKey(id string, part int) string { return id + "/" + strconv.Itoa(part) }

// splitProgress returns the ranges of tasks that are done, and the tasks of the parts that others are
// in. Parts also hold the done tasks that the ranges have no room for.
func splitProgress(spec job.Spec, p dispatch.Progress) (job.Ranges, map[int][]dispatch.TaskProgress) {
	numbers := spec.Numbering()
	total := spec.Occurrences() * numbers.PerOccurrence()
	parts := map[int][]dispatch.TaskProgress{}
	for _, tp := range p.Tasks {
		n := numbers.Number(tp.Occurrence, tp.Step, tp.Index) / partTasks
		parts[n] = append(parts[n], tp)
	}
	all := slices.Clone(p.Done)
	for n, tasks := range parts {
		from, to := n*partTasks, min((n+1)*partTasks, total)
		if len(tasks) == to-from && !slices.ContainsFunc(tasks, func(tp dispatch.TaskProgress) bool { return !tp.Done }) {
			all = append(all, job.Range{from, to})
			delete(parts, n)
		}
	}
	done, others := job.NewRanges(all).Longest(maxDoneRanges)
	for _, r := range others {
		for n := r[0]; n < r[1]; n++ {
			tp := dispatch.TaskProgress{Attempt: 1, Done: true}
			tp.Occurrence, tp.Step, tp.Index = numbers.At(n)
			parts[n/partTasks] = append(parts[n/partTasks], tp)
		}
	}
	return done, parts
}

// putProgress adds the progress of a job to a batch. It returns false if parts of it remain for
// the next one.
func (t *term) putProgress(b *batch, j *dispatch.Job) bool {
	id, p := j.Spec.ID, j.Progress()
	rows := t.parts[id]
	if rows == nil {
		if value := encode(p); len(value) <= t.c.rowBytes()/2 && len(p.Done) <= maxDoneRanges {
			b.put(tableProgress, id, value)
			b.jobs = append(b.jobs, j)
			return true
		}
		rows = &progressParts{stored: map[int]uint64{}}
		t.parts[id] = rows
		t.log.WithFields(log.Fields{"event": "progress_split", "job": id, "tasks": len(p.Tasks)}).Info("storing the progress of the job in several rows")
	}
	b.jobs = append(b.jobs, j)
	done, parts := splitProgress(j.Spec, p)
	complete := true
	for n, tasks := range parts {
		value := t.encodePart(id, n, tasks)
		hash := xxhash.Sum64(value)
		if rows.stored[n] == hash {
			continue
		}
		if b.isFull() {
			complete = false
			continue
		}
		b.put(tableProgressParts, partKey(id, n), value)
		b.parts = append(b.parts, partRef{job: id, part: n, hash: hash})
	}
	if !complete && !rows.split {
		return false // until all parts are stored, the row that holds all of it is kept
	}
	head := encode(progressRecord{Progress: dispatch.Progress{Started: p.Started, Done: done, AttemptBase: p.AttemptBase}, Split: true})
	b.put(tableProgress, id, head)
	b.split = append(b.split, id)
	for n := range rows.stored {
		if parts[n] != nil {
			continue
		}
		if b.isFull() {
			return false
		}
		b.txn.Deletes = append(b.txn.Deletes, port.Ref{Table: tableProgressParts, Key: partKey(id, n)})
		b.parts = append(b.parts, partRef{job: id, part: n, deleted: true})
	}
	return complete
}

// encodePart encodes a part of a job's progress. Checkpoints are left out if it would be too large
// for a row: without them, tasks begin anew when they run again.
func (t *term) encodePart(id string, part int, tasks []dispatch.TaskProgress) []byte {
	value := encode(dispatch.Progress{Tasks: tasks})
	if len(value) <= t.c.rowBytes() {
		return value
	}
	tasks = slices.Clone(tasks)
	for i := range tasks {
		tasks[i].Checkpoint = ""
	}
	t.log.WithFields(log.Fields{"event": "checkpoints_not_stored", "job": id, "part": part, "bytes": len(value)}).Warn("the checkpoints of the tasks are too large to be stored")
	return encode(dispatch.Progress{Tasks: tasks})
}

// partsCommitted records the parts of a committed batch.
func (t *term) partsCommitted(b batch) {
	for _, ref := range b.parts {
		rows := t.parts[ref.job]
		switch {
		case rows == nil: // the job has ended or left meanwhile
			if !ref.deleted {
				t.staleParts = append(t.staleParts, partKey(ref.job, ref.part))
			}
		case ref.deleted:
			delete(rows.stored, ref.part)
		default:
			rows.stored[ref.part] = ref.hash
		}
	}
	for _, id := range b.split {
		if rows := t.parts[id]; rows != nil {
			rows.split = true
		}
	}
	t.staleParts = t.staleParts[b.stalePartsDeleted:]
}

// partsUncertain records that it is not known whether the parts of a batch are stored.
func (t *term) partsUncertain(b batch) {
	for _, ref := range b.parts {
		if rows := t.parts[ref.job]; rows != nil {
			rows.stored[ref.part] = 0
		} else {
			t.staleParts = append(t.staleParts, partKey(ref.job, ref.part))
		}
	}
}

// forgetParts deletes the parts of a job whose progress row is deleted.
func (t *term) forgetParts(id string) {
	rows := t.parts[id]
	if rows == nil {
		return
	}
	for n := range rows.stored {
		t.staleParts = append(t.staleParts, partKey(id, n))
	}
	delete(t.parts, id)
}

// putStaleParts adds the deletions of parts of jobs that have ended or left to a batch.
func (t *term) putStaleParts(b *batch) {
	for _, key := range t.staleParts {
		if b.room() == 0 || b.stalePartsDeleted >= maxStaleProgress {
			return
		}
		b.stalePartsDeleted++
		id, n, _ := splitNumberedKey(key)
		if rows := t.parts[id]; rows != nil { // the job is back, and writes or deletes the row itself
			if _, ok := rows.stored[n]; !ok {
				rows.stored[n] = 0
			}
			continue
		}
		b.txn.Deletes = append(b.txn.Deletes, port.Ref{Table: tableProgressParts, Key: key})
	}
}

// restoreParts groups the parts in the rows of former owners by job.
func restoreParts(page port.Page) map[string][]port.Row {
	byJob := map[string][]port.Row{}
	for _, row := range page.Rows {
		id, _, _ := splitNumberedKey(row.Key)
		byJob[id] = append(byJob[id], row)
	}
	return byJob
}

// decodeProgress returns the progress of a job in the rows of former owners, as far as they can
// be decoded.
func (t *term) decodeProgress(j *dispatch.Job, row port.Row, parts []port.Row) (dispatch.Progress, error) {
	id := j.Spec.ID
	record, err := progressRecord{}, error(nil)
	if row.Version > 0 {
		record, err = decode[progressRecord](row)
	}
	p := record.Progress
	p.Tasks = nil
	p.Append(j.Spec, record.Tasks)
	if record.Split || len(parts) > 0 {
		t.parts[id] = &progressParts{stored: map[int]uint64{}, split: record.Split}
	}
	for _, part := range parts {
		progress, partErr := decode[dispatch.Progress](part)
		err = cmp.Or(err, partErr)
		p.Append(j.Spec, progress.Tasks)
		if _, n, ok := splitNumberedKey(part.Key); ok {
			t.parts[id].stored[n] = xxhash.Sum64(part.Value)
		}
	}
	return p, err
}

// refusedRetry is the delay before a job whose rows the store has refused is tried again.
const refusedRetry = 10 * time.Second

// refusedJobs finds the job whose rows the store refuses, so that it does not keep all others
// from being committed: after a refusal, batches are halved until one job is alone. It is set aside
// if the others are accepted without it.
type refusedJobs struct {
	// limit is the number of jobs in a batch; zero means no limit.
	limit int
	// suspect was alone in a batch that was refused; empty if there is none.
	suspect string
	// until is when jobs that are set aside are tried again.
	until map[string]time.Time
}

// skips reports whether a job is left out of batches.
func (r *refusedJobs) skips(id string, now time.Time) bool {
	return r.suspect == id || now.Before(r.until[id])
}

// batchRefused handles a refusal of a batch.
func (t *term) batchRefused(b batch) {
	r := &t.refused
	switch n := len(b.changedSince); {
	case r.suspect != "" || n == 0: // it is not the job, or not a job at all
		r.suspect, r.limit = "", 0
	case n == 1:
		for id := range b.changedSince {
			r.suspect = id
		}
	default:
		r.limit = max(1, n/2)
	}
}

// batchAccepted handles the commit of a batch.
func (t *term) batchAccepted(now time.Time) {
	r := &t.refused
	if r.limit > 0 && r.suspect == "" {
		r.limit *= 2
		if r.limit >= maxCommitEntries {
			r.limit = 0
		}
	}
	if r.suspect == "" {
		return
	}
	t.c.instruments.jobsNotCommitted.Inc(1)
	t.log.WithFields(log.Fields{"event": "job_not_committed", "job": r.suspect}).Error("the store refuses the rows of the job; other jobs are committed without it, and a takeover may run its last tasks again")
	r.until[r.suspect] = now.Add(refusedRetry)
	r.suspect, r.limit = "", 0
}
