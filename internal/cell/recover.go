package cell

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// recoveryData is the state of former owners in the store, and the workers.
type recoveryData struct {
	jobs, cancels, progress, outcomes, learned, cellMap, moves, roster, hosted, parts, queues port.Page
	workers                                                                                   workerList
}

// Timeouts and delays of the recovery.
const (
	// recoveryReadTimeout is the timeout of the first attempt to read a table. Each
	// attempt that times out doubles it, because the table may be large and the link
	// to the store slow.
	recoveryReadTimeout = 3 * time.Second
	// recoveryTimeout is how long an owner may take to read the recovery data before
	// it releases the cell, so that another daemon can try.
	recoveryTimeout = 12 * time.Second
	// recoverRetryDelay is the delay before a failed read is retried.
	recoverRetryDelay = 100 * time.Millisecond
	// abandonBackoff is how long a daemon that could not read the recovery data
	// leaves the cell to other daemons.
	abandonBackoff = 5 * time.Second
)

// recover reads the state of former owners, and then requests a listing from
// every worker with the new epoch, which fences the former owner.
func (t *term) recover() {
	began, suspended := t.c.Now(), t.c.suspendedFor
	runAsync(t, recoveryTimeout, t.readRecoveryData, func(data recoveryData, err error) {
		now := t.c.Now()
		t.c.recordStoreResult(err, now)
		if err != nil {
			t.log.WithField("event", "recovery_abandoned").WithError(err).Warn("cannot read the state of former owners; releasing the cell")
			t.abandoned = true
			t.c.acquireNotBefore = now.Add(abandonBackoff)
			return
		}
		t.jobsReadAt = began
		t.cancelReads.all, t.cancelReads.hosted = began, began
		data.workers.readAt = data.workers.readAt.Add(-t.c.suspendedSince(suspended))
		t.restore(data, now)
		observe(t.c.instruments.recoveryReadLatency, now.Sub(began))
		t.log.WithFields(log.Fields{"event": "recovery_read", "jobs": len(t.engine.Jobs()), "workers": len(data.workers.workers),
			"took_ms": now.Sub(began).Milliseconds()}).Info("state of former owners restored")
		t.schedulePlan()
	})
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readRecoveryData reads the state of former owners. They can no longer commit a
// job's end, because the owner's row has changed.
func (t *term) readRecoveryData(ctx context.Context) (recoveryData, error) {
	var data recoveryData
	scan := func(table string) func(context.Context) (port.Page, error) {
		return func(ctx context.Context) (port.Page, error) {
			return port.ScanAll(ctx, t.c.Store, table, t.c.Partition)
		}
	}
	scanJobs := func(table string) func(context.Context) (port.Page, error) {
		return func(ctx context.Context) (port.Page, error) { return t.c.scanJobs(ctx, table) }
	}
	reads := []func() error{
		readInto(ctx, t, t.c.tables.jobs, &data.jobs, scanJobs(t.c.tables.jobs)),
		readInto(ctx, t, t.c.tables.cancels, &data.cancels, scanJobs(t.c.tables.cancels)),
		readInto(ctx, t, tableProgress, &data.progress, scan(tableProgress)),
		readInto(ctx, t, tableProgressParts, &data.parts, scan(tableProgressParts)),
		readInto(ctx, t, tableOutcomes, &data.outcomes, scan(tableOutcomes)),
		readInto(ctx, t, tableLearned, &data.learned, scan(tableLearned)),
		readInto(ctx, t, tableMoves, &data.moves, t.readMoves),
		readInto(ctx, t, tableQueues, &data.queues, scan(tableQueues)),
		readInto(ctx, t, tableRoster, &data.roster, scan(tableRoster)),
		t.readWorkers(ctx, &data),
	}
	errs := make([]error, len(reads))
	var wg sync.WaitGroup
	for i, read := range reads {
		wg.Go(func() { errs[i] = read() })
	}
	wg.Wait()
	if t.c.group != nil && (!t.c.isLead() || len(data.cellMap.Rows) > 0) {
		errs = append(errs, readInto(ctx, t, tableHosted, &data.hosted, scanJobs(tableHosted))())
	}
	return data, errors.Join(errs...)
}

// readWorkers returns a function that reads the cell map and the workers, and begins to
// renew the leases of the cell's workers.
func (t *term) readWorkers(ctx context.Context, data *recoveryData) func() error {
	readMap := readInto(ctx, t, tableMap, &data.cellMap, t.c.readMap)
	readList := readInto(ctx, t, "workers", &data.workers, t.c.listWorkers)
	return func() error {
		if err := errors.Join(readMap(), readList()); err != nil {
			return err
		}
		cellMap, workers := data.cellMap, data.workers
		t.c.Loop.Post(func() {
			if t.ended || t.loaded {
				return
			}
			// Without the map, the lead cell's owner would call the workers of other cells.
			t.restoreMap(cellMap)
			t.inherited.set(t.ownWorkers(workers))
			t.renewInherited(t.c.Now())
		})
		return nil
	}
}

// restoreMap restores the cell map, if this is the lead cell.
func (t *term) restoreMap(cellMap port.Page) {
	if t.c.group != nil && t.c.isLead() {
		t.c.group.restoreMap(cellMap)
	}
}

// readInto returns a function that reads a table into dst and retries the read until
// ctx ends.
func readInto[T any](ctx context.Context, t *term, table string, dst *T, read func(context.Context) (T, error)) func() error {
	return func() error {
		timeout := recoveryReadTimeout
		for {
			attempt, cancel := context.WithTimeout(ctx, timeout)
			result, err := read(attempt)
			timedOut := attempt.Err() != nil
			cancel()
			if err == nil {
				*dst = result
				return nil
			}
			t.log.WithFields(log.Fields{"event": "recovery_read_failed", "table": table}).WithError(err).Warn("cannot read the state of former owners; retrying")
			if timedOut {
				timeout *= 2
			}
			if sleep(ctx, recoverRetryDelay) != nil {
				return err
			}
		}
	}
}

// restore initialises the engine from the state of former owners.
func (t *term) restore(data recoveryData, now time.Time) {
	t.restoreMap(data.cellMap)
	t.restoreQueues(data.queues)
	workers := t.setWorkers(data.workers)
	t.restoreOutcomes(data.outcomes, now)
	t.restoreLearned(data.learned)
	progress := t.restoreJobs(data, now)
	for id := range progress {
		t.transfers.staleProgress[id] = true
	}
	for _, row := range data.parts.Rows {
		if id, _, _ := splitNumberedKey(row.Key); t.engine.Job(id) == nil {
			t.staleParts = append(t.staleParts, row.Key)
		}
	}
	for _, row := range data.cancels.Rows {
		t.cancel(row.Key, "recovery")
	}
	t.restoreMoves(data.moves, data.jobs, data.hosted)
	ids := t.restoreRoster(data.roster)
	for _, w := range workers {
		ids = append(ids, w.ID)
	}
	t.engine.ExpectInheritedRuns(ids, now)
	if t.runsRecorded {
		t.engine.ExpectRecordedRuns()
	}
	if failedAt := t.c.storeFailedAt; !failedAt.IsZero() {
		t.engine.ExpectUnlistedWorkers(failedAt.Add(directorySettleTime))
	}
	t.changes[t.c.tables.jobs].version = data.jobs.Version
	t.changes[t.c.tables.cancels].version = data.cancels.Version
	if cursor := t.changes[tableHosted]; cursor != nil {
		cursor.version = cmp.Or(data.hosted.Version, data.jobs.Version)
	}
	t.loaded = true
	t.markRecorded()
}

// restoreJobs restores the jobs of the cell, and its tasks of jobs of other cells. It returns the progress
// rows of other jobs, by ID.
func (t *term) restoreJobs(data recoveryData, now time.Time) map[string]port.Row {
	progress := map[string]port.Row{}
	for _, row := range data.progress.Rows {
		progress[row.Key] = row
	}
	parts, moving := restoreParts(data.parts), map[string]bool{}
	for _, row := range data.moves.Rows {
		moving[row.Key] = true
	}
	// Jobs that have begun or are moving come first, and are added in any case.
	begun := func(row port.Row) bool {
		return progress[row.Key].Version > 0 || len(parts[row.Key]) > 0 || moving[row.Key]
	}
	var others []port.Row
	for _, row := range data.jobs.Rows {
		if begun(row) {
			t.restoreRow(row, progress[row.Key], parts[row.Key], t.addAlways, now)
			delete(progress, row.Key)
		} else {
			others = append(others, row)
		}
	}
	for _, row := range others {
		t.restoreRow(row, port.Row{}, nil, t.add, now)
	}
	for _, row := range data.hosted.Rows {
		if j := t.applyHostedRow(row); j != nil {
			t.restoreJob(j, progress[j.Spec.ID], parts[j.Spec.ID])
			delete(progress, j.Spec.ID)
		}
	}
	return progress
}

// restoreRow restores the job of a row, which add adds to the engine.
func (t *term) restoreRow(row, progress port.Row, parts []port.Row, add func(job.Spec, time.Time) *dispatch.Job, now time.Time) {
	spec, ok := t.decodeSpec(row)
	if !ok {
		t.noteWithdrawn(row)
		return
	}
	if j := add(spec, now); j != nil {
		t.restoreJob(j, progress, parts)
	}
	t.applyHomeRow(row)
}

// directorySettleTime is how long after an outage of the store the directory may lack
// workers: the platform lists them again within about 2 s. It includes an interval of
// the reads that show the end of the outage, and one of the directory.
const directorySettleTime = 2*time.Second + ownerPoll + directoryPoll

// restoreOutcomes marks jobs as ended, so that a late notification does not start
// them again.
func (t *term) restoreOutcomes(outcomes port.Page, now time.Time) {
	for _, row := range outcomes.Rows {
		outcome, err := decode[outcomeRecord](row)
		if err != nil {
			t.log.WithField("event", "outcome_unreadable").WithError(err).Error("cannot decode an outcome row; skipping it")
			continue
		}
		t.engine.MarkEnded(row.Key, now)
		t.c.jobStates.set(row.Key, outcome.State, now)
		t.compactor.add(endedJob{row.Key, outcome.State, now})
	}
}

// restoreLearned restores the learned data of images. Without it, placement is
// worse until the data is learned again, which takes seconds.
func (t *term) restoreLearned(learned port.Page) {
	for _, row := range learned.Rows {
		l, err := decode[dispatch.Learned](row)
		if err == nil {
			err = t.engine.RestoreLearned(l)
		}
		if err != nil {
			t.log.WithField("event", "learned_unreadable").WithError(err).Warn("cannot restore the learned data; learning it again")
		}
	}
}

func (t *term) restoreJob(j *dispatch.Job, row port.Row, parts []port.Row) {
	if row.Version > 0 {
		t.progressRows[j.Spec.ID] = true
	}
	p, err := t.decodeProgress(j, row, parts)
	if err != nil {
		t.log.WithFields(log.Fields{"event": "progress_unreadable", "job": j.Spec.ID}).WithError(err).Error("cannot decode the job's progress; restoring only what was decoded")
		t.runsRecorded = false
	}
	if err := t.engine.Restore(j, p); err != nil {
		t.log.WithFields(log.Fields{"event": "progress_invalid", "job": j.Spec.ID}).WithError(err).Error("progress row does not match the job; restoring the job only in part")
		t.runsRecorded = false
	}
}

// checkRecovered ends the recovery once no attempt of a former owner can run
// unlisted.
func (t *term) checkRecovered(now time.Time) {
	if t.recovered {
		return
	}
	if t.engine.Uncontacted() > 0 {
		t.observeRecoveryWait(now)
		return
	}
	t.recovered = true
	observe(t.c.instruments.recoveryLatency, now.Sub(t.startedAt))
	t.c.transition(charts.ShardRecovered)
	t.log.WithFields(log.Fields{"event": "recovered", "took_ms": now.Sub(t.startedAt).Milliseconds(), "jobs": len(t.engine.Jobs())}).Info("recovery of the cell is complete")
}
