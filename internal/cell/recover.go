package cell

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
)

// recoveryData is the state of former owners in the store, and the workers.
type recoveryData struct {
	jobs, cancels, progress, outcomes, learned port.Page
	workers                                    []port.WorkerEntry
}

// recoverRetryDelay is the delay before a failed read of the recovery data is
// retried.
const recoverRetryDelay = 100 * time.Millisecond

// recover reads the state of former owners, and then requests a listing from
// every worker with the new epoch, which fences the former owner.
func (t *term) recover() {
	began := t.c.Now()
	runAsync(t, 4*storeTimeout, t.readRecoveryData, func(data recoveryData, err error) {
		now := t.c.Now()
		t.c.recordStoreResult(err, now)
		if err != nil {
			t.log.WithField("event", "recovery_read_failed").WithError(err).Warn("cannot read the state of former owners; retrying")
			runAsync(t, storeTimeout, func(ctx context.Context) (struct{}, error) {
				return struct{}{}, sleep(ctx, recoverRetryDelay)
			}, func(struct{}, error) { t.recover() })
			return
		}
		t.restore(data, now)
		t.log.WithFields(log.Fields{"event": "recovery_read", "jobs": len(t.engine.Jobs()), "workers": len(data.workers),
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
	reads := []func() error{
		func() (err error) { data.jobs, err = t.c.scanJobs(ctx, tableJobs); return err },
		func() (err error) { data.cancels, err = t.c.scanJobs(ctx, tableCancels); return err },
		func() (err error) {
			data.progress, err = port.ScanAll(ctx, t.c.Store, tableProgress, t.c.Partition)
			return err
		},
		func() (err error) {
			data.outcomes, err = port.ScanAll(ctx, t.c.Store, tableOutcomes, t.c.Partition)
			return err
		},
		func() (err error) {
			data.learned, err = port.ScanAll(ctx, t.c.Store, tableLearned, t.c.Partition)
			return err
		},
		func() (err error) { data.workers, err = t.c.Directory.List(ctx); return err },
	}
	errs := make([]error, len(reads))
	var wg sync.WaitGroup
	for i, read := range reads {
		wg.Go(func() { errs[i] = read() })
	}
	wg.Wait()
	return data, errors.Join(errs...)
}

// restore initialises the engine from the state of former owners.
func (t *term) restore(data recoveryData, now time.Time) {
	t.engine.SetWorkers(data.workers, now)
	t.restoreOutcomes(data.outcomes, now)
	t.restoreLearned(data.learned)
	progress := map[string]port.Row{}
	for _, row := range data.progress.Rows {
		progress[row.Key] = row
	}
	for _, row := range data.jobs.Rows {
		if spec, ok := t.decodeSpec(row); ok {
			if j := t.add(spec, now); j != nil {
				t.restoreJob(j, progress[row.Key])
			}
		}
	}
	for _, row := range data.cancels.Rows {
		t.cancel(row.Key)
	}
	ids := make([]string, 0, len(data.workers))
	for _, w := range data.workers {
		ids = append(ids, w.ID)
	}
	t.engine.ExpectInheritedRuns(ids, now)
	if failedAt := t.c.storeFailedAt; !failedAt.IsZero() {
		t.engine.ExpectUnlistedWorkers(failedAt.Add(directorySettleTime))
	}
	t.changes[tableJobs].version = data.jobs.Version
	t.changes[tableCancels].version = data.cancels.Version
	t.loaded = true
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
		t.c.jobStates.publish(row.Key, outcome.State, now)
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

func (t *term) restoreJob(j *dispatch.Job, row port.Row) {
	var p dispatch.Progress
	if row.Version > 0 {
		t.progressRows[j.Spec.ID] = true
		if err := json.Unmarshal(row.Value, &p); err != nil {
			t.log.WithFields(log.Fields{"event": "progress_unreadable", "job": j.Spec.ID}).WithError(err).Error("cannot decode the job's progress row; restoring only what was decoded")
		}
	}
	if err := t.engine.Restore(j, p); err != nil {
		t.log.WithFields(log.Fields{"event": "progress_invalid", "job": j.Spec.ID}).WithError(err).Error("progress row does not match the job; restoring the job only in part")
	}
}

// checkRecovered ends the recovery once no attempt of a former owner can run
// unlisted.
func (t *term) checkRecovered(now time.Time) {
	if t.recovered || t.engine.Uncontacted() > 0 {
		return
	}
	t.recovered = true
	t.c.transition(charts.ShardRecovered)
	t.log.WithFields(log.Fields{"event": "recovered", "took_ms": now.Sub(t.startedAt).Milliseconds(), "jobs": len(t.engine.Jobs())}).Info("recovery of the cell is complete")
}
