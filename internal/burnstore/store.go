// Package burnstore persists burn counts in the object store, so that a report
// covers all daemons, including those that have stopped.
//
// Each daemon writes one object for each hour with its counts of that hour, and
// overwrites it when they change; a row of the table names the object. Writes are
// idempotent, so a write whose reply is lost is simply repeated.
package burnstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/platform"
)

const (
	// recorderRetention is how long the counts of an hour stay in memory after
	// they are stored.
	recorderRetention = 8 * time.Hour
	// reportRetention is the age up to which hours are included in a report.
	reportRetention = 73 * time.Hour
	// maxRows bounds the number of rows of one scan.
	maxRows = 10_000
)

// Options are the settings of a Store.
type Options struct {
	Table    platform.Table
	Objects  platform.ObjectStore
	Recorder *burn.Recorder
	// Instance is unique for every incarnation of a daemon.
	Instance string
	Now      func() time.Time
}

// Store writes and reads burn counts. It is safe for concurrent use.
type Store struct {
	opts Options

	mu            sync.Mutex
	storedDigests map[int64]string // digest of the stored counts by start of the hour, in seconds since 1970 UTC
}

// NewStore returns a store whose first Flush writes every hour in the recorder.
func NewStore(opts Options) *Store {
	return &Store{opts: opts, storedDigests: map[int64]string{}}
}

// indexEntry is the value of a table row; it names an object with counts of one
// hour.
type indexEntry struct {
	Object string `json:"object"`
}

// Flush stores the hours whose counts have changed since they were last stored,
// and then drops the hours past recorderRetention from memory.
func (s *Store) Flush(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Recorder.Compact(s.opts.Now())
	ledger := s.opts.Recorder.Snapshot()
	for _, hour := range ledger.Hours() {
		if err := s.flushHour(ctx, hour, ledger.Hour(hour)); err != nil {
			return err
		}
	}
	s.dropBefore(s.opts.Now().Add(-recorderRetention).Truncate(time.Hour))
	return nil
}

// flushHour stores the counts of one hour if they have changed. The caller must
// hold s.mu.
func (s *Store) flushHour(ctx context.Context, hour time.Time, ledger *burn.Ledger) error {
	body, err := ledger.Encode()
	if err != nil {
		return err
	}
	digest := document.Digest(body)
	before, indexed := s.storedDigests[hour.Unix()]
	if before == digest {
		return nil
	}
	object := fmt.Sprintf("burn-%d-%s", hour.Unix(), s.opts.Instance)
	if err := s.opts.Objects.Put(ctx, object, body); err != nil {
		return err
	}
	if !indexed {
		if err := s.writeIndexEntry(ctx, hour.Unix(), s.opts.Instance, object); err != nil {
			return err
		}
	}
	s.storedDigests[hour.Unix()] = digest
	return nil
}

// writeIndexEntry writes the row that names the object of an hour.
func (s *Store) writeIndexEntry(ctx context.Context, hour int64, instance, object string) error {
	value, err := json.Marshal(indexEntry{Object: object})
	if err != nil {
		return err
	}
	_, err = s.opts.Table.Commit(ctx, platform.Txn{
		Puts: []platform.Put{{Key: platform.BurnKey(hour, instance), Value: value}},
	})
	return err
}

// dropBefore removes the hours before a time, which are stored, from memory. The
// caller must hold s.mu.
func (s *Store) dropBefore(before time.Time) {
	s.opts.Recorder.DropBefore(before)
	for hour := range s.storedDigests {
		if hour < before.Unix() {
			delete(s.storedDigests, hour)
		}
	}
}

// Load returns the merged counts of all daemons. Hours that this daemon still has
// in memory include its counts that are not yet stored.
func (s *Store) Load(ctx context.Context) (*burn.Ledger, error) {
	rows, err := s.opts.Table.Scan(ctx, platform.BurnPrefix, "", maxRows)
	if err != nil {
		return nil, err
	}
	now := s.opts.Now()
	own := s.opts.Recorder.Snapshot()
	inMemory := map[int64]bool{}
	for _, hour := range own.Hours() {
		inMemory[hour.Unix()] = true
	}
	for _, row := range rows {
		hour, instance, ok := parseKey(row.Key)
		expired := now.Sub(time.Unix(hour, 0)) > reportRetention
		if !ok || expired || (instance == s.opts.Instance && inMemory[hour]) {
			continue
		}
		if err := s.mergeObject(ctx, own, row); err != nil {
			return nil, err
		}
	}
	own.Compact(now)
	return own, nil
}

// mergeObject adds the counts of the object that row names to into. A missing
// object is skipped.
func (s *Store) mergeObject(ctx context.Context, into *burn.Ledger, row platform.Row) error {
	var entry indexEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return err
	}
	body, err := s.opts.Objects.Get(ctx, entry.Object)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return nil // rolled up after the rows were read; the next report includes it
	}
	if err != nil {
		return err
	}
	ledger, err := burn.Decode(body)
	if err != nil {
		return err
	}
	into.Merge(ledger)
	return nil
}

// parseKey returns the hour, in seconds since 1970 UTC, and the instance that a
// row's key names; ok is false if the key is malformed.
func parseKey(key string) (hour int64, instance string, ok bool) {
	text, instance, found := strings.Cut(strings.TrimPrefix(key, platform.BurnPrefix), "/")
	if !found {
		return 0, "", false
	}
	_, err := fmt.Sscanf(text, "%d", &hour)
	return hour, instance, err == nil
}
