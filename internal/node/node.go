// Package node assembles and runs a daemon on the users' platform.
package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"golang.org/x/sys/unix"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/cell"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/jobapi"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/internal/process"
	"github.com/bambooyard/bambooyard/internal/settings"
	"github.com/bambooyard/bambooyard/platform"
)

// Constants of a daemon that are not settings.
const (
	// defaultLease is the lease duration unless the settings allow less. It bounds
	// how long the tasks of an unresponsive worker block their successors, and how
	// long an outage of all daemons may last before work is lost: a restart of
	// every daemon and a takeover take about three seconds.
	defaultLease = 4500 * time.Millisecond
	// startWindow is how long a start request may be in flight: several round
	// trips between regions.
	startWindow = 1500 * time.Millisecond
	// configMargin is how long before the configuration timeout the ingress stops
	// using a configuration that has not been confirmed as the newest.
	configMargin = 600 * time.Millisecond
	// balancerDelay is how long the load balancer takes to detect that the ingress
	// is not ready: two failed probes at one per second.
	balancerDelay = 2300 * time.Millisecond
	// stopMargin is the part of the stop timeout reserved for exiting the process.
	stopMargin = 500 * time.Millisecond
	// heldShare is the share of the memory bound that the tasks of open jobs may take, and again that
	// of the jobs themselves. The garbage collector needs as much, and a takeover reads all jobs.
	heldShare = 0.12
	// retentionFactor extends the status retention to allow for a daemon that is
	// slow to learn that a job has ended.
	retentionFactor = 2
	// partition is the store partition of the lead cell.
	partition = "c0"

	readHeaderTimeout = 3 * time.Second
	callerIdleTimeout = 30 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Run runs the daemon until it is told to stop, and returns its exit code.
func Run(s settings.Node, logger log.Interface) int {
	process.LimitMemory(s.MemoryBytes)
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(s.StopTimeout-stopMargin/2),
		fx.Supply(s),
		fx.Provide(
			func() log.Interface { return logger },
			control.NewLoop,
			platform.NewClient,
			peer.NewPool,
			metrics.NewRegistry,
			newCells,
			newGate,
			newDaemon,
		),
		fx.Invoke(func(lc fx.Lifecycle, d *daemon) {
			lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
		}),
	)
	app.Run()
	if app.Err() != nil {
		logger.WithError(app.Err()).Error("cannot start the daemon")
		return 1
	}
	return 0
}

func newCells(s settings.Node, loop *control.Loop, client *platform.Client, pool *peer.Pool, logger log.Interface, registry metrics.Registry) *cell.Group {
	return cell.NewGroup(cell.GroupOptions{
		DataCentre: s.DataCentre, Region: s.Region, LinkMbps: s.LinkMbps,
		RegionOf: func(dataCentre string) string { return s.Regions[dataCentre] },
		Lead:     leadOptions(s, loop, client, pool, logger, registry),
	})
}

// leadOptions returns the options of the lead cell.
func leadOptions(s settings.Node, loop *control.Loop, client *platform.Client, pool *peer.Pool, logger log.Interface, registry metrics.Registry) cell.Options {
	store := platform.NewStore(client, s.StoreAddress)
	var machines port.Machines
	if s.MachinesAddress != "" {
		machines = platform.NewMachines(client, s.MachinesAddress)
	}
	var advisor port.Advisor
	if s.AdvisorAddress != "" {
		advisor = platform.NewAdvisor(client, s.AdvisorAddress)
	}
	return cell.Options{
		Partition: partition,
		Self:      cell.Identity{Name: s.Name, Boot: fmt.Sprintf("%016x", rand.Uint64()), Address: s.PeerAddress},
		Loop:      loop,
		Store:     store,
		Workers:   platform.NewWorkers(client),
		Directory: newDirectory(s, store, logger, registry),
		Machines:  machines,
		RowBytes:  s.RowBytes,
		Advisor:   advisor,
		Configs:   platform.NewConfigSource(store),
		Peers:     pool,
		Log:       logger,
		Metrics:   registry,
		MilliCPU:  s.MilliCPU,
		Engine:    dispatch.Options{Budget: heldBudget(s.MemoryBytes), MaxLease: s.MaxLease, StartWindow: startWindow, MaxViolation: s.MaxViolation, CapacityTTL: s.ContactTime, MaxEvacuation: s.MaxEvacuation},
		Lease:     min(defaultLease, s.MaxLease),
		Retention: retentionFactor * s.StatusRetention,
		Now:       time.Now,
		Wall:      time.Now,
		Uptime:    timeSinceBoot,
		Random:    rand.Float64,
	}
}

