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

// inheritance is what former owners have left in the store.
type inheritance struct {
	jobs, cancels, progress, outcomes, learned port.Page
	workers                                    []port.WorkerEntry
}

// recoverPause is the pace of further tries to read what former owners left.
const recoverPause = 100 * time.Millisecond

// recover reads what former owners have left, and then calls every worker
// under the new epoch, which shuts out the former owner and lists what runs.
func (t *tenure) recover() {
	began := t.c.Now()
	do(t, 4*storeTimeout, t.inherit, func(in inheritance, err error) {
		now := t.c.Now()
		t.c.storeAnswered(err, now)
		if err != nil {
			t.log.WithField("event", "recovery_read_failed").WithError(err).Warn("tried again")
			do(t, storeTimeout, func(ctx context.Context) (struct{}, error) {
				return struct{}{}, pause(ctx, recoverPause)
			}, func(struct{}, error) { t.recover() })
			return
		}
		t.restore(in, now)
		t.log.WithFields(log.Fields{"event": "recovery_read", "jobs": len(t.engine.Jobs()), "workers": len(in.workers),
			"took_ms": now.Sub(began).Milliseconds()}).Info("cell")
		t.kick()
	})
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// inherit reads what former owners have left. They cannot end a job any more:
// the ownership row has changed.
func (t *tenure) inherit(ctx context.Context) (inheritance, error) {
	var in inheritance
	reads := []func() error{
		func() (err error) { in.jobs, err = t.c.scanJobs(ctx, tableJobs); return err },
		func() (err error) { in.cancels, err = t.c.scanJobs(ctx, tableCancels); return err },
		func() (err error) {
			in.progress, err = port.ScanAll(ctx, t.c.Store, tableProgress, t.c.Partition)
			return err
		},
		func() (err error) {
			in.outcomes, err = port.ScanAll(ctx, t.c.Store, tableOutcomes, t.c.Partition)
			return err
		},
		func() (err error) {
			in.learned, err = port.ScanAll(ctx, t.c.Store, tableLearned, t.c.Partition)
			return err
		},
		func() (err error) { in.workers, err = t.c.Directory.List(ctx); return err },
	}
	errs := make([]error, len(reads))
	var wg sync.WaitGroup
	for i, read := range reads {
		wg.Go(func() { errs[i] = read() })
	}
	wg.Wait()
	return in, errors.Join(errs...)
}

// restore takes in what former owners have left.
func (t *tenure) restore(in inheritance, now time.Time) {
	t.engine.SetWorkers(in.workers, now)
	t.restoreEnded(in.outcomes, now)
	t.restoreLearned(in.learned)
	progress := map[string]port.Row{}
	for _, row := range in.progress.Rows {
		progress[row.Key] = row
	}
	for _, row := range in.jobs.Rows {
		if spec, ok := t.readSpec(row); ok {
			if j := t.add(spec, now); j != nil {
				t.restoreJob(j, progress[row.Key])
			}
		}
	}
	for _, row := range in.cancels.Rows {
		t.cancel(row.Key)
	}
	ids := make([]string, 0, len(in.workers))
	for _, w := range in.workers {
		ids = append(ids, w.ID)
	}
	t.engine.ExpectInheritedRuns(ids, now)
	t.changes[tableJobs].version = in.jobs.Version
	t.changes[tableCancels].version = in.cancels.Version
	t.loaded = true
}

// restoreEnded takes in which jobs have ended, so that late news of them does
// not begin them anew.
func (t *tenure) restoreEnded(outcomes port.Page, now time.Time) {
	for _, row := range outcomes.Rows {
		outcome, err := decode[outcomeRecord](row)
		if err != nil {
			t.log.WithField("event", "outcome_unreadable").WithError(err).Error("job")
			continue
		}
		t.engine.MarkEnded(row.Key, now)
		t.c.news.announce(row.Key, outcome.State, now)
		t.janitor.add(endedJob{row.Key, outcome.State, now})
	}
}

// restoreLearned takes in what former owners have learned of images. Without it
// the cell is worse for some seconds only.
func (t *tenure) restoreLearned(learned port.Page) {
	for _, row := range learned.Rows {
		l, err := decode[dispatch.Learned](row)
		if err == nil {
			err = t.engine.RestoreLearned(l)
		}
		if err != nil {
			t.log.WithField("event", "learned_unreadable").WithError(err).Warn("images are learned anew")
		}
	}
}

func (t *tenure) restoreJob(j *dispatch.Job, row port.Row) {
	var p dispatch.Progress
	if row.Version > 0 {
		t.progressRows[j.Spec.ID] = true
		if err := json.Unmarshal(row.Value, &p); err != nil {
			t.log.WithFields(log.Fields{"event": "progress_unreadable", "job": j.Spec.ID}).WithError(err).Error("job")
		}
	}
	if err := t.engine.Restore(j, p); err != nil {
		t.log.WithFields(log.Fields{"event": "progress_invalid", "job": j.Spec.ID}).WithError(err).Error("job")
	}
}

// checkRecovered notices when nothing of a former owner can run unseen.
func (t *tenure) checkRecovered(now time.Time) {
	if t.recovered || t.engine.Uncontacted() > 0 {
		return
	}
	t.recovered = true
	t.c.move(charts.ShardRecovered)
	t.log.WithFields(log.Fields{"event": "recovered", "took_ms": now.Sub(t.begun).Milliseconds(), "jobs": len(t.engine.Jobs())}).Info("cell")
}
