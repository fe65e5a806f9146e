// Package platform defines what the platform gives: a transactional table
// service, an object store, a lagging list of VMs, and workers that run tasks
// under leases. Clients for its protocols are in this package too, so that a
// change of protocol touches nothing else.
package platform

import (
	"context"
	"fmt"
	"strings"

	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/verdict"
)

// Version numbers the commits of the table service. Zero means that a row
// does not exist.
type Version int64

// Row is one row of the table service.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
}

// Check demands that a row has a version when a transaction commits.
type Check struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is applied whole or not at all.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the transactional table service. Errors are *ConflictError or
// *UnavailableError.
type Table interface {
	// Get returns a row for each key; missing rows have version zero.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys begin with prefix and sort after
	// the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the version of the rows it wrote.
	Commit(ctx context.Context, txn Txn) (Version, error)
}

// ObjectStore keeps large values. Errors are *NotFoundError or *UnavailableError.
type ObjectStore interface {
	Put(ctx context.Context, key string, body []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// VMState is the platform's word on a VM.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMStatus is one entry of the platform's list, which lags.
type VMStatus struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// VMList lists the live and leaving VMs.
type VMList interface {
	List(ctx context.Context) ([]VMStatus, error)
}

// StartRequest tells a worker to run a task under a lease.
type StartRequest struct {
	Shard string `json:"shard"`
	// Epoch fences orders of former owners of the shard.
	Epoch   int64  `json:"epoch"`
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	// StartByUnixMS is the time past which the worker must refuse the order.
	StartByUnixMS int64 `json:"start_by_unix_ms"`
	// LeaseUntilUnixMS is when the worker must stop the task unless renewed.
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
	// Renew lists the leases to renew; others run out.
	Renew []LeaseRef `json:"renew,omitempty"`
	// Acknowledge lists ended leases that the worker may forget.
	Acknowledge []LeaseRef `json:"acknowledge,omitempty"`
}

// LeaseRef names a lease: one attempt of a task.
type LeaseRef struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// LeaseState is what a worker says of a lease.
type LeaseState string

// States of a lease at a worker.
const (
	LeaseRunning  LeaseState = "running"
	LeaseFinished LeaseState = "finished"
	LeaseFailed   LeaseState = "failed"
	LeaseStopped  LeaseState = "stopped"
	LeaseExpired  LeaseState = "lapsed"
)

// Lease is a worker's word on one lease.
type Lease struct {
	LeaseRef
	State      LeaseState `json:"state"`
	Checkpoint string     `json:"checkpoint,omitempty"`
	Reason     string     `json:"reason,omitempty"`
	// Usage is what the task used when it was last measured.
	Usage inventory.Resources `json:"usage"`
	// RanMS is how long the attempt has run, in milliseconds.
	RanMS int64 `json:"ran_ms"`
}

// ExchangeReply is a worker's word on all leases of a shard.
type ExchangeReply struct {
	Leases []Lease `json:"leases"`
	// MeasuredUnixMS is when the usage was measured.
	MeasuredUnixMS int64 `json:"measured_unix_ms"`
}

// StopRequest tells a worker to stop a task, with a checkpoint if asked.
type StopRequest struct {
	Shard      string `json:"shard"`
	Epoch      int64  `json:"epoch"`
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Checkpoint bool   `json:"checkpoint,omitempty"`
}

// ThrottleRequest limits the processor time of a task.
type ThrottleRequest struct {
	Shard   string `json:"shard"`
	Epoch   int64  `json:"epoch"`
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	// PerMille is the share of the task's processors that it may use, in thousandths.
	PerMille int `json:"per_mille"`
}

// Worker runs tasks under leases on one VM. Errors are *RefusedError when the
// worker refused the order, or *UnavailableError.
type Worker interface {
	Start(ctx context.Context, order StartRequest) error
	Stop(ctx context.Context, order StopRequest) error
	Throttle(ctx context.Context, order ThrottleRequest) error
	Exchange(ctx context.Context, exchange ExchangeRequest) (ExchangeReply, error)
}

// Workers returns the worker at an IP address and port.
type Workers func(address string) Worker

// ConflictError reports the rows whose checks failed; nothing was written.
type ConflictError struct{ Keys []string }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflicts on rows %s", strings.Join(e.Keys, ", "))
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", e.Key) }

// RefusedError reports an order that a worker refused and did not carry out.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the order: %s", e.Reason) }

// UnavailableError reports an operation that got no answer.
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
