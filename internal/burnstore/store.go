// Package burnstore keeps burn counts in the object store, so that a report
// covers all daemons and outlives each of them.
//
// A daemon overwrites one object for each hour with its counts of that hour;
// a row of the table names the object. Writing the same counts twice is
// harmless, so lost replies need no care.
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
	// recorderKept is how long counts stay in memory once they are stored.
	recorderKept = 8 * time.Hour
	// reportKept is how far back a report reaches.
	reportKept = 73 * time.Hour
	// maxRows bounds one scan of the rows.
	maxRows = 10_000
)

// Options are the settings of a Store.
type Options struct {
	Table    platform.Table
	Objects  platform.ObjectStore
	Recorder *burn.Recorder
	// Instance is unique for every start of a daemon.
	Instance string
	Now      func() time.Time
}

// Store writes and reads burn counts. It is safe for concurrent use.
type Store struct {
	opts Options

	mu      sync.Mutex
	written map[int64]string // digest of each hour's counts in the store
}

// NewStore returns a store that has written nothing.
func NewStore(opts Options) *Store {
	return &Store{opts: opts, written: map[int64]string{}}
}

// part is the row that names an object with counts of one hour.
type part struct {
	Object string `json:"object"`
}

// Flush stores the hours whose counts have changed.
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
	s.forget(s.opts.Now().Add(-recorderKept).Truncate(time.Hour))
	return nil
}

func (s *Store) flushHour(ctx context.Context, hour time.Time, ledger *burn.Ledger) error {
	body, err := ledger.Encode()
	if err != nil {
		return err
	}
	digest := document.Digest(body)
	before, indexed := s.written[hour.Unix()]
	if before == digest {
		return nil
	}
	object := fmt.Sprintf("burn-%d-%s", hour.Unix(), s.opts.Instance)
	if err := s.opts.Objects.Put(ctx, object, body); err != nil {
		return err
	}
	if !indexed {
		if err := s.index(ctx, hour.Unix(), s.opts.Instance, object); err != nil {
			return err
		}
	}
	s.written[hour.Unix()] = digest
	return nil
}

func (s *Store) index(ctx context.Context, hour int64, name, object string) error {
	value, err := json.Marshal(part{Object: object})
	if err != nil {
		return err
	}
	_, err = s.opts.Table.Commit(ctx, platform.Txn{
		Puts: []platform.Put{{Key: platform.BurnKey(hour, name), Value: value}},
	})
	return err
}

// forget drops what is stored and old from memory.
func (s *Store) forget(before time.Time) {
	s.opts.Recorder.DropBefore(before)
	for hour := range s.written {
		if hour < before.Unix() {
			delete(s.written, hour)
		}
	}
}

// Load merges the counts of all daemons; this daemon's own are up to date.
func (s *Store) Load(ctx context.Context) (*burn.Ledger, error) {
	rows, err := s.opts.Table.Scan(ctx, platform.BurnPrefix, "", maxRows)
	if err != nil {
		return nil, err
	}
	now := s.opts.Now()
	own := s.opts.Recorder.Snapshot()
	live := map[int64]bool{}
	for _, hour := range own.Hours() {
		live[hour.Unix()] = true
	}
	for _, row := range rows {
		hour, name, ok := parseKey(row.Key)
		old := now.Sub(time.Unix(hour, 0)) > reportKept
		if !ok || old || (name == s.opts.Instance && live[hour]) {
			continue
		}
		if err := s.merge(ctx, own, row); err != nil {
			return nil, err
		}
	}
	own.Compact(now)
	return own, nil
}

func (s *Store) merge(ctx context.Context, into *burn.Ledger, row platform.Row) error {
	var p part
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return err
	}
	body, err := s.opts.Objects.Get(ctx, p.Object)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return nil // rolled up since the rows were read; the next report has it
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

// parseKey returns the hour and the part that a row's key names.
func parseKey(key string) (hour int64, name string, ok bool) {
	text, name, found := strings.Cut(strings.TrimPrefix(key, platform.BurnPrefix), "/")
	if !found {
		return 0, "", false
	}
	_, err := fmt.Sscanf(text, "%d", &hour)
	return hour, name, err == nil
}
