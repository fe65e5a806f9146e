package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/route"
)

const (
	// maxReportAge is how long a peer's report counts.
	maxReportAge = 3 * time.Second
	// numberLife is how long the number of a peer's last report is kept.
	numberLife = 5 * time.Minute
)

// serviceRegion names the targets of one service in one region.
type serviceRegion struct{ service, region string }

// loadTable holds this daemon's load and the peers' last reports.
type loadTable struct {
	usages  map[string]*route.Usage // by target address
	own     map[serviceRegion]int   // requests in flight at the last view
	reports map[string]peerReport   // by session
	number  uint64
}

type peerReport struct {
	sequence uint64
	at       time.Time
	inFlight map[serviceRegion]int
	leaving  map[string]bool // names of VMs and addresses of targets
}

func newLoadTable() *loadTable {
	return &loadTable{usages: map[string]*route.Usage{}, own: map[serviceRegion]int{}, reports: map[string]peerReport{}}
}

// usage returns the counter of a target, which outlives snapshots.
func (l *loadTable) usage(address string) *route.Usage {
	u, ok := l.usages[address]
	if !ok {
		u = &route.Usage{}
		l.usages[address] = u
	}
	return u
}

// inFlight sums what the peers reported of a service, in the given region and
// in all others.
func (l *loadTable) inFlight(service, region string) (here, elsewhere int) {
	for _, r := range l.reports {
		for at, n := range r.inFlight {
			switch {
			case at.service != service:
			case at.region == region:
				here += n
			default:
				elsewhere += n
			}
		}
	}
	return here, elsewhere
}

// leaving reports whether a peer named a VM, or the address of a target.
func (l *loadTable) leaving(name string) bool {
	for _, r := range l.reports {
		if r.leaving[name] {
			return true
		}
	}
	return false
}

// take keeps a report unless a later one of the same session is known.
func (l *loadTable) take(r *peerpb.LoadReport, now time.Time) {
	if r.GetSequence() <= l.reports[r.GetSession()].sequence {
		return
	}
	report := peerReport{sequence: r.GetSequence(), at: now, inFlight: map[serviceRegion]int{}, leaving: map[string]bool{}}
	for _, s := range r.GetServices() {
		report.inFlight[serviceRegion{s.GetService(), s.GetRegion()}] += int(s.GetInFlight())
	}
	for _, name := range slices.Concat(r.GetLeavingVms(), r.GetLeavingTargets()) {
		report.leaving[name] = true
	}
	l.reports[r.GetSession()] = report
}

// expire forgets what old reports say. Their numbers are kept for longer, so
// that a late report does not take the place of a newer one.
func (l *loadTable) expire(now time.Time) {
	for session, r := range l.reports {
		switch age := now.Sub(r.at); {
		case age > numberLife:
			delete(l.reports, session)
		case age > maxReportAge:
			r.inFlight, r.leaving = nil, nil
			l.reports[session] = r
		}
	}
}

// quiet reports whether the peers need no report now: nothing is in flight,
// nothing leaves, the revision is known to them and the store answers.
func (c *controller) quiet(now time.Time) bool {
	for _, n := range c.loads.own {
		if n > 0 {
			return false
		}
	}
	busy := len(c.leaving)+len(c.selfReported) > 0 || c.config.Head().Revision != c.reported
	attached := c.keeper.Decide(now).State == membership.Attached
	return !busy && attached && now.Sub(c.reportedAt) < quietInterval
}

// reportLoad tells every peer this daemon's load.
func (c *controller) reportLoad(now time.Time) {
	c.loads.expire(now)
	c.links.refresh(c.config.Document().Rules.Links, c.otherSessions(now))
	if c.quiet(now) {
		return
	}
	c.reportedAt, c.reported = now, c.config.Head().Revision
	self := c.keeper.Self()
	report := c.loadReport(self.ID, now)
	addresses := map[string]bool{}
	for _, s := range c.keeper.Peers(now) {
		if s.ID == self.ID {
			continue
		}
		addresses[s.PeerAddress] = true
		c.sendLoad(s, c.links.ask(report, now))
	}
	c.pool.Retain(addresses)
}

func (c *controller) loadReport(session string, now time.Time) *peerpb.LoadReport {
	c.loads.number++
	report := &peerpb.LoadReport{
		Session:  session,
		Sequence: c.loads.number,
		Revision: int64(c.config.Head().Revision),
	}
	c.addLeaving(report, now)
	c.addLatencies(report, now)
	for at, n := range c.loads.own {
		if n > 0 {
			report.Services = append(report.Services, &peerpb.ServiceLoad{Service: at.service, Region: at.region, InFlight: uint32(n)})
		}
	}
	return report
}

func (c *controller) sendLoad(s membership.Session, report *peerpb.LoadReport) {
	req := &peerpb.Request{Kind: &peerpb.Request_Load{Load: report}}
	askedAt := time.Now()
	control.Async(c.loop, func(ctx context.Context) (*peerpb.Response, error) {
		return c.pool.Call(ctx, s.PeerAddress, req)
	}, func(resp *peerpb.Response, err error) {
		if err != nil {
			return // the peer's session tells whether it is gone
		}
		reply := resp.GetLoad()
		c.keeper.AddEvidence(membership.Evidence{
			Session: reply.GetSession(), Abandoned: reply.GetAbandoned(),
			Revision: document.Revision(reply.GetRevision()), RequestedAt: askedAt,
		})
		c.links.borrowed(reply, askedAt)
		c.noticeRevision(reply.GetRevision())
	})
}

// noticeRevision checks the table at once when a peer is ahead.
func (c *controller) noticeRevision(revision int64) {
	if revision > int64(c.config.Head().Revision) {
		c.config.Check()
	}
}

// handlePeer answers other daemons; it runs on traffic goroutines.
func (c *controller) handlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	switch kind := req.GetKind().(type) {
	case *peerpb.Request_Load:
		return c.handleLoad(ctx, kind.Load)
	case *peerpb.Request_Job:
		return c.handleJob(ctx, kind.Job)
	case *peerpb.Request_Committed:
		return c.handleCommitted(ctx)
	default:
		return peer.Refuse("request kind %T is not known", kind)
	}
}

func (c *controller) handleLoad(ctx context.Context, r *peerpb.LoadReport) *peerpb.Response {
	reply := &peerpb.LoadReply{}
	err := c.loop.Do(ctx, func() {
		now := time.Now()
		c.loads.take(r, now)
		c.noticeRevision(r.GetRevision())
		c.learnLatencies(r.GetLatencies())
		c.links.lend(r, reply, now)
		own := c.keeper.Evidence(now)
		reply.Session, reply.Abandoned = own.Session, own.Abandoned
		reply.Revision = int64(c.config.Head().Revision)
	})
	if err != nil {
		return peer.Refuse("%v", err)
	}
	return &peerpb.Response{Kind: &peerpb.Response_Load{Load: reply}}
}
