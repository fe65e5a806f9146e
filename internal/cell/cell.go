// Package cell coordinates one cell: a set of workers, the jobs that run on them
// and the one daemon that owns the cell at a time.
//
// Every daemon runs a Cell. The owner's Cell runs a dispatch.Engine and sends
// requests to the workers. The other daemons follow the owner, and one of them
// takes over when the owner fails. Control state is accessed on the control loop
// only. Submit, State, Cancel and Pending are safe for concurrent use.
package cell

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

// Loop is the control loop. Do runs fn on it and waits for fn to return.
type Loop interface {
	control.Executor
	Do(ctx context.Context, fn func()) error
}

// Peers calls other daemons.
type Peers interface {
	Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error)
}

// Identity identifies one boot of a daemon.
type Identity struct {
	Name string
	// Boot is unique to each start of the daemon.
	Boot string
	// Address is the address at which other daemons reach it.
	Address string
}

// Options configure a Cell.
type Options struct {
	// Number is the cell's number in the cell map; zero is the lead cell.
	Number int
	// Partition is the cell's partition in the store, and LeadPartition that of the lead
	// cell. The partitions of jobs are named after the latter; empty means Partition.
	Partition     string
	LeadPartition string
	Self          Identity
	Loop          Loop
	Store         port.Store
	// RowBytes is the store's limit of a row's value; zero means defaultRowBytes.
	RowBytes  int
	Workers   port.Workers
	Directory port.Directory
	// Machines may be nil; then an unresponsive worker is considered gone only
	// when its lease has expired.
	Machines port.Machines
	// Advisor may be nil; then queues that require an advisor are not scheduled.
	Advisor port.Advisor
	Configs port.ConfigSource
	Peers   Peers
	Log     log.Interface
	// Metrics may be nil.
	Metrics metrics.Registry
	// MilliCPU is the processor capacity of this daemon in thousandths of a core. Zero
	// means that it is not known; then capacities are not compared.
	MilliCPU int64
	// Engine holds the time bounds of the platform.
	Engine dispatch.Options
	// Lease is how long a worker may run tasks without a renewal by the owner.
	Lease time.Duration
	// Retention is how long the states of ended jobs are stored.
	Retention time.Duration
	// Now is the monotonic clock, and Wall the wall clock.
	Now  func() time.Time
	Wall func() time.Time
	// Uptime is the time since the VM booted, including time while suspended.
	Uptime func() time.Duration
	// Random returns a number in [0, 1), for the jitter between daemons.
	Random func() float64
}

// Intervals of the control loop.
const (
	tickInterval = 50 * time.Millisecond
	// configPoll is well below the time within which an accepted configuration
	// must be in force, which is at least 3 s.
	configPoll    = 500 * time.Millisecond
	directoryPoll = 700 * time.Millisecond
	changesPoll   = 500 * time.Millisecond
	storeTimeout  = time.Second
)

