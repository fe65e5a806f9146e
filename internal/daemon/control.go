// Package daemon wires the components of a daemon together and runs them.
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

// Intervals of the periodic work on the control loop. renewalsPerTTL is how
// often the session is renewed within its TTL.
const (
	configInterval  = 500 * time.Millisecond
	vmListInterval  = time.Second
	loadInterval    = 250 * time.Millisecond
	batchInterval   = 100 * time.Millisecond
	refreshInterval = 250 * time.Millisecond
	renewalsPerTTL  = 3
)

// controller owns the daemon's control state. Its methods run on the control
// loop unless their comments say otherwise.
type controller struct {
	settings  settings.Settings
	loop      *control.Loop
	platform  *platform.Client
	log       log.Interface
	publisher *traffic.Publisher
	pool      *peer.Pool

	state    chart.State
	sessions *sessions.Manager
	config   *configsync.Follower
	batch    *batch.Manager
	// directories is read by submissions on any goroutine.
	directories        directoryCache
	canceller          *batch.Canceller
	loadTable          *loadTable
	recorder           *burn.Recorder
	health             *route.Tracker
	linkShares         *linkShares
	sender             *traffic.Sender
	latenciesTakenAt   time.Time            // when the latency percentiles were last taken
	lastReportAt       time.Time            // when the load was last reported to the peers
	lastReportRevision document.Revision    // revision in that report
	selfReported       map[string]time.Time // addresses of targets that announced their leaving, and when
	leavingVMs         map[string]bool      // VMs that the platform lists as leaving
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
		loadTable:    newLoadTable(),
		recorder:     recorder,
		health:       route.NewTracker(),
		linkShares:   newLinkShares(links, registry),
		sender:       sender,
		selfReported: map[string]time.Time{},
		leavingVMs:   map[string]bool{},
	}
	c.sessions = sessions.NewManager(sessions.Options{
		Loop: loop, Table: client, TTL: s.SessionTTL, Log: logger, Now: time.Now,
		Self:          membership.Session{Daemon: s.Name, Region: s.Region, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress},
		Head:          c.adoptedHead,
		NewID:         rand.Text,
		OnHeadChanged: func() { c.config.Check() },
	})
	c.config = configsync.NewFollower(configsync.Options{
		Loop: loop, Table: client, Objects: client.Objects(), Log: logger, Now: time.Now,
		OnAdopted: c.onAdopted, OnHeadRead: c.sessions.Renew,
	})
	c.batch = batch.NewManager(batch.Options{
		Loop: loop, Table: client, Objects: client.Objects(), Metrics: registry, Workers: workers, Log: logger, Now: time.Now,
		Self: c.sessions.Self, Live: c.sessions.Live,
		LeaseTTL: s.LeaseTTL, OwnerTTL: s.SessionTTL,
		Observe: recorder.Observe,
	})
	return c
}

// start schedules the periodic work. It may be called on any goroutine.
func (c *controller) start() {
	c.loop.Post(c.config.Check)
	c.loop.Every(c.settings.SessionTTL/renewalsPerTTL, func(time.Time) { c.sessions.Renew() })
	c.loop.Every(configInterval, func(time.Time) { c.config.Check() })
	c.loop.Every(vmListInterval, func(time.Time) { c.refreshLeavingVMs() })
	c.loop.Every(loadInterval, c.reportLoad)
	c.loop.Every(batchInterval, c.batch.Tick)
	c.loop.Every(refreshInterval, c.refresh)
}

// onAdopted applies a newer document. The session is renewed or established
// with its revision; refresh makes the daemon ready once it may serve.
func (c *controller) onAdopted(head document.Head, doc document.Document) {
	c.sessions.SetRevision(head.Revision)
	c.batch.Adopt(head, doc)
	c.recorder.SetObjectives(doc.Rules.Objectives)
	c.refresh(time.Now())
}

// adoptedHead returns the head that a new session must be established under.
func (c *controller) adoptedHead() sessions.Head {
	version, known := c.config.Version()
	return sessions.Head{Revision: c.config.Head().Revision, Version: version, Known: known}
}

// transition applies an event to the daemon's state chart and logs the new
// state. An event that the state does not allow is logged and ignored.
func (c *controller) transition(e chart.Event) {
	next, err := charts.Daemon.Next(c.state, e)
	if err != nil {
		c.log.WithError(err).Error("invalid transition of the daemon's state")
		return
	}
	c.state = next
	c.log.WithFields(log.Fields{"event": "daemon_" + string(e), "revision": c.config.Head().Revision}).Info(string(next))
}

// refreshLeavingVMs reads the platform's VM list. If that fails, the former
// list stays in use.
func (c *controller) refreshLeavingVMs() {
	control.Async(c.loop, c.platform.List, func(list []platform.VMStatus, err error) {
		if err != nil {
			c.log.WithField("event", "vm_list_failed").WithError(err).Warn("listing VMs failed; the previous list stays in use")
			return
		}
		c.leavingVMs = map[string]bool{}
		for _, vm := range list {
			if vm.State == platform.VMLeaving {
				c.leavingVMs[vm.Name] = true
			}
		}
	})
}

// refresh re-evaluates whether the daemon may serve and publishes a new
// snapshot.
func (c *controller) refresh(now time.Time) {
	serving := c.sessions.Decide(now).State != membership.Isolated && c.config.Head().Revision > 0
	switch {
	case !serving && charts.Daemon.Can(c.state, charts.DaemonIsolate):
		c.transition(charts.DaemonIsolate)
	case serving && charts.Daemon.Can(c.state, charts.DaemonAdopt):
		c.transition(charts.DaemonAdopt)
	}
	c.sessions.Tick(now)
	c.publish(now)
}

// status returns the control state. It may be called on any goroutine.
func (c *controller) status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	err := c.loop.Do(ctx, func() {
		self := c.sessions.Self()
		snapshot := c.publisher.Load()
		s = operator.Status{
			Daemon:   self.Daemon,
			Session:  self.ID,
			State:    string(c.state),
			Ready:    snapshot.Ready,
			Reason:   snapshot.Reason,
			Head:     c.config.Head(),
			Sessions: c.sessions.Live(time.Now()),
			Shards:   c.batch.Owned(),
		}
	})
	return s, err
}

// targets returns the targets of all services. It may be called on any
// goroutine.
func (c *controller) targets(ctx context.Context) ([]operator.Target, error) {
	var list []operator.Target
	err := c.loop.Do(ctx, func() {
		inv := c.config.Document().Inventory
		locations, vms := inv.Locations(), inv.ByName()
		for _, service := range inv.Services {
			for _, t := range service.Targets {
				list = append(list, operator.Target{
					Service: service.Name, VM: t.VM, Address: t.Address,
					Location: operator.Location(locations[vms[t.VM].Rack]), State: string(c.health.State(t.Address)),
					Slots: t.Slots, InFlight: c.loadTable.usage(t.Address).InFlight(),
				})
			}
		}
	})
	return list, err
}

// drain makes the daemon unready and begins to release its shards.
func (c *controller) drain() {
	c.transition(charts.DaemonStop)
	c.sessions.SetLeaving()
	c.batch.Drain()
	c.publish(time.Now())
}

// waitShardsReleased waits until this daemon owns no shard or ctx ends. It may
// be called on any goroutine. Shards that cannot be released, because the table
// service does not answer, are taken over after their expiry.
func (c *controller) waitShardsReleased(ctx context.Context) {
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
			c.log.WithFields(log.Fields{"event": "hand_over_timed_out", "shards": owned}).Warn("shards not released in time; peers take them over after their expiry")
			return
		}
	}
}
