// Package daemon puts the parts of a daemon together and runs them.
package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/burn"
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
	configInterval = 500 * time.Millisecond
	vmListInterval = time.Second
	loadInterval   = 250 * time.Millisecond
	batchInterval  = 100 * time.Millisecond
	viewInterval   = 250 * time.Millisecond
	renewalsPerTTL = 3
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
	keeper *sessions.Manager
	config *configsync.Follower
	batch  *batch.Manager
	// directories serves submissions from any goroutine.
	directories  directories
	canceller    *batch.Canceller
	loads        *loadTable
	recorder     *burn.Recorder
	health       *route.Tracker
	links        *linkShares
	sender       *traffic.Sender
	latencyAt    time.Time            // when latencies were last taken
	reportedAt   time.Time            // when the peers were last told this daemon's load
	reported     document.Revision    // the revision that they were told
	selfReported map[string]time.Time // addresses of targets that said they leave, and when
	leaving      map[string]bool      // VMs that the platform's list names as leaving
}

func newController(s settings.Settings, loop *control.Loop, client *platform.Client, workers platform.Workers, logger log.Interface, publisher *traffic.Publisher, sender *traffic.Sender, links *traffic.Links, recorder *burn.Recorder, registry metrics.Registry) *controller {
	c := &controller{
		settings:     s,
		loop:         loop,
		platform:     client,
		log:          logger,
		publisher:    publisher,
		pool:         peer.NewPool(),
		canceller:    batch.NewCanceller(client),
		state:        charts.Daemon.Initial(),
		loads:        newLoadTable(),
		recorder:     recorder,
		health:       route.NewTracker(),
		links:        newLinkShares(links, registry),
		sender:       sender,
		selfReported: map[string]time.Time{},
		leaving:      map[string]bool{},
	}
	c.keeper = sessions.NewManager(sessions.Options{
		Loop: loop, Table: client, TTL: s.SessionTTL, Log: logger, Now: time.Now,
		Self:          membership.Session{Daemon: s.Name, Region: s.Region, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress},
		Head:          c.adoptedHead,
		NewID:         rand.Text,
		OnHeadChanged: func() { c.config.Check() },
	})
	c.config = configsync.NewFollower(configsync.Options{
		Loop: loop, Table: client, Objects: client.Objects(), Log: logger, Now: time.Now,
		OnAdopted: c.adopted, OnHeadRead: c.keeper.Renew,
	})
	c.batch = batch.NewManager(batch.Options{
		Loop: loop, Table: client, Objects: client.Objects(), Metrics: registry, Workers: workers, Log: logger, Now: time.Now,
		Self: c.keeper.Self, Live: c.keeper.Live,
		LeaseTTL: s.LeaseTTL, OwnerTTL: s.SessionTTL,
		Observe: recorder.Observe,
	})
	return c
}

// start begins the periodic work; it runs on any goroutine.
func (c *controller) start() {
	c.loop.Post(c.config.Check)
	c.loop.Every(c.settings.SessionTTL/renewalsPerTTL, func(time.Time) { c.keeper.Renew() })
	c.loop.Every(configInterval, func(time.Time) { c.config.Check() })
	c.loop.Every(vmListInterval, func(time.Time) { c.listVMs() })
	c.loop.Every(loadInterval, c.reportLoad)
	c.loop.Every(batchInterval, c.batch.Tick)
	c.loop.Every(viewInterval, c.refresh)
}

// adopted takes in a newer document. The session is renewed, or established,
// with its revision; refresh makes the daemon ready once it may serve.
func (c *controller) adopted(head document.Head, doc document.Document) {
	c.keeper.SetRevision(head.Revision)
	c.batch.Adopt(head, doc)
	c.recorder.SetObjectives(doc.Rules.Objectives)
	c.refresh(time.Now())
}

// adoptedHead is what a new session must begin under.
func (c *controller) adoptedHead() sessions.Head {
	version, known := c.config.Version()
	return sessions.Head{Revision: c.config.Head().Revision, Version: version, Known: known}
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

// refresh decides whether the daemon may serve and publishes a new snapshot.
func (c *controller) refresh(now time.Time) {
	serving := c.keeper.Decide(now).State != membership.Isolated && c.config.Head().Revision > 0
	switch {
	case !serving && charts.Daemon.Can(c.state, charts.DaemonIsolate):
		c.move(charts.DaemonIsolate)
	case serving && charts.Daemon.Can(c.state, charts.DaemonAdopt):
		c.move(charts.DaemonAdopt)
	}
	c.keeper.Tick(now)
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

// targets describes the targets of all services; it runs on any goroutine.
func (c *controller) targets(ctx context.Context) ([]operator.Target, error) {
	var list []operator.Target
	err := c.loop.Do(ctx, func() {
		inv := c.config.Document().Inventory
		places, vms := inv.Locations(), inv.ByName()
		for _, service := range inv.Services {
			for _, t := range service.Targets {
				list = append(list, operator.Target{
					Service: service.Name, VM: t.VM, Address: t.Address,
					Location: operator.Location(places[vms[t.VM].Rack]), State: string(c.health.State(t.Address)),
					Slots: t.Slots, InFlight: c.loads.usage(t.Address).InFlight(),
				})
			}
		}
	})
	return list, err
}

// drain makes the daemon unready and hands over what it owns.
func (c *controller) drain() {
	c.move(charts.DaemonStop)
	c.keeper.SetLeaving()
	c.batch.Drain()
	c.publish(time.Now())
}

// handOver waits until the shards of this daemon are released; it runs on any
// goroutine. Shards that are not, because the table service does not answer,
// are taken over after their expiry.
func (c *controller) handOver(ctx context.Context) {
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	for {
		owned := 0
		if err := c.loop.Do(ctx, func() { owned = len(c.batch.Owned()) }); err != nil || owned == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.log.WithFields(log.Fields{"event": "hand_over_timed_out", "shards": owned}).Warn("others take over after the expiry")
			return
		}
	}
}
