package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/claims"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/entry"
	"github.com/bambooyard/bambooyard/internal/operator"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/settings"
	"github.com/bambooyard/bambooyard/internal/target"
	"github.com/bambooyard/bambooyard/internal/traffic"

	"github.com/bambooyard/bambooyard/charts"
)

// Limits of the daemon's HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Module is the daemon as an fx module. It needs settings.Settings and log.Interface.
var Module = fx.Module("daemon",
	fx.Provide(
		control.NewLoop,
		traffic.NewPublisher,
		burn.NewRecorder,
		metrics.NewRegistry,
		target.SystemClock,
		target.NewClient,
		newLinks,
		newSender,
		newPlatform,
		newWorkers,
		newClaims,
		newController,
		newEntry,
		newOperator,
	),
	fx.Invoke(run),
)

func newPlatform(s settings.Settings) *platform.Client {
	return platform.NewClient(s.PlatformAddress, platform.NewHTTPClient())
}

func newWorkers() platform.Workers { return platform.NewWorkers(platform.NewHTTPClient()) }

func newClaims(client *platform.Client) *claims.Grouper { return claims.NewGrouper(client) }

func newLinks(s settings.Settings) *traffic.Links {
	return traffic.NewLinks(s.Region, time.Now, time.Sleep)
}

func newSender(s settings.Settings, p *traffic.Publisher, t *target.Client, l *traffic.Links, o target.Options) *traffic.Sender {
	return traffic.NewSender(traffic.SenderOptions{
		Publisher: p, Targets: t, RunTimes: traffic.NewRunTimes(), Links: l, Region: s.Region,
		Now: o.Now, AfterFunc: o.AfterFunc,
		Retry: func(string) bool { return o.Retry() },
	})
}

func newEntry(c *controller, p *traffic.Publisher, g *claims.Grouper, t *traffic.Sender, b *burn.Recorder, l log.Interface) *entry.Server {
	return entry.NewServer(entry.Options{
		Publisher: p, Claims: g, Sender: t, Gates: entry.NewGates(), Burn: b, Jobs: jobs{c}, Log: l,
		Now:     time.Now,
		Session: func() string { return c.settings.Name },
	})
}

func newOperator(c *controller, client *platform.Client, p *traffic.Publisher, b *burn.Recorder, r metrics.Registry) *operator.Server {
	return operator.NewServer(operator.Options{
		Table: client, Objects: client.Objects(), Publisher: p, Burn: b, Metrics: r, Now: time.Now,
		Status:   c.status,
		Announce: func() { c.loop.Post(c.config.Check) },
	})
}

// parts are what run starts and stops.
type parts struct {
	fx.In

	Settings   settings.Settings
	Log        log.Interface
	Loop       *control.Loop
	Controller *controller
	Claims     *claims.Grouper
	Entry      *entry.Server
	Operator   *operator.Server
	Shutdown   fx.Shutdowner
}

func run(lc fx.Lifecycle, p parts) {
	callers := newHTTPServer(p.Entry.Handler())
	operators := newHTTPServer(p.Operator.Handler())
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
	err := callers.Shutdown(ctx)
	p.Claims.Close()
	err = errors.Join(err, operators.Shutdown(ctx), peers.Close())
	_ = p.Loop.Do(ctx, func() { p.Controller.move(charts.DaemonDrained) })
	p.Controller.pool.Close()
	p.Loop.Stop()
	p.Log.WithField("event", "stopped").Info("stopped")
	return err
}
