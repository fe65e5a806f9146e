package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/burnstore"
	"github.com/bambooyard/bambooyard/internal/claims"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/entry"
	"github.com/bambooyard/bambooyard/internal/operator"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/settings"
	"github.com/bambooyard/bambooyard/internal/traffic"

	"github.com/bambooyard/bambooyard/charts"
)

// Limits of the daemon's HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 256 << 10

	operatorReadTimeout  = 30 * time.Second
	operatorWriteTimeout = time.Minute
)

// Module is the daemon as an fx module. It needs settings.Settings and log.Interface.
var Module = fx.Module("daemon",
	fx.Provide(
		control.NewLoop,
		traffic.NewPublisher,
		burn.NewRecorder,
		metrics.NewRegistry,
		newLinks,
		newSender,
		newPlatform,
		newWorkers,
		newClaims,
		newController,
		newEntry,
		newOperator,
		newBurnStore,
		newRequestMetrics,
	),
	fx.Invoke(registerControl, run),
)

func newPlatform(s settings.Settings) *platform.Client {
	return platform.NewClient(s.PlatformAddress, platform.NewHTTPClient())
}

func newWorkers() platform.Workers { return platform.NewWorkers(platform.NewHTTPClient()) }

func newLinks(s settings.Settings) *traffic.Links {
	return traffic.NewLinks(s.Region, time.Now, time.Sleep)
}

func newSender(s settings.Settings, p *traffic.Publisher, l *traffic.Links) *traffic.Sender {
	return traffic.NewSystemSender(s.Region, p, l)
}

func newClaims(client *platform.Client, p *traffic.Publisher, r metrics.Registry, l log.Interface) *claims.Service {
	return claims.NewService(claims.ServiceOptions{
		Table: client, Objects: client.Objects(), Log: l, Metrics: claims.NewMetrics(r),
		Daemons: func() int { return p.Load().Daemons },
		Sweeps:  func() bool { return p.Load().Sweeps },
	})
}

func newEntry(c *controller, p *traffic.Publisher, g *claims.Service, t *traffic.Sender, m *requestMetrics, r metrics.Registry, l log.Interface) *entry.Server {
	return entry.NewServer(entry.Options{
		Publisher: p, Claims: g, Sender: t, Gates: entry.NewGates(entry.NewMetrics(r)), Observer: m, Jobs: jobs{c}, Log: l,
		Now: time.Now,
	})
}

func newOperator(c *controller, client *platform.Client, p *traffic.Publisher, b *burnstore.Store, r metrics.Registry) *operator.Server {
	return operator.NewServer(operator.Options{
		Table: client, Objects: client.Objects(), Publisher: p, Burn: burnReport(b, p), Metrics: r, Now: time.Now,
		NewID:    rand.Text,
		Status:   c.status,
		Targets:  c.targets,
		Token:    c.settings.OperatorToken,
		Announce: func() { c.loop.Post(c.config.Check) },
	})
}

func newBurnStore(client *platform.Client, r *burn.Recorder) *burnstore.Store {
	return burnstore.NewStore(burnstore.Options{
		Table: client, Objects: client.Objects(), Recorder: r, Instance: rand.Text(), Now: time.Now,
	})
}

func burnReport(store *burnstore.Store, p *traffic.Publisher) operator.BurnReport {
	return func(ctx context.Context) (burn.Report, *burn.Ledger, error) {
		ledger, err := store.Load(ctx)
		if err != nil {
			return burn.Report{}, nil, err
		}
		return burn.NewReport(ledger, p.Load().Document.Rules.Objectives, time.Now()), ledger, nil
	}
}

// parts are what run starts and stops.
type parts struct {
	fx.In

	Settings   settings.Settings
	Log        log.Interface
	Loop       *control.Loop
	Controller *controller
	Entry      *entry.Server
	Operator   *operator.Server
	Burn       *burnstore.Store
	Recorder   *burn.Recorder
	Publisher  *traffic.Publisher
	Shutdown   fx.Shutdowner
}

func run(lc fx.Lifecycle, p parts) {
	callers := newHTTPServer(p.Entry.Handler())
	operators := newHTTPServer(p.Operator.Handler())
	operators.ReadTimeout, operators.WriteTimeout = operatorReadTimeout, operatorWriteTimeout
	var peers *peer.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", p.Settings.PeerAddress)
			if err != nil {
				return err
			}
			peers = peer.NewServer(listener, p.Controller.handlePeer)
			go peers.Serve()
			go p.Loop.Run()
			p.Controller.start()
			p.keepBurn()
			return errors.Join(
				serve(callers, p.Settings.CallerAddress, p),
				serve(operators, p.Settings.OperatorAddress, p),
			)
		},
		OnStop: func(ctx context.Context) error {
			return p.stop(ctx, callers, operators, peers)
		},
	})
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func serve(server *http.Server, address string, p parts) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.WithField("event", "server_failed").WithError(err).Error(address)
			_ = p.Shutdown.Shutdown(fx.ExitCode(1))
		}
	}()
	return nil
}

// stop is the graceful shutdown: the daemon becomes unready, the balancer is
// given time to see it, requests in progress finish, and only then does
// control end.
func (p parts) stop(ctx context.Context, callers, operators *http.Server, peers *peer.Server) error {
	p.Log.WithField("event", "drain_begins").Info("draining")
	if err := p.Loop.Do(ctx, p.Controller.drain); err != nil {
		return err
	}
	time.Sleep(p.Settings.DrainDelay)
	ctx, cancel := context.WithTimeout(ctx, p.Settings.DrainTimeout)
	defer cancel()
	err := p.Entry.Drain(ctx, callers)
	err = errors.Join(err, p.Burn.Flush(ctx))
	err = errors.Join(err, operators.Shutdown(ctx), peers.Close())
	p.Controller.handOver(ctx)
	_ = p.Loop.Do(ctx, func() { p.Controller.move(charts.DaemonDrained) })
	p.Controller.pool.Close()
	p.Loop.Stop()
	if err := p.Controller.keeper.Release(ctx); err != nil {
		p.Log.WithField("event", "session_not_released").WithError(err).Warn("the session runs out by itself")
	}
	p.Log.WithField("event", "stopped").Info("stopped")
	return err
}
