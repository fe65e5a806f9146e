// Package daemon puts the parts of a daemon together and runs them.
package daemon

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/internal/configsync"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/operator"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/sessions"
	"github.com/bambooyard/bambooyard/internal/settings"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/route"
)

// Intervals of the control goroutine.
const (
	configInterval  = 500 * time.Millisecond
	vmListInterval  = time.Second
	loadInterval    = 250 * time.Millisecond
	batchInterval   = 100 * time.Millisecond
	viewInterval    = 250 * time.Millisecond
	renewalsPerTTL  = 3
	isolationFactor = 2 // sessions' lifetimes without contact before a daemon is cut off
)

// controller owns the control state. Its methods run on the control loop
// unless they say otherwise.
type controller struct {
	settings  settings.Settings
	loop      *control.Loop
	platform  *platform.Client
	log       log.Interface
	publisher *traffic.Publisher
	pool      *peer.Pool

	state  chart.State
	keeper *sessions.Keeper
	config *configsync.Follower
	batch  *batch.Manager
	// directories serves submissions from any goroutine.
	directories directories
	loads       *loadTable
	health      *route.Tracker
	links       *linkShares
	sender      *traffic.Sender
	ownWord     map[string]time.Time // addresses of targets that said they leave, and when
	leaving     map[string]bool      // VMs that the platform's list names as leaving
	// lastPeer is when a peer last answered.
	lastPeer time.Time
}

func newController(s settings.Settings, loop *control.Loop, client *platform.Client, workers platform.Workers, logger log.Interface, publisher *traffic.Publisher, sender *traffic.Sender, links *traffic.Links, registry metrics.Registry) *controller {
	c := &controller{
		settings:  s,
		loop:      loop,
		platform:  client,
		log:       logger,
		publisher: publisher,
		pool:      peer.NewPool(),
		state:     charts.Daemon.Initial(),
		loads:     newLoadTable(),
		health:    route.NewTracker(),
		links:     newLinkShares(links, registry),
		sender:    sender,
		ownWord:   map[string]time.Time{},
		leaving:   map[string]bool{},
	}
	c.keeper = sessions.NewKeeper(sessions.Options{
		Loop: loop, Table: client, TTL: s.SessionTTL, Log: logger, Now: time.Now,
		Self: membership.Session{Daemon: s.Name, Region: s.Region, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress},
	})
	c.config = configsync.NewFollower(configsync.Options{
		Loop: loop, Table: client, Objects: client.Objects(), Log: logger, Adopted: c.adopted,
	})
	c.batch = batch.NewManager(batch.Options{
		Loop: loop, Table: client, Objects: client.Objects(), Metrics: registry, Workers: workers, Log: logger, Now: time.Now,
		Self: c.keeper.Self, Live: c.keeper.Live,
		LeaseTTL: s.LeaseTTL, OwnerTTL: s.SessionTTL,
	})
	return c
}

// start begins the periodic work; it runs on any goroutine.
func (c *controller) start() {
	c.loop.Post(c.keeper.Renew)
	c.loop.Post(c.config.Check)
	c.loop.Every(c.settings.SessionTTL/renewalsPerTTL, func(time.Time) { c.keeper.Renew() })
	c.loop.Every(configInterval, func(time.Time) { c.config.Check() })
	c.loop.Every(vmListInterval, func(time.Time) { c.listVMs() })
	c.loop.Every(loadInterval, c.reportLoad)
	c.loop.Every(batchInterval, c.batch.Tick)
	c.loop.Every(viewInterval, c.refresh)
}

func (c *controller) adopted(head document.Head, doc document.Document) {
	c.keeper.SetRevision(head.Revision)
	c.batch.Adopt(head, doc)
	if charts.Daemon.Can(c.state, charts.DaemonAdopt) {
		c.move(charts.DaemonAdopt)
	}
	c.publish(time.Now())
}

func (c *controller) move(e chart.Event) {
	next, err := charts.Daemon.Next(c.state, e)
	if err != nil {
		c.log.WithError(err).Error("daemon chart")
		return
	}
	c.state = next
	c.log.WithFields(log.Fields{"event": "daemon_" + string(e), "revision": c.config.Head().Revision}).Info(string(next))
}

func (c *controller) listVMs() {
	control.Async(c.loop, c.platform.List, func(list []platform.VMStatus, err error) {
		if err != nil {
			c.log.WithField("event", "vm_list_failed").WithError(err).Warn("list kept")
			return
		}
		c.leaving = map[string]bool{}
		for _, vm := range list {
			if vm.State == platform.VMLeaving {
				c.leaving[vm.Name] = true
			}
		}
	})
}

// refresh tells whether the daemon is cut off and publishes a new snapshot.
func (c *controller) refresh(now time.Time) {
	limit := isolationFactor * c.settings.SessionTTL
	cutOff := now.Sub(c.keeper.LastContact()) > limit && now.Sub(c.lastPeer) > limit
	switch {
	case cutOff && c.state == charts.DaemonReady:
		c.move(charts.DaemonIsolate)
	case !cutOff && c.state == charts.DaemonIsolated:
		c.move(charts.DaemonAdopt)
	}
	c.publish(now)
}

// status describes the control state; it runs on any goroutine.
func (c *controller) status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	err := c.loop.Do(ctx, func() {
		self := c.keeper.Self()
		snapshot := c.publisher.Load()
		s = operator.Status{
			Daemon:   self.Daemon,
			Session:  self.ID,
			State:    string(c.state),
			Ready:    snapshot.Ready,
			Reason:   snapshot.Reason,
			Head:     c.config.Head(),
			Sessions: c.keeper.Live(time.Now()),
			Shards:   c.batch.Owned(),
		}
	})
	return s, err
}

// drain makes the daemon unready and hands over what it owns.
func (c *controller) drain() {
	c.move(charts.DaemonStop)
	c.keeper.SetLeaving()
	c.batch.Drain()
	c.publish(time.Now())
}
