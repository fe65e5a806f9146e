// Package cell coordinates one cell: a set of workers, the jobs for them and
// the one daemon that owns both at a time.
//
// Every daemon runs a Cell. The owner's Cell runs a dispatch.Engine and talks
// to the workers; the others follow the owner, and take over when it is lost.
// Control state belongs to the control loop. Submit, State, Cancel and Pending
// may be called from any goroutine.
package cell

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

// Loop runs control work and lets other goroutines wait for it.
type Loop interface {
	control.Executor
	Do(ctx context.Context, fn func()) error
}

// Peers calls other daemons.
type Peers interface {
	Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error)
}

// Identity names one start of a daemon.
type Identity struct {
	Name string
	// Boot differs for every start of the daemon.
	Boot string
	// Address is where other daemons reach it.
	Address string
}

// Options are what a Cell is made of.
type Options struct {
	// Partition is the cell's partition of the store.
	Partition string
	Self      Identity
	Loop      Loop
	Store     port.Store
	Workers   port.Workers
	Directory port.Directory
	// Machines may be nil; then only leases tell when a silent worker is gone.
	Machines port.Machines
	// Advisor may be nil; then queues with an advisor get no worker.
	Advisor port.Advisor
	Configs port.ConfigSource
	Peers   Peers
	Log     log.Interface
	// Metrics may be nil.
	Metrics metrics.Registry
	// Engine holds the platform's bounds.
	Engine dispatch.Options
	// Lease is how long a worker may run tasks without a word of the owner.
	Lease time.Duration
	// Retention is how long ended jobs are remembered.
	Retention time.Duration
	// Now is the steady clock, and Wall the time of day.
	Now  func() time.Time
	Wall func() time.Time
	// Uptime is the time since the machine started, with suspensions counted.
	Uptime func() time.Duration
	// Random returns a number from 0 to 1 and spreads what daemons do at once.
	Random func() float64
}

// Intervals of the control loop.
const (
	tickInterval = 50 * time.Millisecond
	// configPoll is well below the time in which an accepted configuration must
	// be in force, which is 3 s at the least.
	configPoll    = 500 * time.Millisecond
	directoryPoll = 700 * time.Millisecond
	changesPoll   = 500 * time.Millisecond
	storeTimeout  = time.Second
)

// Cell is one daemon's part in a cell.
type Cell struct {
	Options

	state    chart.State
	stopping bool

	// owner is the ownership row as last read.
	owner      ownerRecord
	ownerRow   int64     // its version; zero if there is none
	ownerSince time.Time // when this version was first seen; zero before the first read
	reading    bool
	readTried  time.Time // when a read was last begun
	readAt     time.Time // when the last successful read was begun
	claiming   bool
	claimAt    time.Time // when to claim, once it is decided; zero if not
	roundTrip  time.Duration

	tenure *tenure // while this daemon is the owner
	link   link    // to the owner

	config     *port.Config
	configAt   time.Time // when the version was last known to be the newest
	configRead time.Time
	configBusy bool

	storeOK time.Time // last successful call to the store
	// storeFailing is set while the last call to the store has failed.
	storeFailing bool
	lastRun      time.Time
	lastUp       time.Duration

	view   atomic.Pointer[View]
	news   newsBook
	gate   gate
	gauges *gauges
}

// View is what entries may know without asking the control loop. It is
// immutable.
type View struct {
	Config *port.Config
	// ConfigConfirmedAt is when the configuration was last known to be the newest.
	ConfigConfirmedAt time.Time
	// Owner is the owner's address, empty if it is not known; Self is set when
	// this daemon is the owner.
	Owner    string
	IsOwner  bool
	Stopping bool
	// StoreLastContact is when the store last answered this daemon's control loop.
	StoreLastContact time.Time
}

// New returns a Cell; Start begins its work.
func New(o Options) *Cell {
	c := &Cell{Options: o, state: charts.Shard.Initial(), gauges: newGauges(o.Metrics)}
	c.news.init()
	c.view.Store(&View{})
	return c
}

// Start begins the periodic work.
func (c *Cell) Start() {
	c.Loop.Post(func() { c.tick(c.Now()) })
	c.Loop.Every(tickInterval, c.tick)
}

// View returns what entries may know. It is safe for concurrent use.
func (c *Cell) View() *View { return c.view.Load() }

func (c *Cell) publish() {
	c.view.Store(&View{
		Config: c.config, ConfigConfirmedAt: c.configAt, Owner: c.owner.Address,
		IsOwner: c.tenure != nil, Stopping: c.stopping, StoreLastContact: c.storeOK,
	})
}

func (c *Cell) move(e chart.Event) {
	next, err := charts.Shard.Next(c.state, e)
	if err != nil {
		c.Log.WithError(err).Error("cell chart")
		return
	}
	c.state = next
	c.Log.WithFields(log.Fields{"event": "cell_" + string(e), "epoch": c.owner.Epoch, "owner": c.owner.Name}).Info(string(next))
}

// tick does what is due. It runs on the control loop.
func (c *Cell) tick(time.Time) {
	now := c.Now()
	c.checkSleep(now)
	c.pollConfig(now)
	c.watchOwner(now)
	c.follow(now)
	if c.tenure != nil {
		c.tenure.tick(now)
	}
	c.publish()
}

// sleepLimit is how long the control loop may stand still before an owner must
// make sure that it still is one.
const sleepLimit = 700 * time.Millisecond

// checkSleep notices that the process or the machine stood still: another
// daemon may have taken over meanwhile.
func (c *Cell) checkSleep(now time.Time) {
	up := c.Uptime()
	slept := !c.lastRun.IsZero() && (now.Sub(c.lastRun) > sleepLimit || up-c.lastUp > sleepLimit)
	gap := max(now.Sub(c.lastRun), up-c.lastUp)
	c.lastRun, c.lastUp = now, up
	if !slept {
		return
	}
	c.Log.WithFields(log.Fields{"event": "woke_up", "gap_ms": gap.Milliseconds()}).Warn("the process stood still")
	if c.tenure != nil {
		c.tenure.unconfirmed = true
	}
}

// storeAnswered takes in the outcome of a call to the store.
func (c *Cell) storeAnswered(err error, now time.Time) {
	var refused *port.RefusedError
	if err == nil || errors.As(err, &refused) && refused.Reason == port.RefusedStale {
		if now.Sub(c.storeOK) > storeAway && !c.storeOK.IsZero() {
			c.Log.WithField("event", "store_regained").Info("the store answers")
		}
		c.storeOK, c.storeFailing = now, false
		return
	}
	c.storeFailing = true
	c.Log.WithFields(log.Fields{"event": "store_failed", "since_ms": now.Sub(c.storeOK).Milliseconds()}).WithError(err).Debug("store")
}

// storeAway is how long without an answer of the store, while it is asked, it
// is taken to be away.
const storeAway = 1500 * time.Millisecond

// stopPoll is the pace at which a stop looks whether the cell is released.
const stopPoll = 20 * time.Millisecond

// Release gives the cell up if this daemon owns it, and keeps it from claiming
// one again. The Cell goes on following the next owner. It runs on any
// goroutine and returns when the cell is released or ctx ends.
func (c *Cell) Release(ctx context.Context) error {
	for {
		owning := false
		err := c.Loop.Do(ctx, func() {
			c.stopping = true
			if owning = c.tenure != nil; owning {
				c.tenure.release(c.Now())
			}
			c.publish()
		})
		if err != nil || !owning {
			return err
		}
		if err := pause(ctx, stopPoll); err != nil {
			return err
		}
	}
}
