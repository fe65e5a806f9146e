package cell

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

// ownerRecord is the value of the row that says who owns the cell.
type ownerRecord struct {
	Epoch   int64  `json:"epoch"`
	Name    string `json:"name"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
	// Beat rises with every commit of the owner, and tells its commits apart.
	Beat int64 `json:"beat"`
	// Released is set when the owner has given the cell up.
	Released bool `json:"released,omitempty"`
}

// Times of a take-over. The owner renews its row every renewInterval.
const (
	renewInterval = 400 * time.Millisecond
	// staleAfter is how long an unreachable owner's row must stay unchanged:
	// three renewals and a slow store's answer.
	staleAfter = 1500 * time.Millisecond
	// silentAfter applies while the owner is reachable but cannot commit.
	silentAfter = 2500 * time.Millisecond
	ownerPoll   = 200 * time.Millisecond
	// calmPoll is the pace of reads while the owner is in touch.
	calmPoll = 3 * time.Second
	// claimSpread keeps daemons from claiming at the same moment.
	claimSpread = 60 * time.Millisecond
	// claimPerRoundTrip lets daemons near the store claim first.
	claimPerRoundTrip = 4
)

// watchOwner reads the ownership row as often as needed and claims the cell
// when it has no owner.
func (c *Cell) watchOwner(now time.Time) {
	if c.tenure != nil {
		c.claimAt = time.Time{}
		return
	}
	poll := ownerPoll
	if c.link.healthy(now) && !c.link.ownerTroubled && c.link.ownerVersion <= c.configVersion() {
		poll = calmPoll
	}
	if !c.reading && now.Sub(c.readTried) >= poll {
		c.readOwner(now)
	}
	if c.stopping || !c.vacant(now) {
		c.claimAt = time.Time{}
		return
	}
	if c.claimAt.IsZero() {
		delay := time.Duration(c.Random()*float64(claimSpread)) + claimPerRoundTrip*c.roundTrip
		c.claimAt = now.Add(delay)
	}
	if !c.claiming && !now.Before(c.claimAt) {
		c.claim()
	}
}

// vacant reports whether the cell needs a new owner, by what was last read.
func (c *Cell) vacant(now time.Time) bool {
	if c.ownerSince.IsZero() || now.Sub(c.storeOK) > storeAway {
		return false
	}
	switch {
	case c.ownerRow == 0, c.owner.Released:
		return true
	case c.owner.Name == c.Self.Name:
		return true // an earlier start of this daemon
	}
	unchanged := c.readAt.Sub(c.ownerSince)
	if c.link.healthy(now) {
		return c.link.ownerTroubled && unchanged >= silentAfter
	}
	return unchanged >= staleAfter
}

func (c *Cell) readOwner(now time.Time) {
	c.reading, c.readTried = true, now
	control.Async(c.Loop, func(ctx context.Context) (port.Page, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return c.Store.Range(ctx, tableOwners, c.Partition, ownerKey, ownerKey+"\x00", 1)
	}, func(page port.Page, err error) {
		c.reading = false
		done := c.Now()
		c.storeAnswered(err, done)
		if err != nil {
			return
		}
		if took := done.Sub(now); c.roundTrip == 0 || took < c.roundTrip {
			c.roundTrip = took
		}
		c.readAt = now
		row := port.Row{}
		if len(page.Rows) > 0 {
			row = page.Rows[0]
		}
		c.seeOwner(row, now)
	})
}

// seeOwner takes in the ownership row as it was at a time. Versions only rise.
func (c *Cell) seeOwner(row port.Row, at time.Time) {
	if c.tenure != nil || row.Version < c.ownerRow {
		return
	}
	if row.Version == c.ownerRow && !c.ownerSince.IsZero() {
		return
	}
	var record ownerRecord
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			c.Log.WithFields(log.Fields{"event": "owner_row_unreadable", "version": row.Version}).WithError(err).Error("ownership")
			return
		}
	}
	if record.Epoch != c.owner.Epoch || record.Boot != c.owner.Boot {
		c.link.reset()
		c.Log.WithFields(log.Fields{"event": "owner_seen", "owner": record.Name, "epoch": record.Epoch}).Info("cell")
	}
	c.owner, c.ownerRow, c.ownerSince = record, row.Version, at
}

// claim makes this daemon the owner, on condition that the row is unchanged.
func (c *Cell) claim() {
	c.claiming = true
	was := c.owner
	record := ownerRecord{Epoch: was.Epoch + 1, Name: c.Self.Name, Boot: c.Self.Boot, Address: c.Self.Address, Beat: was.Beat + 1}
	version := c.ownerRow
	control.Async(c.Loop, func(ctx context.Context) (int64, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return c.Store.Commit(ctx, ownerTxn(c.Partition, version, record))
	}, func(committed int64, err error) {
		c.claiming = false
		c.claimAt = time.Time{}
		now := c.Now()
		if err != nil {
			c.claimFailed(err, record, now)
			return
		}
		c.storeAnswered(nil, now)
		c.own(record, committed, now)
	})
}

// claimFailed looks at why a claim was not confirmed: an earlier one without a
// response may have succeeded.
func (c *Cell) claimFailed(err error, record ownerRecord, now time.Time) {
	conflict, ok := err.(*port.ConflictError)
	if !ok {
		c.storeAnswered(err, now)
		return
	}
	c.storeAnswered(nil, now)
	row := findRow(conflict.Rows, tableOwners, ownerKey)
	c.seeOwner(row, now)
	if c.owner.Boot == c.Self.Boot && c.owner.Epoch == record.Epoch {
		c.own(c.owner, row.Version, now)
	}
}

func findRow(rows []port.Row, table, key string) port.Row {
	for _, r := range rows {
		if r.Table == table && r.Key == key {
			return r
		}
	}
	return port.Row{Table: table, Key: key}
}

func ownerTxn(partition string, version int64, record ownerRecord) port.Txn {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // the record has only texts and numbers
	}
	return port.Txn{
		Partition: partition,
		Checks:    []port.Check{{Table: tableOwners, Key: ownerKey, Version: version}},
		Puts:      []port.Put{{Table: tableOwners, Key: ownerKey, Value: value}},
	}
}

// own begins this daemon's tenure.
func (c *Cell) own(record ownerRecord, version int64, now time.Time) {
	if c.owner.Address != "" && c.owner.Address != c.Self.Address {
		c.depose(c.owner.Address, record.Epoch)
	}
	c.owner, c.ownerRow, c.ownerSince = record, version, now
	if c.stopping {
		return
	}
	c.move(charts.ShardAcquire)
	c.gauges.takeovers.Inc(1)
	c.link.reset()
	c.tenure = newTenure(c, record, version, now)
	c.tenure.recover()
	c.publish()
}

// depose tells the former owner, which may be cut off from the store and would
// go on until a worker refuses its epoch.
func (c *Cell) depose(address string, epoch int64) {
	c.Loop.Go(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, newsTimeout)
		defer cancel()
		_, err := c.Peers.Call(ctx, address, &peerpb.Request{Kind: &peerpb.Request_News{News: &peerpb.NewsRequest{Epoch: epoch}}})
		return func() {
			c.Log.WithFields(log.Fields{"event": "former_owner_told", "address": address, "answered": err == nil}).Debug("cell")
		}
	})
}

// lose ends this daemon's tenure because another daemon owns the cell.
func (c *Cell) lose(reason string) {
	if c.tenure == nil {
		return
	}
	c.Log.WithFields(log.Fields{"event": "ownership_lost", "epoch": c.tenure.record.Epoch, "reason": reason}).Warn("cell")
	c.gauges.lost.Inc(1)
	c.tenure.ended = true
	c.tenure = nil
	c.move(charts.ShardLose)
	c.ownerSince, c.readTried = time.Time{}, time.Time{}
	c.news.reset()
	c.publish()
}
