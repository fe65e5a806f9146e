package cell

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Tables of the cell.
//
// The owner commits to the cell's own partition, on condition that the owner's row
// is unchanged. Every daemon writes jobs and cancellations. These are spread over
// further partitions, because the store serialises the transactions of a
// partition.
const (
	tableOwners   = "owners"
	tableProgress = "progress"
	tableOutcomes = "outcomes"
	tableLearned  = "learned"
	tableMap      = "cellmap"
	tableRoster   = "roster"
	// tableProgressParts holds the progress of large jobs, with the job's row in tableProgress.
	tableProgressParts = "progress-parts"
	// tableMoves holds the moves of jobs to other cells that are not completed.
	tableMoves = "moves"
	// tableHosted holds the tasks that another cell than their job's runs. Its rows are in the
	// partitions of the jobs.
	tableHosted = "hosted"
	// tableQueues holds the settings of queues as the owner last knew them.
	tableQueues = "queues"
	queuesKey   = "queues"
	ownerKey    = "owner"
	learnedKey  = "images"
	mapKey      = "map"

	tableJobs    = "jobs"
	tableCancels = "cancels"
	// tableIndex holds the cell of each job that is not in the lead cell. Its rows are in
	// the partitions of the jobs.
	tableIndex = "index"
)

// tableSets is the number of sets of the tables of jobs and cancellations. The platform
// allows 100 tables, so that further cells share the tables of others.
const tableSets = 40

// jobTables are the names of the tables of a cell's jobs and cancellations. Each cell
// reads the changes of its own tables.
type jobTables struct{ jobs, cancels string }

func jobTablesOf(cell int) jobTables {
	if cell == cellmap.Lead {
		return jobTables{tableJobs, tableCancels}
	}
	return jobTables{
		jobs:    fmt.Sprintf("%s-%d", tableJobs, cell%tableSets),
		cancels: fmt.Sprintf("%s-%d", tableCancels, cell%tableSets),
	}
}

// jobPartitions is the number of partitions that jobs are spread over. With 16, a
// store that takes half a second per transaction still accepts thirty jobs per
// second.
const jobPartitions = 16

// jobPartition returns the partition that holds a job's rows.
func (c *Cell) jobPartition(id string) string {
	return c.partitionName(int(xxhash.Sum64String(id) % jobPartitions))
}

// partitionName returns the name of a partition of jobs. All cells share these, so that a
// job that is submitted to two daemons is found whichever cells they choose.
func (c *Cell) partitionName(n int) string { return fmt.Sprintf("%s-%02d", c.LeadPartition, n) }

// indexTable returns the table whose row of a job is kept after its end. The lead cell's
// jobs need no row in tableIndex.
func (c *Cell) indexTable() string {
	if c.Number == cellmap.Lead {
		return c.tables.jobs
	}
	return tableIndex
}

// jobRecord is the value of a job's row. The row is kept after the job's end, so
// that a late resubmission finds it.
type jobRecord struct {
	// Spec is nil once the job has ended and its outcome is recorded.
	Spec *job.Spec `json:"spec,omitempty"`
	// Ended is the final state.
	Ended job.State `json:"ended,omitempty"`
	// Cell is the number of the job's cell.
	Cell int `json:"cell,omitempty"`
	// Moves is how often the job has moved to another cell, and From the cell that it came
	// from last.
	Moves int `json:"moves,omitempty"`
	From  int `json:"from,omitempty"`
	// Withdrawn is set if the job was cancelled before it was stored, and Submitted if its submission
	// has been acknowledged since. Until then, callers are told that there is no such job.
	Withdrawn bool `json:"withdrawn,omitempty"`
	Submitted bool `json:"submitted,omitempty"`
	// Transferred are the tasks that other cells run or have run.
	Transferred []transferredTask `json:"transferred,omitempty"`
}

// defaultRowBytes is the store's limit of a row's value if it is not configured.
const defaultRowBytes = 65536

// rowBytes returns the size up to which rows are written, below the store's limit.
func (c *Cell) rowBytes() int { return cmp.Or(c.RowBytes, defaultRowBytes) * 15 / 16 }

// outcomeRecord is the value of a final job's row in tableOutcomes.
type outcomeRecord struct {
	State job.State `json:"state"`
	// UnixMS is the owner's wall clock in milliseconds since 1970 UTC.
	UnixMS int64 `json:"at"`
}

// encode encodes a record of strings and numbers as JSON.
func encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return value
}

// RowError reports a row that cannot be decoded.
type RowError struct {
	Table, Key string
	Err        error
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("row %s/%s: %v", e.Table, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// decode decodes a row's value. The error is a *RowError.
func decode[T any](row port.Row) (T, error) {
	var record T
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, &RowError{row.Table, row.Key, err}
	}
	return record, nil
}

// scanPartition returns a function that reads a table in one partition.
func (c *Cell) scanPartition(table, partition string) func(context.Context) (port.Page, error) {
	return func(ctx context.Context) (port.Page, error) { return port.ScanAll(ctx, c.Store, table, partition) }
}

// scanJobs reads a table from all job partitions in parallel. The version is the
// lowest of the partitions; the changes after it must be read as well.
func (c *Cell) scanJobs(ctx context.Context, table string) (port.Page, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	whole := port.Page{}
	for n := range jobPartitions {
		wg.Go(func() {
			page, err := port.ScanAll(ctx, c.Store, table, c.partitionName(n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			if whole.Version == 0 || page.Version < whole.Version {
				whole.Version = page.Version
			}
			whole.Rows = append(whole.Rows, page.Rows...)
		})
	}
	wg.Wait()
	return whole, failed
}
