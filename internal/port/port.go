// Package port defines the interfaces to the platform: its transactional row
// store, its workers and the directory of workers. Package platform implements
// them, and internal/fake does for tests. It also defines the job API that a
// daemon serves, which internal/cell implements.
package port

import (
	"context"
	"fmt"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Row is one row of the store. Version zero means that the row does not exist.
type Row struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   int64
}

// Check is a precondition on the version of a row; zero requires that the row
// does not exist.
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

// Ref identifies a row within a partition.
type Ref struct {
	Table string
	Key   string
}

// Txn is an atomic transaction within one partition.
type Txn struct {
	Partition string
	Checks    []Check
	Puts      []Put
	Deletes   []Ref
}

// Page is a consistent read of a range of rows.
type Page struct {
	Rows []Row
	// More is set when the range has rows after this page.
	More bool
	// Version is the newest version that the page reflects.
	Version int64
}

// Store is the platform's row store. Its methods return a *ConflictError, a
// *RefusedError or an *UnansweredError.
type Store interface {
	// Commit applies a transaction and returns the version of the written rows.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Range returns rows with from <= key < to in key order. An empty bound is
	// unbounded, and limit zero returns as many rows as one response holds.
	Range(ctx context.Context, table, partition, from, to string, limit int) (Page, error)
	// Changes returns the rows of a table, in all partitions, that changed after
	// a version, in order of change. Deleted rows have version zero. It blocks
	// until there is a change, for at most wait. A *RefusedError with RefusedStale
	// means that the store has compacted the changes after that version: the
	// caller must read the whole table.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// ScanAll reads all rows of a table in one partition, page by page. The version
// is that of the first page: changes after it may be missing from the rows.
func ScanAll(ctx context.Context, store Store, table, partition string) (Page, error) {
	return ScanRange(ctx, store, table, partition, "", "")
}

// ScanRange is like ScanAll for the rows with from <= key < to.
func ScanRange(ctx context.Context, store Store, table, partition, from, to string) (Page, error) {
	whole := Page{}
	for {
		page, err := store.Range(ctx, table, partition, from, to, 0)
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
		next := page.Rows[len(page.Rows)-1].Key + "\x00"
		if next <= from {
			// The key is not as it is stored: bytes that are not valid UTF-8 are replaced on
			// the wire. The same rows would be read again without end.
			return whole, nil
		}
		from = next
	}
}

// WorkerEntry is a worker's entry in the platform's directory.
type WorkerEntry struct {
	// ID identifies one boot of the worker, unless the worker restarted under the
	// same ID; see Boot.
	ID      string
	Pool    string
	Address string
	// DataCentre is where the worker runs.
	DataCentre string
	Draining   bool
	// Remaining is the minimum time until a draining worker leaves.
	Remaining time.Duration
	// Evacuating is set while the operators have the worker's data centre evacuated.
	Evacuating bool
	// WarmUp is how much longer the worker runs slowly after its start.
	WarmUp   time.Duration
	Capacity job.Resources
	Labels   []string
	// Rack is one of the labels.
	Rack string
	// Boot is the worker's incarnation number; it differs after every start.
	Boot int64
}

// StartRequest asks a worker to run an attempt of a task.
type StartRequest struct {
	Task       string
	Attempt    int
	Payload    string
	Checkpoint string
	Ticket     string
	Epoch      int64
	// NotAfterMS is the time on the worker's clock, in milliseconds, after which it
	// must refuse the request.
	NotAfterMS int64
}

// RunningTask is an attempt that a worker lists as running.
type RunningTask struct {
	Task       string
	Attempt    int
	Checkpoint string
	// Percent is the progress; a service task is serving at 100.
	Percent int
	// Measurement is the tail latency in milliseconds for a service task, and the
	// processor usage in thousandths of a processor for other tasks.
	Measurement float64
}

// EndReason is why an attempt ended.
type EndReason string

// Reasons for the end of an attempt.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken means that another task of the gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangTimeout means that the other tasks of the gang did not start in time.
	EndGangTimeout EndReason = "alone"
)

// EndedTask is an attempt that a worker lists as ended.
type EndedTask struct {
	// Sequence increases with every end within one boot of the worker.
	Sequence   int64
	Task       string
	Attempt    int
	Reason     EndReason
	Checkpoint string
}

// Listing is a worker's report of its running attempts and of the ended attempts
// that were not acknowledged.
type Listing struct {
	ClockMS int64
	Boot    int64
	Running []RunningTask
	Ended   []EndedTask
	// MoreEnds is set if the worker may have further ends, which it lists once these are
	// acknowledged.
	MoreEnds bool
}

