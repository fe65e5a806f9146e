package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/burnstore"
	"github.com/bambooyard/bambooyard/internal/claims"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/entry"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/operator"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/settings"
	"github.com/bambooyard/bambooyard/internal/traffic"
)

// Module is the daemon as an fx module. It requires a settings.Settings and a
// log.Interface.
var Module = fx.Module("daemon",
	fx.Provide(
		control.NewLoop,
		traffic.NewPublisher,
		burn.NewRecorder,
		metrics.NewRegistry,
		newGate,
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
	fx.Invoke(registerControlMetrics, run),
)

func newPlatform(s settings.Settings) *platform.Client {
	return platform.NewClient(s.PlatformAddress, platform.NewHTTPClient())
}

func newWorkers() platform.Workers { return platform.NewWorkers(platform.NewHTTPClient()) }

// newLinks returns the link budgets of the daemon's region.
func newLinks(s settings.Settings) *traffic.Links {
	return traffic.NewLinks(s.Region, time.Now, time.Sleep)
}

func newSender(s settings.Settings, p *traffic.Publisher, l *traffic.Links) *traffic.Sender {
	return traffic.NewSystemSender(s.Region, p, l)
}

func newClaims(client *platform.Client, publisher *traffic.Publisher, registry metrics.Registry, logger log.Interface) *claims.Service {
	return claims.NewService(claims.ServiceOptions{
		Table: client, Objects: client.Objects(), Log: logger, Metrics: claims.NewMetrics(registry),
		Daemons:       func() int { return publisher.Load().Daemons },
		ShouldCollect: func() bool { return publisher.Load().CollectsClaims },
	})
}

func newEntry(c *controller, publisher *traffic.Publisher, claimService *claims.Service, sender *traffic.Sender, observer *requestMetrics, registry metrics.Registry, g *gate.Gate, logger log.Interface) *entry.Server {
	return entry.NewServer(entry.Options{
		Gate:      g,
		Publisher: publisher, Claims: claimService, Sender: sender, Limiters: entry.NewLimiters(entry.NewMetrics(registry)), Observer: observer, Jobs: jobs{c}, Log: logger,
		Now: time.Now,
	})
}

func newOperator(c *controller, client *platform.Client, publisher *traffic.Publisher, store *burnstore.Store, registry metrics.Registry, g *gate.Gate) *operator.Server {
	return operator.NewServer(operator.Options{
		Gate: g, DocumentMemoryBytes: int64(documentShare * float64(memoryBytes(c.settings))),
		Table: client, Objects: client.Objects(), Publisher: publisher, Burn: burnReport(store, publisher), Metrics: registry, Now: time.Now,
		NewID:      rand.Text,
		Status:     c.status,
		Targets:    c.targets,
		Committed:  c.committed,
		Token:      c.settings.OperatorToken,
		OnAccepted: func() { c.loop.Post(c.config.Check) },
	})
}

func newBurnStore(client *platform.Client, r *burn.Recorder) *burnstore.Store {
	return burnstore.NewStore(burnstore.Options{
		Table: client, Objects: client.Objects(), Recorder: r, Instance: rand.Text(), Now: time.Now,
	})
}

// burnReport returns a function that reports on the stored counts of all
// daemons under the objectives in force.
func burnReport(store *burnstore.Store, p *traffic.Publisher) operator.BurnReport {
	return func(ctx context.Context) (burn.Report, *burn.Ledger, error) {
		ledger, err := store.Load(ctx)
		if err != nil {
			return burn.Report{}, nil, err
		}
		return burn.NewReport(ledger, p.Load().Document.Rules.Objectives, time.Now()), ledger, nil
	}
}
