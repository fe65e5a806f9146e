package fake

import (
	"context"
	"encoding/base64"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// RowStore is an in-memory stand-in for the platform's row store, with
// linearizable transactions within a partition, range reads and a change feed. It
// is safe for concurrent use.
type RowStore struct {
	mu        sync.Mutex
	rows      map[rowKey]port.Row
	version   int64
	changeLog []port.Row // the last change of each row, in commit order
	compacted int64      // changes up to this version are discarded
	commits   int
	fault     func(op string) StoreFault
	onCommit  func(port.Txn)
}

type rowKey struct{ table, partition, key string }

// StoreFault is the fault that is injected into a call of the store.
type StoreFault int

// Faults that can be injected into a call.
const (
	// FaultNone means that the call is served.
	FaultNone StoreFault = iota
	// FaultRefused means that the call has no effect and is refused.
	FaultRefused
	// FaultRequestLost means that the call has no effect and gets no response.
	FaultRequestLost
	// FaultResponseLost means that the call takes effect but gets no response.
	FaultResponseLost
)

var errNoResponse = errors.New("no response")

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{rows: map[rowKey]port.Row{}, fault: func(string) StoreFault { return FaultNone }}
}

// SetFault sets the function that returns the fault of each later call; op is
// "commit", "range" or "changes".
func (s *RowStore) SetFault(fault func(op string) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// OnCommit registers fn to be called for each transaction applied. It is called
// with the store locked and must not call the store.
func (s *RowStore) OnCommit(fn func(port.Txn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCommit = fn
}

// Compact discards the recorded changes, so that Changes refuses earlier versions.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeLog, s.compacted = nil, s.version
}

// Commits returns the number of transactions applied.
func (s *RowStore) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Put writes a row without a check, as the platform and the operators do.
func (s *RowStore) Put(table, partition, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rowKey{table, partition, key}, value)
}

// Rows returns all rows of a table's partition in key order.
func (s *RowStore) Rows(table, partition string) []port.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scan(table, partition, "", "")
}

func (s *RowStore) write(k rowKey, value []byte) {
	row := port.Row{Table: k.table, Partition: k.partition, Key: k.key, Value: slices.Clone(value), Version: s.version}
	s.rows[k] = row
	s.recordChange(row)
}

// recordChange replaces the row's last change in the change log.
func (s *RowStore) recordChange(row port.Row) {
	s.changeLog = slices.DeleteFunc(s.changeLog, func(r port.Row) bool {
		return r.Table == row.Table && r.Partition == row.Partition && r.Key == row.Key
	})
	s.changeLog = append(s.changeLog, row)
}

// begin injects the fault of a call, except FaultResponseLost of a commit, which
// the caller handles.
func (s *RowStore) begin(ctx context.Context, op string) (StoreFault, error) {
	s.mu.Lock()
	fault := s.fault(op)
	s.mu.Unlock()
	switch {
	case fault == FaultRefused:
		return fault, &port.RefusedError{Op: op, Reason: port.RefusedBusy}
	case fault == FaultRequestLost || fault == FaultResponseLost && op != "commit":
		<-ctx.Done()
		return fault, &port.UnansweredError{Op: op, Err: ctx.Err()}
	}
	return fault, ctx.Err()
}

// Commit implements port.Store.
func (s *RowStore) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	fault, err := s.begin(ctx, "commit")
	if err != nil {
		return 0, err
	}
	version, err := s.commit(txn)
	if fault == FaultResponseLost {
		<-ctx.Done()
		return 0, &port.UnansweredError{Op: "commit", Err: errNoResponse}
	}
	return version, err
}

// Limits of a transaction, as on the platform.
const (
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20 // encoded as base64
	maxRowBytes   = 65536
)

// checkLimits returns a *port.RefusedError if a transaction is too large.
func checkLimits(txn port.Txn) error {
	bytes, tooLarge := 0, len(txn.Checks)+len(txn.Puts)+len(txn.Deletes) > maxTxnEntries
	for _, p := range txn.Puts {
		tooLarge = tooLarge || len(p.Value) > maxRowBytes
		bytes += base64.StdEncoding.EncodedLen(len(p.Value))
	}
	if tooLarge || bytes > maxTxnBytes {
		return &port.RefusedError{Op: "commit", Reason: port.RefusedInvalid}
	}
	return nil
}

func (s *RowStore) commit(txn port.Txn) (int64, error) {
	if err := checkLimits(txn); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var found []port.Row
	for _, c := range txn.Checks {
		row := s.rows[rowKey{c.Table, txn.Partition, c.Key}]
		row.Table, row.Partition, row.Key = c.Table, txn.Partition, c.Key
		conflict = conflict || row.Version != c.Version
		found = append(found, row)
	}
	if conflict {
		return 0, &port.ConflictError{Rows: found}
	}
	s.version++
	s.commits++
	for _, p := range txn.Puts {
		s.write(rowKey{p.Table, txn.Partition, p.Key}, p.Value)
	}
	for _, d := range txn.Deletes {
		delete(s.rows, rowKey{d.Table, txn.Partition, d.Key})
		s.recordChange(port.Row{Table: d.Table, Partition: txn.Partition, Key: d.Key})
	}
	if s.onCommit != nil {
		s.onCommit(txn)
	}
	return s.version, nil
}

// rowsPerPage is small so that tests exercise paging.
const rowsPerPage = 7

// Range implements port.Store.
func (s *RowStore) Range(ctx context.Context, table, partition, from, to string, limit int) (port.Page, error) {
	if _, err := s.begin(ctx, "range"); err != nil {
		return port.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.scan(table, partition, from, to)
	if limit <= 0 || limit > rowsPerPage {
		limit = rowsPerPage
	}
	page := port.Page{Rows: rows, Version: s.version}
	if len(rows) > limit {
		page.Rows, page.More = rows[:limit], true
	}
	return page, nil
}

// scan returns the rows whose keys are in [from, to), in key order. An empty to
// means no upper bound. The caller must hold s.mu.
func (s *RowStore) scan(table, partition, from, to string) []port.Row {
	var rows []port.Row
	for k, row := range s.rows {
		if k.table == table && k.partition == partition && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b port.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// Changes implements port.Store. It returns at once instead of waiting.
func (s *RowStore) Changes(ctx context.Context, table string, after int64, _ time.Duration) (port.Page, error) {
	if _, err := s.begin(ctx, "changes"); err != nil {
		return port.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return port.Page{}, &port.RefusedError{Op: "changes", Reason: port.RefusedStale}
	}
	page := port.Page{Version: s.version}
	for _, row := range s.changeLog {
		if row.Table == table && (row.Version > after || row.Version == 0) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}