// Cell is one daemon's view of a cell, as its owner or as a follower.
type Cell struct {
	Options

	state    chart.State
	stopping bool
	tables   jobTables
	// group holds the cells of this daemon; nil if this is the only one.
	group *Group
	// role is the position of this daemon among the cell's members, or -1. In the lead
	// cell, it is zero.
	role int
	// roleSince is when the role last changed.
	roleSince time.Time
	// reportedOwner is the owner's address as the lead cell's owner has told it.
	reportedOwner string
	// reportedEvacuations are those of the lead cell as its owner has told them.
	reportedEvacuations []port.Evacuation

	// owner is the owner record as last read from the store.
	owner              ownerRecord
	ownerVersion       int64     // version of the owner's row; zero if there is none
	ownerVersionSeenAt time.Time // end of the read that first returned ownerVersion; zero before the first read
	ownerReadInFlight  bool
	ownerReadTriedAt   time.Time // start of the last read
	ownerReadAt        time.Time // start of the last successful read
	acquiring          bool
	acquireAt          time.Time // when to acquire the cell; zero if no acquisition is scheduled
	acquireNotBefore   time.Time // until then, the cell is left to other daemons
	storeRoundTrip     time.Duration
	// largestCandidate is the capacity of the largest follower that could acquire the
	// cell, in thousandths of a core, as the owner reported it last.
	largestCandidate int64

	term *term // nil unless this daemon is the owner
	link link  // to the owner

	config             *port.Config
	configConfirmedAt  time.Time // when config was last known to be the newest
	configPolledAt     time.Time
	configReadInFlight bool
	// configFetchInFlight is set while a configuration is read from another daemon.
	configFetchInFlight bool
	bodyBudget          bodyBudget

	storeLastContact time.Time // time of the last successful call to the store
	// storeFailing is set if the last call to the store failed, and storeFailedAt is when a
	// call last failed.
	storeFailing  bool
	storeFailedAt time.Time
	lastTick      time.Time
	// stallCheckedAt and lastUptime are the clocks at the last check for a stall.
	stallCheckedAt time.Time
	lastUptime     time.Duration
	suspensions    int // number of suspensions of the VM
	// suspendedFor is the sum of their durations, by which the monotonic clock is behind.
	suspendedFor time.Duration
	loopDelay    loopDelay

	view      atomic.Pointer[View]
	jobStates jobStateCache
	// statesPrunedAt is when states were last dropped from jobStates.
	statesPrunedAt time.Time
	breaker        breaker
	withdrawals    *rate.Limiter
	instruments    *instruments
}

// View is a snapshot of the Cell's state for request handlers, which read it
// without a round trip to the control loop. It is immutable.
type View struct {
	Config *port.Config
	// ConfigConfirmedAt is when the configuration was last known to be the newest.
	ConfigConfirmedAt time.Time
	// Owner is the owner's address, empty if it is not known, and Epoch its epoch.
	// IsOwner is set if this daemon is the owner.
	Owner    string
	Epoch    int64
	IsOwner  bool
	Stopping bool
	// StoreLastContact is when the store last answered a call of the control loop.
	StoreLastContact time.Time
}

// New returns a Cell; Start must be called to run it.
func New(o Options) *Cell {
	if o.LeadPartition == "" {
		o.LeadPartition = o.Partition
	}
	c := &Cell{Options: o, state: charts.Shard.Initial(), instruments: newInstruments(o.Metrics), tables: jobTablesOf(o.Number), withdrawals: newWithdrawalLimiter()}
	c.jobStates.init()
	if c.isLead() {
		c.registerDepthAge()
	}
	c.view.Store(&View{})
	return c
}

// Start schedules the periodic work on the control loop.
func (c *Cell) Start() {
	c.Loop.Post(func() { c.tick(c.Now()) })
	c.Loop.Every(tickInterval, c.tick)
}

// isLead reports whether the cell is the lead cell, which every daemon may own and whose
// owner keeps the cell map and tells the configuration.
func (c *Cell) isLead() bool { return c.Number == cellmap.Lead }

// View returns the latest snapshot. It is safe for concurrent use.
func (c *Cell) View() *View { return c.view.Load() }

func (c *Cell) publish() {
	c.observeOwnership()
	owner := c.owner.Address
	if c.role < 0 {
		owner = c.reportedOwner
	}
	c.view.Store(&View{
		Config: c.config, ConfigConfirmedAt: c.configConfirmedAt, Owner: owner, Epoch: c.owner.Epoch,
		IsOwner: c.term != nil, Stopping: c.stopping, StoreLastContact: c.storeLastContact,
	})
}

func (c *Cell) transition(e chart.Event) {
	next, err := charts.Shard.Next(c.state, e)
	if err != nil {
		c.Log.WithError(err).Error("invalid state transition of the cell")
		return
	}
	c.state = next
	c.Log.WithFields(log.Fields{"event": "cell_" + string(e), "cell": c.Number, "epoch": c.owner.Epoch, "owner": c.owner.Name}).Info(string(next))
}

