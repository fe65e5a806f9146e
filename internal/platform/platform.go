// Package platform defines the interfaces of the platform: a transactional table
// service, an object store, an eventually consistent list of VMs, and workers
// that run tasks under leases. It also has the clients for their protocols, so
// that a protocol change affects no other package.
package platform

import (
	"context"
	"fmt"
	"strings"

	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/verdict"
)

// Version is the commit version of a row in the table service. Zero means that
// the row does not exist.
type Version int64

// Row is one row of the table service.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
}

// Check is a precondition of a transaction: the row has this version at the
// commit.
type Check struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction; it is applied atomically.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the transactional table service. Its errors are *ConflictError (from
// Commit only) and *UnavailableError.
type Table interface {
	// Get returns a row for each key; missing rows have version zero.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys begin with prefix and sort after
	// the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the version of the rows it wrote.
	Commit(ctx context.Context, txn Txn) (Version, error)
}

// ObjectStore stores large values. Its errors are *NotFoundError and
// *UnavailableError.
type ObjectStore interface {
	Put(ctx context.Context, key string, body []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMStatus is one entry of the platform's list, which may be out of date.
type VMStatus struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// VMList lists the live and leaving VMs.
type VMList interface {
	List(ctx context.Context) ([]VMStatus, error)
}

// StartRequest asks a worker to run a task under a lease.
type StartRequest struct {
	Shard string `json:"shard"`
	// Epoch fences requests of former owners of the shard.
	Epoch   int64  `json:"epoch"`
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	// StartByUnixMS is the time after which the worker must refuse the request.
	StartByUnixMS int64 `json:"start_by_unix_ms"`
	// LeaseUntilUnixMS is when the lease expires and the worker must stop the task,
	// unless it has been renewed.
	LeaseUntilUnixMS int64               `json:"lease_until_unix_ms"`
	Resources        inventory.Resources `json:"resources"`
	Checkpoint       string              `json:"checkpoint,omitempty"`
	Payload          string              `json:"payload,omitempty"`
}

// ExchangeRequest renews the leases of a shard on a worker and acknowledges ended tasks.
type ExchangeRequest struct {
	Shard            string `json:"shard"`
	Epoch            int64  `json:"epoch"`
	LeaseUntilUnixMS int64  `json:"lease_until_unix_ms"`
	// Renew lists the leases to renew until LeaseUntilUnixMS; others expire when
	// due.
	Renew []LeaseRef `json:"renew,omitempty"`
	// Acknowledge lists ended leases that the worker may delete.
	Acknowledge []LeaseRef `json:"acknowledge,omitempty"`
}

// LeaseRef identifies a lease: one attempt of a task.
type LeaseRef struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// LeaseState is the state of a lease as its worker reports it.
type LeaseState string

// States of a lease at a worker.
const (
	LeaseRunning  LeaseState = "running"
	LeaseFinished LeaseState = "finished"
	LeaseFailed   LeaseState = "failed"
	LeaseStopped  LeaseState = "stopped"
	LeaseExpired  LeaseState = "lapsed"
)

// Lease is a worker's report on one lease.
type Lease struct {
	LeaseRef
	State      LeaseState `json:"state"`
	Checkpoint string     `json:"checkpoint,omitempty"`
	Reason     string     `json:"reason,omitempty"`
	// Usage is the task's resource usage at the last measurement.
	Usage inventory.Resources `json:"usage"`
	// RanMS is how long the attempt has run, in milliseconds.
	RanMS int64 `json:"ran_ms"`
}

// ExchangeReply is a worker's report on all its leases of a shard.
type ExchangeReply struct {
	Leases []Lease `json:"leases"`
	// MeasuredUnixMS is when the usage was measured.
	MeasuredUnixMS int64 `json:"measured_unix_ms"`
}

// StopRequest asks a worker to stop a task, after a checkpoint if Checkpoint is
// set.
type StopRequest struct {
	Shard      string `json:"shard"`
	Epoch      int64  `json:"epoch"`
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Checkpoint bool   `json:"checkpoint,omitempty"`
}

// ThrottleRequest asks a worker to limit the processor time of a task.
type ThrottleRequest struct {
	Shard   string `json:"shard"`
	Epoch   int64  `json:"epoch"`
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	// PerMille is the share of its processors that the task may use, in thousandths.
	PerMille int `json:"per_mille"`
}

// Worker runs tasks under leases on one VM. Its errors are *RefusedError, when the
// worker refused the request, and *UnavailableError.
type Worker interface {
	Start(ctx context.Context, request StartRequest) error
	Stop(ctx context.Context, request StopRequest) error
	Throttle(ctx context.Context, request ThrottleRequest) error
	Exchange(ctx context.Context, request ExchangeRequest) (ExchangeReply, error)
}

// Workers returns the worker at an IP address and port.
type Workers func(address string) Worker

// ConflictError reports a transaction that was not applied because the checks of
// some rows failed.
type ConflictError struct{ Keys []string }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflicts on rows %s", strings.Join(e.Keys, ", "))
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", e.Key) }

// RefusedError reports a request that a worker refused and did not execute.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the request: %s", e.Reason) }

// UnavailableError reports an operation without a usable response.
type UnavailableError struct {
	Op string
	// Verdict is NotRun when the operation cannot have taken effect.
	Verdict verdict.Verdict
	Err     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform operation %q is unavailable (%s): %v", e.Op, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
