package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/burnstore"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/entry"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/operator"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/settings"
)

// Limits of the daemon's HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 256 << 10

	operatorReadTimeout  = 30 * time.Second
	operatorWriteTimeout = time.Minute
)

// components are the dependencies that run starts and stops.
type components struct {
	fx.In

	Settings   settings.Settings
	Log        log.Interface
	Loop       *control.Loop
	Gate       *gate.Gate
	Controller *controller
	Entry      *entry.Server
	Operator   *operator.Server
	Burn       *burnstore.Store
	Shutdown   fx.Shutdowner
}

func run(lc fx.Lifecycle, p components) {
	callers := p.newHTTPServer(p.Entry.Handler())
	operators := p.newHTTPServer(p.Operator.Handler())
	operators.ReadTimeout, operators.WriteTimeout = operatorReadTimeout, operatorWriteTimeout
	var peers *peer.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := p.Gate.Listen(p.Settings.PeerAddress, listenerPeers)
			if err != nil {
				return err
			}
			peers = peer.NewServer(listener, p.Controller.handlePeer, p.Log)
			go peers.Serve()
			go p.Loop.Run()
			p.Controller.start()
			p.scheduleBurnJobs()
			return errors.Join(
				p.serve(callers, p.Settings.CallerAddress, listenerCallers),
				p.serve(operators, p.Settings.OperatorAddress, listenerOperators),
			)
		},
		OnStop: func(ctx context.Context) error {
			return p.stop(ctx, callers, operators, peers)
		},
	})
}

func (p components) newHTTPServer(h http.Handler) *http.Server {
	server := p.Gate.Server(h)
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = readHeaderTimeout, idleTimeout, maxHeaderBytes
	return server
}

func (p components) serve(server *http.Server, address, name string) error {
	listener, err := p.Gate.Listen(address, name)
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

// stop shuts the daemon down gracefully. It becomes unready, waits for the
// balancer to notice, lets the requests in flight finish and the shards be
// released, and only then stops the control loop and releases the session.
func (p components) stop(ctx context.Context, callers, operators *http.Server, peers *peer.Server) error {
	p.Log.WithField("event", "drain_begins").Info("draining")
	if err := p.Loop.Do(ctx, p.Controller.drain); err != nil {
		return err
	}
	time.Sleep(p.Settings.DrainDelay)
	ctx, cancel := context.WithTimeout(ctx, p.Settings.DrainTimeout)
	defer cancel()
	err := p.Entry.Drain(ctx, callers)
	if err := p.Burn.Flush(ctx); err != nil {
		p.Log.WithField("event", "burn_flush_failed").WithError(err).Warn("burn counts since the last flush are lost")
	}
	err = errors.Join(err, operators.Shutdown(ctx), peers.Close())
	p.Controller.waitShardsReleased(ctx)
	_ = p.Loop.Do(ctx, func() { p.Controller.transition(charts.DaemonDrained) })
	p.Controller.pool.Close()
	p.Loop.Stop()
	if err := p.Controller.sessions.Release(ctx); err != nil {
		p.Log.WithField("event", "session_not_released").WithError(err).Warn("session not released; it ends at its expiry")
	}
	p.Log.WithField("event", "stopped").Info("stopped")
	return err
}
