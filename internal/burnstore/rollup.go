package burnstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/platform"
)

const (
	// rollUpAge is the age past which no daemon writes an hour any more; it
	// exceeds recorderRetention.
	rollUpAge = 9 * time.Hour
	// rollUpInstance takes the place of the instance in the key of the row that
	// names an hour's counts of all daemons.
	rollUpInstance = "all"
)

// RollUp merges the objects of each old hour into one and deletes hours that no
// report includes. Several daemons may run it concurrently: the transaction checks
// that the rows are unchanged since they were read, and a conflict is ignored.
func (s *Store) RollUp(ctx context.Context) error {
	rows, err := s.opts.Table.Scan(ctx, platform.BurnPrefix, "", maxRows)
	if err != nil {
		return err
	}
	now := s.opts.Now()
	for _, group := range groupByHour(rows) {
		age := now.Sub(time.Unix(group.hour, 0))
		switch {
		case age > reportRetention+time.Hour:
			err = s.deleteRows(ctx, group.rows)
		case age > rollUpAge && !group.isRolledUp():
			err = s.rollUpHour(ctx, group)
		}
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	return nil
}

// hourRows are the rows of one hour, given in seconds since 1970 UTC.
type hourRows struct {
	hour int64
	rows []platform.Row
}

// isRolledUp reports whether one object already holds the counts of all daemons.
func (h hourRows) isRolledUp() bool {
	return len(h.rows) == 1 && h.rows[0].Key == platform.BurnKey(h.hour, rollUpInstance)
}

// groupByHour groups rows by hour; rows must be in the order of their keys. It
// skips rows with malformed keys.
func groupByHour(rows []platform.Row) []hourRows {
	var groups []hourRows
	for _, row := range rows {
		hour, _, ok := parseKey(row.Key)
		if !ok {
			continue
		}
		if len(groups) == 0 || groups[len(groups)-1].hour != hour {
			groups = append(groups, hourRows{hour: hour})
		}
		last := &groups[len(groups)-1]
		last.rows = append(last.rows, row)
	}
	return groups
}

// rollUpHour merges the objects of an hour into one, replaces the rows in one
// transaction and then deletes the old objects.
func (s *Store) rollUpHour(ctx context.Context, group hourRows) error {
	sum := burn.NewLedger()
	for _, row := range group.rows {
		if err := s.mergeObject(ctx, sum, row); err != nil {
			return err
		}
	}
	sum.Compact(s.opts.Now())
	body, err := sum.Encode()
	if err != nil {
		return err
	}
	object := fmt.Sprintf("burn-%d-%s-%s", group.hour, rollUpInstance, document.Digest(body))
	if err := s.opts.Objects.Put(ctx, object, body); err != nil {
		return err
	}
	value, err := json.Marshal(indexEntry{Object: object})
	if err != nil {
		return err
	}
	key := platform.BurnKey(group.hour, rollUpInstance)
	txn := platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}}
	for _, row := range group.rows {
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
		if row.Key != key {
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if _, err := s.opts.Table.Commit(ctx, txn); err != nil {
		return err
	}
	return s.deleteObjects(ctx, group.rows, object)
}

// deleteRows deletes rows that are unchanged since they were read, and then their
// objects.
func (s *Store) deleteRows(ctx context.Context, rows []platform.Row) error {
	var txn platform.Txn
	for _, row := range rows {
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	if _, err := s.opts.Table.Commit(ctx, txn); err != nil {
		return err
	}
	return s.deleteObjects(ctx, rows, "")
}

// deleteObjects deletes the objects that rows name, except keep.
func (s *Store) deleteObjects(ctx context.Context, rows []platform.Row, keep string) error {
	for _, row := range rows {
		var entry indexEntry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return err
		}
		if entry.Object == keep {
			continue
		}
		if err := s.opts.Objects.Delete(ctx, entry.Object); err != nil {
			return err
		}
	}
	return nil
}
