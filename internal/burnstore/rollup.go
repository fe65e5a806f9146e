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
	// rollUpAge is the age past which no daemon writes an hour any more.
	rollUpAge = 9 * time.Hour
	// rolledUp is the part that holds an hour's counts of all daemons.
	rolledUp = "all"
)

// RollUp replaces the parts of each old hour by one and deletes hours that no
// report reaches. Two daemons may do it at the same time: the transaction
// checks that the rows are still those that were read.
func (s *Store) RollUp(ctx context.Context) error {
	rows, err := s.opts.Table.Scan(ctx, platform.BurnPrefix, "", maxRows)
	if err != nil {
		return err
	}
	now := s.opts.Now()
	for _, group := range byHour(rows) {
		age := now.Sub(time.Unix(group.hour, 0))
		switch {
		case age > reportKept+time.Hour:
			err = s.remove(ctx, group.rows)
		case age > rollUpAge && !group.done():
			err = s.rollUpHour(ctx, group)
		}
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	return nil
}

type hourRows struct {
	hour int64
	rows []platform.Row
}

// done reports whether one part holds the whole hour.
func (h hourRows) done() bool {
	return len(h.rows) == 1 && h.rows[0].Key == platform.BurnKey(h.hour, rolledUp)
}

// byHour groups rows, which are in the order of their keys.
func byHour(rows []platform.Row) []hourRows {
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

func (s *Store) rollUpHour(ctx context.Context, group hourRows) error {
	sum := burn.NewLedger()
	for _, row := range group.rows {
		if err := s.merge(ctx, sum, row); err != nil {
			return err
		}
	}
	sum.Compact(s.opts.Now())
	body, err := sum.Encode()
	if err != nil {
		return err
	}
	object := fmt.Sprintf("burn-%d-%s-%s", group.hour, rolledUp, document.Digest(body))
	if err := s.opts.Objects.Put(ctx, object, body); err != nil {
		return err
	}
	value, err := json.Marshal(part{Object: object})
	if err != nil {
		return err
	}
	key := platform.BurnKey(group.hour, rolledUp)
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
	return s.removeObjects(ctx, group.rows, object)
}

// remove deletes rows and then their objects.
func (s *Store) remove(ctx context.Context, rows []platform.Row) error {
	var txn platform.Txn
	for _, row := range rows {
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	if _, err := s.opts.Table.Commit(ctx, txn); err != nil {
		return err
	}
	return s.removeObjects(ctx, rows, "")
}

// removeObjects deletes the objects that rows name, but for the one to keep.
func (s *Store) removeObjects(ctx context.Context, rows []platform.Row, keep string) error {
	for _, row := range rows {
		var p part
		if err := json.Unmarshal(row.Value, &p); err != nil {
			return err
		}
		if p.Object == keep {
			continue
		}
		if err := s.opts.Objects.Delete(ctx, p.Object); err != nil {
			return err
		}
	}
	return nil
}