// tick runs the periodic work. It runs on the control loop.
func (c *Cell) tick(time.Time) {
	now := c.Now()
	c.observeTick(now)
	c.lastTick = now
	c.checkStall(now)
	if c.loopDelay.tick(now) {
		c.Log.WithFields(log.Fields{"event": "loop_load", "overloaded": c.loopDelay.overloaded, "delay_ms": c.loopDelay.mean.Milliseconds()}).Info("the load of the control loop has changed")
	}
	if c.isLead() {
		c.pollConfig(now)
	}
	if c.role >= 0 {
		c.watchOwner(now)
		c.follow(now)
	}
	if c.term != nil {
		c.term.tick(now)
	}
	c.pruneStates(now)
	c.publish()
}

// pruneStates drops the states of jobs that ended long ago, whether this daemon owns the cell or not.
func (c *Cell) pruneStates(now time.Time) {
	if now.Sub(c.statesPrunedAt) > time.Minute {
		c.statesPrunedAt = now
		c.jobStates.prune(now)
	}
}

const (
	// stallLimit is the longest pause of the control loop that is not logged.
	stallLimit = 700 * time.Millisecond
	// suspensionLimit is the longest time by which the monotonic clock may lag behind
	// the uptime between two checks.
	suspensionLimit = 100 * time.Millisecond
)

// checkStall detects that the process was paused or the VM was suspended. After a
// suspension, during which the monotonic clock stands still, an owner must confirm its
// ownership; after a pause, the clock tells whether it must. It is called on each tick,
// and before requests are planned, because events that waited come before the next tick.
func (c *Cell) checkStall(now time.Time) {
	uptime := c.Uptime()
	paused, passed := now.Sub(c.stallCheckedAt), uptime-c.lastUptime
	first := c.stallCheckedAt.IsZero()
	c.stallCheckedAt, c.lastUptime = now, uptime
	if first || max(paused, passed) <= stallLimit && passed-paused <= suspensionLimit {
		return
	}
	c.Log.WithFields(log.Fields{"event": "woke_up", "gap_ms": max(paused, passed).Milliseconds(), "suspended_ms": max(0, passed-paused).Milliseconds()}).Warn("the control loop was stalled")
	if passed-paused <= suspensionLimit {
		return
	}
	c.suspensions++
	c.suspendedFor += passed - paused
	if c.term != nil {
		c.term.unconfirmed, c.term.suspended = true, true
		c.term.engine.AgeWorkers(passed - paused)
	}
	switch {
	case c.group == nil:
	case c.isLead():
		c.group.ageDirectories(passed - paused)
	default:
		c.group.lead.checkStall(now) // before the lists of the group are used
	}
}

// suspendedSince returns for how long the VM has been suspended since suspendedFor had a
// value.
func (c *Cell) suspendedSince(before time.Duration) time.Duration {
	c.checkStall(c.Now())
	return c.suspendedFor - before
}

// recordStoreResult records whether the store has answered a call. A refusal with
// RefusedStale is an answer; other refusals count as failures.
func (c *Cell) recordStoreResult(err error, now time.Time) {
	c.logStoreResult(err, now)
	if storeAnswered(err) {
		c.storeLastContact, c.storeFailing = now, false
		return
	}
	c.storeFailing, c.storeFailedAt = true, now
}

// storeUnavailableAfter is the time without a successful call, while calls are
// made, after which the store counts as unavailable.
const storeUnavailableAfter = 1500 * time.Millisecond

// stopPoll is the interval at which Release checks whether the cell is released.
const stopPoll = 20 * time.Millisecond

// Release releases the cell if this daemon owns it, and prevents the daemon from
// acquiring it again. The Cell continues to follow the next owner. Release is safe
// for concurrent use. It returns nil once the cell is released, or the error of
// ctx or the loop.
func (c *Cell) Release(ctx context.Context) error {
	for {
		owning := false
		err := c.Loop.Do(ctx, func() {
			c.stopping = true
			if owning = c.term != nil; owning {
				c.term.retryRelease(c.Now())
			}
			c.publish()
		})
		if err != nil || !owning {
			return err
		}
		if err := sleep(ctx, stopPoll); err != nil {
			return err
		}
	}
}
