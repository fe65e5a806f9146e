package batch

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/rules"
	"github.com/bambooyard/bambooyard/shard"
	"github.com/bambooyard/bambooyard/verdict"
)

func libraryJob(key string) Job {
	return Job{Member: "library", Key: key, Tasks: 2, RunTimeMS: 1000, Resources: inventory.Resources{MilliProcessors: 1000}}
}

// rackDirectory returns the directory of a document with count racks of one VM each.
func rackDirectory(count int, milliProcessors int64) *Directory {
	var doc document.Document
	for i := range count {
		doc.Inventory.VMs = append(doc.Inventory.VMs, inventory.VM{
			Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i), Capacity: inventory.Resources{MilliProcessors: milliProcessors},
		})
	}
	doc.Rules.Members = []rules.Member{{Name: "library", QuotaMilliProcessors: 2000}}
	return NewDirectory(doc)
}

// TestSubmissionIsIdempotent guards against a job that is accepted twice or on two
// shards when it is submitted repeatedly over outages, lost replies and inventory
// changes, and against a submission refused as not run that was stored.
func TestSubmissionIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, ctx, accepted := fake.NewPlatform(), context.Background(), ""
		for range rapid.IntRange(1, 12).Draw(t, "submissions") {
			table.SetFaults(fake.Faults{
				Outage:      rapid.IntRange(0, 3).Draw(t, "outage") == 0,
				LoseReplies: rapid.IntRange(0, 1).Draw(t, "lost replies"),
			})
			milliProcessors := rapid.SampledFrom([]int64{500, 4000}).Draw(t, "size of the VMs")
			job, err := SubmitFeasible(ctx, table, rackDirectory(rapid.IntRange(1, 5).Draw(t, "racks"), milliProcessors), libraryJob("k"))
			table.SetFaults(fake.Faults{})
			rows, _ := table.Scan(ctx, "inbox/", "", 10)
			stored, _ := ReadJob(ctx, table, "library", "k")
			switch {
			case err == nil && (stored == nil || job.Shard != stored.Shard):
				t.Fatalf("accepted %+v, stored %+v", job, stored)
			case err != nil && accepted == "" && verdict.Of(err) == verdict.NotRun && stored != nil:
				t.Fatalf("refused as not run, but stored: %v", err)
			case len(rows) > 1, accepted != "" && stored.Shard != accepted:
				t.Fatalf("accepted twice: %v", rows)
			}
			if stored != nil {
				accepted = stored.Shard
			}
		}
	})
}

// lateCommitTable fails every commit with an unknown outcome and keeps it, so that
// it can take effect later.
type lateCommitTable struct {
	*fake.Platform
	pending []platform.Txn
}

func (t *lateCommitTable) Commit(_ context.Context, txn platform.Txn) (platform.Version, error) {
	t.pending = append(t.pending, txn)
	return 0, &platform.UnavailableError{Op: "commit", Verdict: verdict.MayHaveRun, Err: errors.New("timeout")}
}

// TestLateWriteIsNotReportedAsNotRun guards against the verdict not-run for a
// submission whose write may still take effect.
func TestLateWriteIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	table := &lateCommitTable{Platform: fake.NewPlatform()}
	_, err := SubmitFeasible(context.Background(), table, rackDirectory(1, 4000), libraryJob("k"))
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	_, err = table.Platform.Commit(context.Background(), table.pending[0])
	is.NoErr(err)
	job, err := SubmitFeasible(context.Background(), table, rackDirectory(3, 4000), libraryJob("k"))
	is.NoErr(err)
	is.Equal(job.Shard, "r0")
}

