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

// ownerRecord is the value of the row that records the cell's owner.
type ownerRecord struct {
	Epoch   int64  `json:"epoch"`
	Name    string `json:"name"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
	// Sequence increases with every commit of an owner, and distinguishes its
	// commits.
	Sequence int64 `json:"beat"`
	// Released is set when the owner has released the cell.
	Released bool `json:"released,omitempty"`
	// Recorded is set with Released if the progress rows show all runs of the cell, as of a
	// time from which the owner starts none.
	Recorded bool `json:"recorded,omitempty"`
	// Backoff is the number of times that the takeover timeouts are doubled, because
	// owners were replaced before their terms were stable.
	Backoff int `json:"backoff,omitempty"`
}

// Intervals and timeouts of a takeover. The owner renews its row every
// renewInterval.
const (
	renewInterval = 400 * time.Millisecond
	// staleAfter is how long an unreachable owner's row must stay unchanged: three
	// renewals and a slow response of the store.
	staleAfter = 1500 * time.Millisecond
	// reachableStaleAfter replaces staleAfter while the owner is reachable but
	// cannot commit.
	reachableStaleAfter = 2500 * time.Millisecond
	// maxTakeoverBackoff limits the doublings of staleAfter to 6 s, about half of the
	// time within which an installation must recover.
	maxTakeoverBackoff = 2
	// stableTermAfter is the age from which a recovered owner's term is stable.
	stableTermAfter = 10 * time.Second
	ownerPoll       = 200 * time.Millisecond
	// healthyOwnerPoll replaces ownerPoll while the owner replies to polls.
	healthyOwnerPoll = 3 * time.Second
	// acquireJitter bounds the random delay that keeps daemons from acquiring the
	// cell simultaneously.
	acquireJitter = 60 * time.Millisecond
	// laterMemberDelay is how long each member of a cell leaves it to the one before.
	laterMemberDelay = 150 * time.Millisecond
	// acquireDelayPerRoundTrip is the delay in round trips to the store, so that
	// daemons near the store acquire the cell first.
	acquireDelayPerRoundTrip = 4
)

// watchOwner reads the owner's row if that is due, and acquires the cell when it
// needs a new owner.
func (c *Cell) watchOwner(now time.Time) {
	if c.term != nil {
		c.acquireAt = time.Time{}
		return
	}
	poll := ownerPoll
	if c.link.healthy(now) && !c.link.ownerCommitStale && c.link.ownerConfigVersion <= c.configVersion() {
		poll = healthyOwnerPoll
	}
	if !c.ownerReadInFlight && now.Sub(c.ownerReadTriedAt) >= poll {
		c.readOwner(now)
	}
	if c.stopping || now.Before(c.acquireNotBefore) || !c.needsOwner(now) {
		c.acquireAt = time.Time{}
		return
	}
	if c.acquireAt.IsZero() {
		delay := time.Duration(c.Random()*float64(acquireJitter)) + acquireDelayPerRoundTrip*c.storeRoundTrip
		if c.isLead() && c.MilliCPU < c.largestCandidate {
			delay += smallerCandidateDelay
		}
		delay += time.Duration(c.role) * laterMemberDelay
		c.acquireAt = now.Add(delay)
	}
	if !c.acquiring && !now.Before(c.acquireAt) {
		c.acquire()
	}
}

// needsOwner reports whether the cell needs a new owner, according to the last
// read.
func (c *Cell) needsOwner(now time.Time) bool {
	if c.ownerVersionSeenAt.IsZero() || now.Sub(c.storeLastContact) > storeUnavailableAfter {
		return false
	}
	switch {
	case c.ownerVersion == 0, c.owner.Released:
		return true
	case c.owner.Name == c.Self.Name:
		return true // an earlier boot of this daemon
	}
	unchanged := c.ownerReadAt.Sub(c.ownerVersionSeenAt)
	if c.link.healthy(now) {
		return c.link.ownerCommitStale && unchanged >= reachableStaleAfter
	}
	if c.link.refused {
		return unchanged >= staleAfter
	}
	return unchanged >= staleAfter<<min(max(0, c.owner.Backoff), maxTakeoverBackoff)
}

// nextBackoff returns the backoff of the takeover timeouts after a takeover from an
// owner. Owners that are replaced one after the other are probably too slow for the
// timeouts, so that their successors need more time.
func nextBackoff(previous ownerRecord) int {
	if previous.Epoch == 0 || previous.Released {
		return previous.Backoff
	}
	return min(previous.Backoff+1, maxTakeoverBackoff)
}

func (c *Cell) readOwner(now time.Time) {
	c.ownerReadInFlight, c.ownerReadTriedAt = true, now
	control.Async(c.Loop, func(ctx context.Context) (port.Page, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return c.Store.Range(ctx, tableOwners, c.Partition, ownerKey, ownerKey+"\x00", 1)
	}, func(page port.Page, err error) {
		c.ownerReadInFlight = false
		done := c.Now()
		c.recordStoreResult(err, done)
		if err != nil {
			return
		}
		if took := done.Sub(now); c.storeRoundTrip == 0 || took < c.storeRoundTrip {
			c.storeRoundTrip = took
		}
		c.ownerReadAt = now
		row := port.Row{}
		if len(page.Rows) > 0 {
			row = page.Rows[0]
		}
		c.observeOwner(row, done)
	})
}

// observeOwner applies the owner's row as read at a time. Older versions than the
// one that is known are ignored.
func (c *Cell) observeOwner(row port.Row, at time.Time) {
	if c.term != nil || row.Version < c.ownerVersion {
		return
	}
	if row.Version == c.ownerVersion && !c.ownerVersionSeenAt.IsZero() {
		return
	}
	var record ownerRecord
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			c.Log.WithFields(log.Fields{"event": "owner_row_unreadable", "version": row.Version}).WithError(err).Error("cannot decode the owner row; keeping the last known owner")
			return
		}
	}
	if record.Epoch != c.owner.Epoch || record.Boot != c.owner.Boot {
		c.link.reset()
		c.Log.WithFields(log.Fields{"event": "owner_seen", "owner": record.Name, "epoch": record.Epoch}).Info("observed a new owner of the cell")
	}
	c.owner, c.ownerVersion, c.ownerVersionSeenAt = record, row.Version, at
}

// acquire makes this daemon the owner, on condition that the owner's row is
// unchanged.
func (c *Cell) acquire() {
	c.acquiring = true
	c.logAcquisition(c.Now())
	previous := c.owner
	record := ownerRecord{Epoch: max(previous.Epoch+1, c.firstEpoch()), Name: c.Self.Name, Boot: c.Self.Boot, Address: c.Self.Address, Sequence: previous.Sequence + 1, Backoff: nextBackoff(previous)}
	version, sent, suspensions := c.ownerVersion, c.Now(), c.suspensions
	control.Async(c.Loop, func(ctx context.Context) (int64, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return c.Store.Commit(ctx, ownerTxn(c.Partition, version, record))
	}, func(committed int64, err error) {
		c.acquiring = false
		c.acquireAt = time.Time{}
		now := c.Now()
		if err != nil {
			c.acquireFailed(err, previous, record, now)
			return
		}
		c.recordStoreResult(nil, now)
		if c.checkStall(now); c.suspensions != suspensions {
			sent = time.Time{}
		}
		c.becomeOwner(previous, record, committed, sent)
	})
}

// firstEpoch returns the lowest epoch that an owner of the cell may use.
func (c *Cell) firstEpoch() int64 {
	if c.group == nil || c.group.cellMap == nil || c.Number >= len(c.group.cellMap.Cells) {
		return 0
	}
	return c.group.cellMap.Cells[c.Number].FirstEpoch
}

// acquireFailed handles a failed acquisition. On a conflict, an earlier attempt
// without a response may have succeeded.
func (c *Cell) acquireFailed(err error, previous, record ownerRecord, now time.Time) {
	conflict, ok := err.(*port.ConflictError)
	if !ok {
		c.recordStoreResult(err, now)
		return
	}
	c.recordStoreResult(nil, now)
	row := findRow(conflict.Rows, tableOwners, ownerKey)
	c.observeOwner(row, now)
	if c.owner.Boot == c.Self.Boot && c.owner.Epoch == record.Epoch {
		c.becomeOwner(previous, c.owner, row.Version, time.Time{})
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
		panic(err) // strings and numbers can always be encoded
	}
	return port.Txn{
		Partition: partition,
		Checks:    []port.Check{{Table: tableOwners, Key: ownerKey, Version: version}},
		Puts:      []port.Put{{Table: tableOwners, Key: ownerKey, Value: value}},
	}
}

// becomeOwner starts a term of this daemon after that of a previous owner; c.owner may be this daemon
// already, if a read of the row was faster than the response to its commit. The row that makes it
// the owner was sent at a time, which is zero if that is not known.
func (c *Cell) becomeOwner(previous, record ownerRecord, version int64, sent time.Time) {
	now := c.Now()
	if previous.Address != "" && previous.Address != c.Self.Address {
		c.notifyFormerOwner(previous.Address, record.Epoch)
	}
	c.owner, c.ownerVersion, c.ownerVersionSeenAt = record, version, now
	if c.stopping {
		return
	}
	c.transition(charts.ShardAcquire)
	c.instruments.takeovers.Inc(1)
	c.link.reset()
	c.term = newTerm(c, record, version, now)
	c.term.commitSentAt, c.term.unconfirmed = sent, sent.IsZero()
	c.term.afterRelease, c.term.runsRecorded = previous.Released, previous.Released && previous.Recorded
	c.term.recover()
	c.publish()
}

// notifyFormerOwner notifies the former owner, which may be partitioned from the
// store and would continue until a worker refuses its epoch.
func (c *Cell) notifyFormerOwner(address string, epoch int64) {
	c.Loop.Go(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
		defer cancel()
		_, err := c.Peers.Call(ctx, address, &peerpb.Request{Kind: &peerpb.Request_News{News: &peerpb.NewsRequest{Cell: uint32(c.Number), Epoch: epoch}}})
		return func() {
			c.Log.WithFields(log.Fields{"event": "former_owner_told", "address": address, "answered": err == nil}).Debug("tried to notify the former owner of the takeover")
		}
	})
}

// loseOwnership ends this daemon's term because another daemon owns the cell. The
// reason is logged.
func (c *Cell) loseOwnership(reason string) {
	if c.term == nil {
		return
	}
	c.Log.WithFields(log.Fields{"event": "ownership_lost", "cell": c.Number, "epoch": c.term.record.Epoch, "reason": reason}).Warn("lost ownership of the cell")
	c.instruments.ownershipsLost.Inc(1)
	c.term.observeEnd()
	c.term.ended = true
	c.term.engine.Close()
	c.term.stopListings()
	c.term = nil
	c.transition(charts.ShardLose)
	c.ownerVersionSeenAt, c.ownerReadTriedAt = time.Time{}, time.Time{}
	c.jobStates.reset()
	c.publish()
}
