package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Tables of the cell.
//
// What the owner commits lies in the cell's own partition, under the condition
// that its ownership row is unchanged. Jobs and cancellations are written by
// entries and spread over further partitions, because the store applies the
// transactions of one partition one after the other.
const (
	tableOwners   = "owners"
	tableProgress = "progress"
	tableOutcomes = "outcomes"
	tableLearned  = "learned"
	ownerKey      = "owner"
	learnedKey    = "images"

	tableJobs    = "jobs"
	tableCancels = "cancels"
)

// jobPartitions is over how many partitions jobs are spread. A store that takes
// half a second for a transaction then still accepts thirty jobs a second.
const jobPartitions = 16

// jobPartition returns the partition of a job's rows.
func (c *Cell) jobPartition(id string) string {
	return c.partitionNumber(int(xxhash.Sum64String(id) % jobPartitions))
}

func (c *Cell) partitionNumber(n int) string { return fmt.Sprintf("%s-%02d", c.Partition, n) }

// jobRecord is the value of a job's row. The row outlives the job, so that a
// submission that is repeated late finds it.
type jobRecord struct {
	// Spec is nil once the job has ended and its outcome is recorded.
	Spec *job.Spec `json:"spec,omitempty"`
	// Ended is the final state.
	Ended job.State `json:"ended,omitempty"`
}

// outcomeRecord is the value of a final job's row.
type outcomeRecord struct {
	State job.State `json:"state"`
	// UnixMS is the time of day at the owner.
	UnixMS int64 `json:"at"`
}

// encode returns a record of texts and numbers as JSON.
func encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // records have only texts and numbers
	}
	return value
}

// RowError reports a row that cannot be read.
type RowError struct {
	Table, Key string
	Err        error
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("row %s/%s: %v", e.Table, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// decode reads a row's value.
func decode[T any](row port.Row) (T, error) {
	var record T
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, &RowError{row.Table, row.Key, err}
	}
	return record, nil
}

// scanJobs reads a table of all job partitions, at the same time. The version
// is the lowest of theirs; changes after it come with the changes.
func (c *Cell) scanJobs(ctx context.Context, table string) (port.Page, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	whole := port.Page{}
	for n := range jobPartitions {
		wg.Go(func() {
			page, err := port.ScanAll(ctx, c.Store, table, c.partitionNumber(n))
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
