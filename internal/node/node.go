// Package node puts the parts of a daemon on the users' platform together and
// runs them.
package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
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
	"github.com/bambooyard/bambooyard/internal/jobapi"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/internal/settings"
	"github.com/bambooyard/bambooyard/platform"
)

// Times of a daemon that no setting gives.
const (
	// lease bounds how long a silent worker's tasks block their successors, and
	// how long an outage of all daemons may last before work is lost: a restart
	// of every daemon and a take-over take about three seconds.
	lease = 4500 * time.Millisecond
	// startWindow is how long a start order may be on its way: several round
	// trips between regions.
	startWindow = 1500 * time.Millisecond
	// configMargin is what is left of the time in which a configuration must be
	// in force when an entry stops to rely on the last one.
	configMargin = 600 * time.Millisecond
	// balancerDelay is how long the balancer needs to see that an entry leaves:
	// two misses of a probe a second.
	balancerDelay = 2300 * time.Millisecond
	// stopMargin is left of the time to stop for the end of the process.
	stopMargin = 500 * time.Millisecond
	// memoryShare of the bound is where the collector works harder.
	memoryShare = 0.75
	// retentionFactor leaves time for a daemon that is slow to notice.
	retentionFactor = 2
	// partition is the only cell of an installation today.
	partition = "c0"

	readHeaderTimeout = 3 * time.Second
	callerIdleTimeout = 30 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Run runs the daemon until it is told to stop. It returns the exit code.
func Run(s settings.Node, logger log.Interface) int {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
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
			newCell,
			newDaemon,
		),
		fx.Invoke(func(lc fx.Lifecycle, d *daemon) {
			lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
		}),
	)
	app.Run()
	if app.Err() != nil {
		logger.WithError(app.Err()).Error("the daemon does not start")
		return 1
	}
	return 0
}

func newCell(s settings.Node, loop *control.Loop, client *platform.Client, pool *peer.Pool, logger log.Interface, registry metrics.Registry) *cell.Cell {
	store := platform.NewStore(client, s.StoreAddress)
	var machines port.Machines
	if s.MachinesAddress != "" {
		machines = platform.NewMachines(client, s.MachinesAddress)
	}
	var advisor port.Advisor
	if s.AdvisorAddress != "" {
		advisor = platform.NewAdvisor(client, s.AdvisorAddress)
	}
	return cell.New(cell.Options{
		Partition: partition,
		Self:      cell.Identity{Name: s.Name, Boot: fmt.Sprintf("%016x", rand.Uint64()), Address: s.PeerAddress},
		Loop:      loop,
		Store:     store,
		Workers:   platform.NewWorkers(client),
		Directory: platform.NewDirectory(store, logger),
		Machines:  machines,
		Advisor:   advisor,
		Configs:   platform.NewConfigSource(store),
		Peers:     pool,
		Log:       logger,
		Metrics:   registry,
		Engine:    dispatch.Options{MaxLease: s.MaxLease, StartWindow: startWindow, MaxViolation: s.MaxViolation},
		Lease:     min(lease, s.MaxLease),
		Retention: retentionFactor * s.StatusRetention,
		Now:       time.Now,
		Wall:      time.Now,
		Uptime:    sinceBoot,
		Random:    rand.Float64,
	})
}

// sinceBoot returns the time since the machine started, with suspensions, or
// zero where it cannot be told.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// daemon is what starts and stops.
type daemon struct {
	settings settings.Node
	log      log.Interface
	loop     *control.Loop
	cell     *cell.Cell
	pool     *peer.Pool
	client   *platform.Client
	registry metrics.Registry
	down     fx.Shutdowner

	closing atomic.Bool
	callers *http.Server
	ready   *http.Server
	metrics *http.Server
	jobs    *http.Server
	peers   *peer.Server
}

func newDaemon(s settings.Node, logger log.Interface, loop *control.Loop, c *cell.Cell, pool *peer.Pool, client *platform.Client, registry metrics.Registry, down fx.Shutdowner) *daemon {
	return &daemon{settings: s, log: logger, loop: loop, cell: c, pool: pool, client: client, registry: registry, down: down}
}

