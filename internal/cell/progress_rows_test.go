package cell

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// largeSpec returns a job of several occurrences whose progress does not fit into a row.
func (cl *cluster) largeSpec() job.Spec {
	spec := cl.spec(160)
	spec.ID = "large"
	step := spec.Steps[0]
	step.Resources = job.Resources{MilliCPU: 50, MemoryMB: 10}
	spec.Steps = slices.Repeat([]job.Step{step}, 5)
	for n := 1; n < len(spec.Steps); n++ {
		spec.Steps[n].After = []int{n - 1}
	}
	spec.Schedule = job.Schedule{Times: 6, FirstUnixMS: time.Now().UnixMilli(), IntervalMS: 4500}
	return spec
}

// Guards against jobs that are never shown as completed, and ends that are never acknowledged: the
// progress of one large job exceeded the store's limit of a row, and no commit succeeded any more.
func TestProgressOfALargeJobDoesNotKeepOthersFromBeingCommitted(t *testing.T) {
	for name, killed := range map[string]bool{"undisturbed": false, "owners killed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(t, 150, 3, 12, func(string) time.Duration { return 4 * time.Second }, nil)
				defer cl.stopAll()
				large := cl.largeSpec()
				cl.submit(cl.awaitOwner(), large)
				for range 8 {
					time.Sleep(3 * time.Second)
					if owner := cl.awaitOwner(); killed {
						cl.kill(owner)
						time.Sleep(time.Second)
						cl.start(owner)
					}
					small := cl.spec(2)
					cl.submit(cl.awaitOwner(), small)
					cl.awaitState(small.ID, job.Completed, 25*time.Second)
				}
				cl.awaitState(large.ID, job.Completed, 120*time.Second)
				time.Sleep(5 * time.Second)
				if !killed {
					is.Equal(cl.fleet.StartsOfJob(large.ID), 5*160*6)
				}
				is.Equal(len(cl.store.Rows(tableProgress, "c0")), 0)
				is.Equal(len(cl.store.Rows(tableProgressParts, "c0")), 0)
				cl.check()
			})
		})
	}
}

// The parts of a split progress and the ranges of done tasks together tell what the progress
// tells.
func TestSplitProgressIsRestoredAsItWas(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		spec := job.Spec{ID: "job", Schedule: job.Schedule{Times: rapid.IntRange(0, 5).Draw(r, "times")}}
		for range rapid.IntRange(1, 4).Draw(r, "steps") {
			spec.Steps = append(spec.Steps, job.Step{Tasks: rapid.IntRange(1, 150).Draw(r, "tasks")})
		}
		numbers := spec.Numbering()
		var p dispatch.Progress
		want := map[int]bool{} // whether a task is done, by number
		for n := range spec.Occurrences() * numbers.PerOccurrence() {
			if kind := rapid.IntRange(0, 20).Draw(r, "kind"); kind > 0 || n < 100 {
				tp := dispatch.TaskProgress{Attempt: 1, Done: kind != 1}
				tp.Occurrence, tp.Step, tp.Index = numbers.At(n)
				p.Tasks = append(p.Tasks, tp)
				want[n] = tp.Done
			}
		}
		done, parts := splitProgress(spec, p)
		got := map[int]bool{}
		for _, tasks := range parts {
			for _, tp := range tasks {
				got[numbers.Number(tp.Occurrence, tp.Step, tp.Index)] = tp.Done
			}
		}
		for _, span := range done {
			for n := span[0]; n < span[1]; n++ {
				if number := numbers.Number(numbers.At(n)); number != n {
					r.Fatalf("task %d is numbered as %d", n, number)
				}
				got[n] = true
			}
		}
		if len(got) != len(want) {
			r.Fatalf("%d tasks, want %d", len(got), len(want))
		}
		for n := range want {
			if got[n] != want[n] {
				r.Fatalf("task %d is done: %t, want %t", n, got[n], want[n])
			}
		}
	})
}

// Guards against one job whose rows the store refuses keeping all others from being committed.
func TestJobWhoseRowsAreRefusedIsSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 151, 2, 4, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		refused := cl.spec(2)
		hook := txnHook(func(_ context.Context, txn port.Txn, commit func() (int64, error)) (int64, error) {
			if slices.ContainsFunc(txn.Puts, func(p port.Put) bool { return p.Table == tableProgress && p.Key == refused.ID }) {
				return 0, &port.RefusedError{Op: "commit", Reason: port.RefusedInvalid}
			}
			return commit()
		})
		cl.daemons[owner].txnHook.Store(&hook)
		cl.submit(owner, refused)
		var others []string
		for range 10 {
			spec := cl.spec(2)
			cl.submit(owner, spec)
			others = append(others, spec.ID)
		}
		for _, id := range others {
			cl.awaitState(id, job.Completed, 10*time.Second)
		}
		is.Equal(cl.owner(), owner)
		is.True(cl.daemons[owner].cell.instruments.jobsNotCommitted.Count() > 0)
		cl.awaitState(refused.ID, job.Completed, 30*time.Second) // its outcome is a small row
		cl.check()
	})
}

// Guards against a job that is accepted although its row cannot be stored, or that callers submit
// again and again because the refusal looks like one of the store.
func TestJobThatIsTooLargeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 152, 2, 1, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		spec := cl.spec(1)
		spec.Payload = string(make([]byte, defaultRowBytes))
		err := cl.trySubmit(owner, spec)
		refused, ok := err.(*verdict.RequestError)
		is.True(ok)
		is.Equal(refused.Code, verdict.CodeTooLarge)
		is.Equal(refused.Verdict, verdict.NotRun)
	})
}