// TestQuotaPartsKeepTasksFeasible checks that the shards' parts of a quota add up
// to the quota, and that a quota large enough for a task makes the task feasible on
// some shard.
func TestQuotaPartsKeepTasksFeasible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := 1000 * rapid.Int64Range(1, 8).Draw(t, "size of the VMs")
		d := rackDirectory(rapid.IntRange(1, 9).Draw(t, "racks"), size)
		job := libraryJob("k")
		job.Resources.MilliProcessors = 500 * rapid.Int64Range(1, 16).Draw(t, "size of the task")
		names, err := d.Feasible(job)
		if possible := job.Resources.MilliProcessors <= min(size, 2000); possible != (err == nil) || possible != (len(names) > 0) {
			t.Fatalf("feasible on %v: %v", names, err)
		}
		sum := int64(0)
		for _, s := range d.shards {
			sum += s.quotas[0].MilliProcessors
		}
		if sum != 2000 {
			t.Fatalf("parts of the quota add up to %d, want 2000", sum)
		}
	})
}

// TestShardChoiceUnderLaggingLoads checks that a burst of jobs that sees stale loads
// leaves a smaller backlog on the worst shard than hashing alone and than choosing
// the least loaded shard.
func TestShardChoiceUnderLaggingLoads(t *testing.T) {
	is := is.New(t)
	const shards, jobs, readEvery = 7, 560, 80
	worst := map[string]float64{}
	for _, policy := range []string{"weighted", "hash", "least loaded"} {
		r := rand.New(rand.NewPCG(3, 3))
		names, loads, actual := make([]string, shards), make([]shard.Load, shards), make([]shard.Load, shards)
		equal := make([]shard.Load, shards)
		for i := range names {
			names[i] = fmt.Sprintf("r%d", i)
			actual[i] = shard.Load{FreeMilliProcessors: 560_000 * int64(1+i) / shards}
			equal[i] = shard.Load{FreeMilliProcessors: 1000}
		}
		for n := range jobs {
			if n%readEvery == 0 {
				copy(loads, actual)
			}
			job := fmt.Sprint("m:", n)
			i := 0
			switch policy {
			case "weighted":
				fmt.Sscanf(chooseShard(job, names, loads), "r%d", &i)
			case "hash":
				fmt.Sscanf(chooseShard(job, names, equal), "r%d", &i)
			default:
				for k := range loads {
					if loads[k].FreeMilliProcessors-loads[k].PendingMilliProcessors > loads[i].FreeMilliProcessors-loads[i].PendingMilliProcessors {
						i = k
					}
				}
			}
			size := 1000 + r.Int64N(7000)
			took := min(size, actual[i].FreeMilliProcessors)
			actual[i].FreeMilliProcessors -= took
			actual[i].PendingMilliProcessors += size - took
		}
		for _, l := range actual {
			worst[policy] = math.Max(worst[policy], float64(l.PendingMilliProcessors)/1000)
		}
		t.Logf("%s: %.0f processors wait on the worst shard", policy, worst[policy])
	}
	is.True(worst["weighted"] < worst["hash"])
	is.True(worst["weighted"] < worst["least loaded"])
}

// TestCancellationBurstIsCoalesced checks that a burst of cancellations with
// duplicates is written in few transactions, with one row for each job.
func TestCancellationBurstIsCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := fake.NewPlatform()
		table.SetFaults(fake.Faults{Delay: 10 * time.Millisecond})
		c := NewCanceller(table)
		const jobs = 1000
		var wg sync.WaitGroup
		for n := range 3 * jobs {
			wg.Go(func() {
				job := libraryJob(fmt.Sprint(n % jobs))
				job.Shard = "r1"
				is.NoErr(c.Cancel(t.Context(), job))
			})
		}
		wg.Wait()
		counts := table.Counts()
		t.Logf("%d cancellations of %d jobs: %d transactions, %d rows", 3*jobs, jobs, counts.Commits, counts.RowWrites)
		is.True(counts.Commits <= 10)
		rows, err := table.Scan(t.Context(), platform.InboxPrefix("r1"), "", 2*jobs)
		is.NoErr(err)
		is.Equal(len(rows), jobs)
	})
}