func (d *daemon) start(context.Context) error {
	d.log.WithFields(log.Fields{"event": "start", "region": d.settings.Region, "data_centre": d.settings.DataCentre}).Info("starting")
	listener, err := net.Listen("tcp", d.settings.PeerAddress)
	if err != nil {
		return err
	}
	d.peers = peer.NewServer(listener, d.cell.Handle)
	go d.peers.Serve()
	go d.loop.Run()
	d.cell.Start()
	d.callers = newServer(&platform.Ingress{Jobs: d.cell, State: d.situation, Log: d.log, Now: time.Now, HasAdvisor: d.settings.AdvisorAddress != ""})
	d.callers.MaxHeaderBytes = maxHeaderBytes
	d.ready = newServer(http.HandlerFunc(d.serveReady))
	d.metrics = newServer(metricsHandler(d.registry))
	d.jobs = newServer(jobapi.New(jobapi.Options{Jobs: d.cell, HasQueue: d.hasQueue, Log: d.log, Wall: time.Now}))
	d.reloadOnHangup()
	return errors.Join(
		d.serve(d.callers, d.settings.CallerAddress),
		d.serve(d.ready, d.settings.ReadyAddress),
		d.serve(d.metrics, d.settings.MetricsAddress),
		d.serve(d.jobs, d.settings.JobsAddress),
	)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}
}

func (d *daemon) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.WithFields(log.Fields{"event": "server_failed", "address": address}).WithError(err).Error("stopping")
			_ = d.down.Shutdown(fx.ExitCode(1))
		}
	}()
	return nil
}

func (d *daemon) situation() platform.IngressState {
	v := d.cell.View()
	return platform.IngressState{Config: v.Config, Fresh: d.fresh(v), Closing: d.closing.Load()}
}

// hasQueue reports whether a queue is in force, if that is known.
func (d *daemon) hasQueue(name string) (exists, ready bool) {
	v := d.cell.View()
	if !d.fresh(v) {
		return false, false
	}
	return slices.ContainsFunc(v.Config.Routes, func(r port.Route) bool { return r.Queue.Name == name }), true
}

// fresh reports whether the configuration may be relied on.
func (d *daemon) fresh(v *cell.View) bool {
	return v.Config != nil && time.Since(v.ConfigConfirmedAt) < d.settings.ConfigTimeout-configMargin
}

// serveReady answers the balancer.
func (d *daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if v := d.cell.View(); d.closing.Load() || !d.fresh(v) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reloadOnHangup reads the settings again when the platform says that they have
// changed. Addresses and bounds need a restart, which the platform does itself.
func (d *daemon) reloadOnHangup() {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for range hangup {
			s, err := platform.ReadSettings()
			if err != nil {
				d.log.WithField("event", "reload_failed").WithError(err).Error("the settings in force are kept")
				continue
			}
			d.log.WithFields(log.Fields{"event": "reload", "changed": s != d.settings}).Info("settings read")
		}
	}()
}

// stop is the graceful shutdown: the entry becomes unready and the cell is
// given up, the balancer is given time to see it, and requests in progress
// finish.
func (d *daemon) stop(ctx context.Context) error {
	d.closing.Store(true)
	began := time.Now()
	d.log.WithField("event", "stop_begins").Info("draining")
	ctx, cancel := context.WithTimeout(ctx, d.settings.StopTimeout-stopMargin)
	defer cancel()
	err := d.cell.Release(ctx)
	select {
	case <-time.After(balancerDelay - time.Since(began)):
	case <-ctx.Done():
	}
	err = errors.Join(err, d.callers.Shutdown(ctx), d.jobs.Shutdown(ctx), d.ready.Close(), d.metrics.Close(), d.peers.Close())
	d.pool.Close()
	d.loop.Stop()
	d.client.Close()
	d.log.WithFields(log.Fields{"event": "stopped", "took_ms": time.Since(began).Milliseconds()}).Info("stopped")
	return err
}