// ListRequest asks a worker for a listing, renews its lease and acknowledges
// ended attempts.
type ListRequest struct {
	Epoch int64
	// LeaseUntilMS is the end of the lease on the worker's clock, in milliseconds;
	// zero does not renew the lease.
	LeaseUntilMS int64
	// Acknowledge lets the worker discard ended attempts up to this sequence
	// number.
	Acknowledge int64
	// Wait is how long the worker may hold the response until an attempt ends.
	Wait time.Duration
}

// Target addresses one boot of a worker.
type Target struct {
	ID      string
	Address string
}

// Workers sends requests to workers. Its methods return a *RefusedError or an
// *UnansweredError.
type Workers interface {
	// Start runs an attempt and returns the worker's clock in milliseconds.
	Start(ctx context.Context, to Target, req StartRequest) (int64, error)
	Stop(ctx context.Context, to Target, task string, attempt int, epoch int64) error
	List(ctx context.Context, to Target, req ListRequest) (Listing, error)
	// Throttle limits an attempt to a percentage of its processors.
	Throttle(ctx context.Context, to Target, task string, attempt int, epoch int64, percent int) error
}

// Directory lists the workers, with the evacuations in force. Implementations skip
// and report entries that cannot be decoded.
type Directory interface {
	List(ctx context.Context) ([]WorkerEntry, error)
}

// Advisor selects the workers that may run a step, for queues that are
// configured with an advisor.
type Advisor interface {
	// Advise returns the tickets, by worker ID, of the workers that may run the
	// step. It takes a fixed time and an additional time for each worker, and calls
	// are served one at a time. It returns a *RefusedError or an *UnansweredError.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, error)
}

// Machines reports the state of the VMs that workers run on.
type Machines interface {
	// Alive returns the IDs of the workers whose VMs are up. A worker that is
	// missing has ended, or started only recently.
	Alive(ctx context.Context) (map[string]bool, error)
}

// Refusal is the reason why a worker or the store refused a request.
type Refusal string

// Reasons for a refusal.
const (
	// RefusedEpoch means that the worker has seen a higher epoch.
	RefusedEpoch Refusal = "epoch"
	// RefusedStale means that the attempt is not higher than one that ended on the
	// worker, or that the store has compacted the changes that were asked for.
	RefusedStale Refusal = "old"
	// RefusedExpired means that the request arrived after its NotAfterMS.
	RefusedExpired Refusal = "late"
	// RefusedCapacity means that the worker lacks the resources for the task.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the ticket is missing or not valid.
	RefusedTicket Refusal = "ticket"
	// RefusedIncarnation means that another boot of the worker answered.
	RefusedIncarnation Refusal = "life"
	// RefusedBusy means that nothing was done; the request may be retried.
	RefusedBusy Refusal = "busy"
	// RefusedRateLimit means that nothing was done because of the rate of calls.
	RefusedRateLimit Refusal = "rate"
	// RefusedInvalid means that the request is invalid.
	RefusedInvalid Refusal = "invalid"
)

// RefusedError reports a request that was not carried out.
type RefusedError struct {
	Op     string
	Reason Refusal
	// ClockMS is the worker's clock in milliseconds; zero if the response had none.
	ClockMS int64
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("%s refused: %s", e.Op, e.Reason) }

// UnansweredError reports a request without a response. It may have been carried
// out, or may still be, unless NotSent is set.
type UnansweredError struct {
	Op      string
	NotSent bool
	Err     error
}

// Error implements error.
func (e *UnansweredError) Error() string { return fmt.Sprintf("%s got no response: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Err }

// ConflictError reports a transaction with a failed check; nothing was written.
type ConflictError struct {
	// Rows are the current values of the checked rows.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflicts on %d checked rows", len(e.Rows))
}

// Route maps requests to a queue.
type Route struct {
	Queue job.Queue
	// Host and Prefix match a request; the longest prefix takes precedence.
	Host    string
	Prefix  string
	Timeout time.Duration
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version int64
	Routes  []Route
	Limits  Limits
	// Body is the encoded configuration, as stored.
	Body []byte
	// GzipBody is the body in gzip; nil if it is small.
	GzipBody []byte
	// StoredVersion is the version of the row that the configuration was read
	// from; zero if it is not known.
	StoredVersion int64
}

// ConfigSource reads the operators' configuration.
type ConfigSource interface {
	// Read returns the newest configuration, or nil if there is none yet. Given a
	// known configuration, it may check only whether that is still the newest, and
	// return it.
	Read(ctx context.Context, known *Config) (*Config, error)
	// Decode decodes a body that another daemon has sent.
	Decode(body []byte) (*Config, error)
}