// newDirectory returns the directory of workers, with the evacuations where these are in
// force.
func newDirectory(s settings.Node, store port.Store, logger log.Interface, registry metrics.Registry) port.Directory {
	if s.MaxEvacuation <= 0 {
		d := platform.NewDirectory(store, logger)
		d.RegisterMetrics(registry)
		return d
	}
	d := platform.NewEvacuatingDirectory(store, slices.Collect(maps.Keys(s.Regions)), logger)
	d.RegisterMetrics(registry)
	return d
}

// timeSinceBoot returns the time since the machine started, with suspensions, or
// zero if the clock cannot be read.
func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// daemon holds the servers of a daemon and starts and stops them.
type daemon struct {
	settings   settings.Node
	log        log.Interface
	loop       *control.Loop
	cells      *cell.Group
	pool       *peer.Pool
	client     *platform.Client
	registry   metrics.Registry
	gate       *gate.Gate
	shutdowner fx.Shutdowner

	closing atomic.Bool
	callers *http.Server
	ready   *http.Server
	metrics *http.Server
	jobs    *http.Server
	peers   *peer.Server
}

func newDaemon(s settings.Node, logger log.Interface, loop *control.Loop, cells *cell.Group, pool *peer.Pool, client *platform.Client, registry metrics.Registry, g *gate.Gate, shutdowner fx.Shutdowner) *daemon {
	return &daemon{settings: s, log: logger, loop: loop, cells: cells, pool: pool, client: client, registry: registry, gate: g, shutdowner: shutdowner}
}

func (d *daemon) start(context.Context) error {
	d.log.WithFields(log.Fields{"event": "start", "region": d.settings.Region, "data_centre": d.settings.DataCentre, "milli_cpu": d.settings.MilliCPU}).Info("starting")
	if err := registerProcessMetrics(d.registry, d.loop); err != nil {
		return err
	}
	listener, err := d.gate.Listen(d.settings.PeerAddress, listenerPeers)
	if err != nil {
		return err
	}
	d.peers = peer.NewServer(listener, d.cells.Handle, d.log)
	go d.peers.Serve()
	go d.loop.Run()
	d.cells.Start()
	d.callers = d.newServer(&platform.Ingress{Jobs: d.cells, State: d.ingressState, Log: d.log, Now: time.Now, Gate: d.gate, HasAdvisor: d.settings.AdvisorAddress != ""})
	d.ready = d.newServer(http.HandlerFunc(d.serveReady))
	d.metrics = d.newServer(metricsHandler(d.registry))
	d.jobs = d.newServer(jobapi.New(jobapi.Options{Jobs: d.cells, HasQueue: d.hasQueue, Cells: d.cells.States, Log: d.log, Wall: time.Now, Gate: d.gate}))
	d.reloadOnSIGHUP()
	d.serveFixedMetrics()
	return errors.Join(
		d.serve(d.callers, d.settings.CallerAddress, listenerCallers),
		d.serve(d.ready, d.settings.ReadyAddress, listenerReady),
		d.serve(d.metrics, d.settings.MetricsAddress, listenerMetrics),
		d.serve(d.jobs, d.settings.JobsAddress, listenerJobs),
	)
}

