// Package port defines the interfaces that the platform is behind: its
// transactional row store, its workers and the list of them, which the package
// platform implements, and internal/fake for tests; and what a daemon offers to
// callers, which internal/cell implements.
package port

import (
	"context"
	"fmt"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Row is one row of the store. Version zero means that it does not exist.
type Row struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   int64
}

// Check demands that a row has a version; zero means that it does not exist.
type Check struct {
	Table   string
	Key     string
	Version int64
}

// Put writes a row.
type Put struct {
	Table string
	Key   string
	Value []byte
}

// Ref names a row.
type Ref struct {
	Table string
	Key   string
}

// Txn is applied whole or not at all, within one partition.
type Txn struct {
	Partition string
	Checks    []Check
	Puts      []Put
	Deletes   []Ref
}

// Page is a range of rows as of one moment.
type Page struct {
	Rows []Row
	// More is set when the range has further rows.
	More bool
	// Version is the newest version that the page takes account of.
	Version int64
}

// Store is the platform's row store. Errors are *ConflictError, *RefusedError
// or *UnansweredError.
type Store interface {
	// Commit applies a transaction and returns the version of its rows.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Range returns rows with from <= key < to in key order; an empty bound is
	// none, and limit zero is as many as one response holds.
	Range(ctx context.Context, table, partition, from, to string, limit int) (Page, error)
	// Changes returns the rows of a table that changed after a version, of all
	// partitions, in order. Deleted rows have version zero. It waits for one at
	// most so long. A *RefusedError with RefusedOld means that the store no
	// longer knows: the caller must read the whole table.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// ScanAll reads a table's partition, page by page. The version is that of its
// first page: changes after it may be missing from the rows.
func ScanAll(ctx context.Context, store Store, table, partition string) (Page, error) {
	whole := Page{}
	from := ""
	for {
		page, err := store.Range(ctx, table, partition, from, "", 0)
		if err != nil {
			return whole, err
		}
		if whole.Version == 0 {
			whole.Version = page.Version
		}
		whole.Rows = append(whole.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return whole, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// WorkerEntry is what a worker says of itself in the platform's list.
type WorkerEntry struct {
	// ID names one life of the worker, unless it was started again under it.
	ID      string
	Pool    string
	Address string
	// DataCentre is where the worker runs.
	DataCentre string
	Draining   bool
	// Remaining is the least time until a draining worker leaves.
	Remaining time.Duration
	// WarmUp is how long the worker stays slow after its start.
	WarmUp   time.Duration
	Capacity job.Resources
	Labels   []string
	// Rack is one of the labels.
	Rack string
	// Boot identifies the worker's start; it differs after every start.
	Boot int64
}

// StartRequest tells a worker to run a task.
type StartRequest struct {
	Task       string
	Attempt    int
	Payload    string
	Checkpoint string
	Ticket     string
	Epoch      int64
	// NotAfterMS is the time on the worker's clock past which it must refuse.
	NotAfterMS int64
}

// RunningTask is a run that a worker lists as being at work.
type RunningTask struct {
	Task       string
	Attempt    int
	Checkpoint string
	// Percent is how much of the work is done; a service task serves at 100.
	Percent int
	// Measurement is the tail latency in milliseconds for a service task and the
	// processors in use, in thousandths, for others.
	Measurement float64
}

// EndReason says how a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken is the end of a gang's member because another ended.
	EndGangBroken EndReason = "broken"
	// EndGangTimeout is the end of a gang's member that waited for the others in vain.
	EndGangTimeout EndReason = "alone"
)

// EndedTask is a run that a worker lists as ended.
type EndedTask struct {
	// Sequence rises within one boot of the worker.
	Sequence   int64
	Task       string
	Attempt    int
	Reason     EndReason
	Checkpoint string
}

// Listing is a worker's word on everything that it runs.
type Listing struct {
	ClockMS int64
	Boot    int64
	Running []RunningTask
	Ended   []EndedTask
}

// ListRequest asks a worker for a listing, renews its lease and acknowledges ends.
type ListRequest struct {
	Epoch int64
	// LeaseUntilMS is on the worker's clock; zero renews nothing.
	LeaseUntilMS int64
	// Acknowledge lets the worker forget ends up to this number.
	Acknowledge int64
	// Wait is how long the response may wait for an end.
	Wait time.Duration
}

// Target addresses one life of a worker.
type Target struct {
	ID      string
	Address string
}

// Workers gives orders to workers. Errors are *RefusedError or *UnansweredError.
type Workers interface {
	// Start returns the worker's clock in milliseconds.
	Start(ctx context.Context, to Target, order StartRequest) (int64, error)
	Stop(ctx context.Context, to Target, task string, attempt int, epoch int64) error
	List(ctx context.Context, to Target, order ListRequest) (Listing, error)
	// Throttle lets a run work at a percentage of its processors.
	Throttle(ctx context.Context, to Target, task string, attempt int, epoch int64, percent int) error
}

// Directory lists the workers. Entries that cannot be read are left out and
// reported by the implementation.
type Directory interface {
	List(ctx context.Context) ([]WorkerEntry, error)
}

// Advisor says which workers may run a step of a queue with an advisor.
type Advisor interface {
	// Advise returns a ticket for each of the workers that may run the step. It
	// answers after a time for the question and one for each worker, one call
	// after the other. Errors are *RefusedError or *UnansweredError.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, error)
}

// Machines says what the platform knows of the machines that workers run on.
type Machines interface {
	// Alive returns the IDs of the workers whose machines are up. A worker that
	// it lacks has ended, or has only just begun.
	Alive(ctx context.Context) (map[string]bool, error)
}

// Refusal is why a worker or the store refused.
type Refusal string

// Reasons for a refusal.
const (
	// RefusedEpoch means that a higher epoch is known.
	RefusedEpoch Refusal = "epoch"
	// RefusedStale means that the attempt is not higher than one that ended there.
	RefusedStale Refusal = "old"
	// RefusedExpired means that the order's time had passed.
	RefusedExpired Refusal = "late"
	// RefusedCapacity means that the task does not fit.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the ticket is missing or not valid.
	RefusedTicket Refusal = "ticket"
	// RefusedIncarnation means that another life of the worker answered.
	RefusedIncarnation Refusal = "life"
	// RefusedBusy means that nothing was done, for now.
	RefusedBusy Refusal = "busy"
	// RefusedRateLimit means that nothing was done because of too many calls.
	RefusedRateLimit Refusal = "rate"
	// RefusedInvalid means that the order cannot be carried out as it is.
	RefusedInvalid Refusal = "invalid"
)

// RefusedError reports an order that was not carried out.
type RefusedError struct {
	Op     string
	Reason Refusal
	// ClockMS is the worker's clock; zero if the response had none.
	ClockMS int64
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("%s refused: %s", e.Op, e.Reason) }

// UnansweredError reports an operation without a response. It may have been
// carried out, or may be later, unless NotSent is set.
type UnansweredError struct {
	Op      string
	NotSent bool
	Err     error
}

// Error implements error.
func (e *UnansweredError) Error() string { return fmt.Sprintf("%s got no response: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Err }

// ConflictError reports a transaction whose checks failed; nothing was written.
type ConflictError struct {
	// Rows are the checked rows as they are.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflicts on %d checked rows", len(e.Rows))
}

// Route sends requests to a queue.
type Route struct {
	Queue job.Queue
	// Host and Prefix select the route; the longest prefix wins.
	Host    string
	Prefix  string
	Timeout time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is the operators' configuration as of one version. It is immutable.
type Config struct {
	Version int64
	Routes  []Route
	Limits  Limits
	// Body is the configuration as the operators wrote it.
	Body []byte
	// StoredVersion is the version of the store's row that it was read from; zero if it
	// came from another daemon.
	StoredVersion int64
}

// ConfigSource reads the operators' configuration.
type ConfigSource interface {
	// Read returns the newest configuration, or nil if there is none yet. Given
	// one that is known, it may ask only whether that has changed, and return it.
	Read(ctx context.Context, known *Config) (*Config, error)
	// Decode reads a body that another daemon has passed on.
	Decode(body []byte) (*Config, error)
}