func (d *daemon) newServer(h http.Handler) *http.Server {
	server := d.gate.Server(h)
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = readHeaderTimeout, callerIdleTimeout, maxHeaderBytes
	return server
}

func (d *daemon) serve(server *http.Server, address, name string) error {
	listener, err := d.gate.Listen(address, name)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.WithFields(log.Fields{"event": "server_failed", "address": address}).WithError(err).Error("HTTP server failed; shutting down the daemon")
			_ = d.shutdowner.Shutdown(fx.ExitCode(1))
		}
	}()
	return nil
}

// serveFixedMetrics serves the metrics at the fixed address as well, if there is
// one. The daemon runs without it if another process uses the port.
func (d *daemon) serveFixedMetrics() {
	address := d.settings.FixedMetricsAddress
	if address == "" {
		return
	}
	if err := d.serve(d.metrics, address, listenerMetrics); err != nil {
		d.log.WithFields(log.Fields{"event": "metrics_not_served", "address": address}).WithError(err).Warn("cannot serve the metrics at the fixed port")
	}
}

func (d *daemon) ingressState() platform.IngressState {
	v := d.cells.View()
	return platform.IngressState{Config: v.Config, Fresh: d.configFresh(v), Closing: d.closing.Load()}
}

// hasQueue reports whether the configuration in force has a queue. It returns
// ready false when the configuration is not fresh.
func (d *daemon) hasQueue(name string) (exists, ready bool) {
	v := d.cells.View()
	if !d.configFresh(v) {
		return false, false
	}
	return slices.ContainsFunc(v.Config.Routes, func(r port.Route) bool { return r.Queue.Name == name }), true
}

// configFresh reports whether the configuration was confirmed recently enough to
// be used.
func (d *daemon) configFresh(v *cell.View) bool {
	return v.Config != nil && time.Since(v.ConfigConfirmedAt) < d.settings.ConfigTimeout-configMargin
}

// serveReady answers the load balancer's probes: 503 when the daemon is stopping
// or has no fresh configuration.
func (d *daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if v := d.cells.View(); d.closing.Load() || !d.configFresh(v) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reloadOnSIGHUP reads and checks the settings again on SIGHUP, by which the
// platform announces a change. Addresses and bounds take effect on a restart,
// which the platform does itself.
func (d *daemon) reloadOnSIGHUP() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			s, err := platform.ReadSettings()
			if err != nil {
				d.log.WithField("event", "reload_failed").WithError(err).Error("cannot read the settings; keeping those in force")
				continue
			}
			d.log.WithFields(log.Fields{"event": "reload", "changed": !reflect.DeepEqual(s, d.settings)}).Info("settings read")
		}
	}()
}

// stop shuts the daemon down gracefully: it becomes not ready, releases the cell,
// waits until the load balancer has detected this, and lets requests in progress
// finish.
func (d *daemon) stop(ctx context.Context) error {
	d.closing.Store(true)
	started := time.Now()
	d.log.WithField("event", "stop_begins").Info("draining")
	ctx, cancel := context.WithTimeout(ctx, d.settings.StopTimeout-stopMargin)
	defer cancel()
	err := d.cells.Release(ctx)
	select {
	case <-time.After(balancerDelay - time.Since(started)):
	case <-ctx.Done():
	}
	err = errors.Join(err, d.callers.Shutdown(ctx), d.jobs.Shutdown(ctx), d.ready.Close(), d.metrics.Close(), d.peers.Close())
	d.pool.Close()
	d.loop.Stop()
	d.client.Close()
	d.log.WithFields(log.Fields{"event": "stopped", "took_ms": time.Since(started).Milliseconds()}).Info("stopped")
	return err
}

// heldBudget returns the budget of the engines of a process with a memory bound, which may be zero.
func heldBudget(memoryBytes int64) *dispatch.Budget {
	if memoryBytes == 0 {
		return nil
	}
	return dispatch.NewBudget(max(dispatch.MinBudget, int(float64(memoryBytes)*heldShare)/dispatch.TaskBytes))
}
