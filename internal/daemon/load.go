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
	// maxReportAge is how long a peer's report is taken into account.
	maxReportAge = 3 * time.Second
	// sequenceRetention is how long the sequence number of a peer's last report
	// is kept.
	sequenceRetention = 5 * time.Minute
)

// serviceRegion identifies the targets of one service in one region.
type serviceRegion struct{ service, region string }

// loadTable holds this daemon's load and the last report of each peer. It is
// owned by the control goroutine.
type loadTable struct {
	usages      map[string]*route.Usage // by target address
	ownInFlight map[serviceRegion]int   // requests in flight when the last snapshot was built
	reports     map[string]peerReport   // by session
	sequence    uint64                  // of this daemon's last report
}

// peerReport is the content of a peer's last report.
type peerReport struct {
	sequence uint64
	at       time.Time
	inFlight map[serviceRegion]int
	leaving  map[string]bool // names of VMs and addresses of targets
}

func newLoadTable() *loadTable {
	return &loadTable{usages: map[string]*route.Usage{}, ownInFlight: map[serviceRegion]int{}, reports: map[string]peerReport{}}
}

// usage returns the usage counters of a target. They outlive snapshots.
func (l *loadTable) usage(address string) *route.Usage {
	u, ok := l.usages[address]
	if !ok {
		u = &route.Usage{}
		l.usages[address] = u
	}
	return u
}

// peersInFlight returns the requests in flight that the peers reported for a
// service, in the given region and in all others.
func (l *loadTable) peersInFlight(service, region string) (local, remote int) {
	for _, r := range l.reports {
		for key, n := range r.inFlight {
			switch {
			case key.service != service:
			case key.region == region:
				local += n
			default:
				remote += n
			}
		}
	}
	return local, remote
}

// leaving reports whether a peer reported the VM name or target address as
// leaving.
func (l *loadTable) leaving(name string) bool {
	for _, r := range l.reports {
		if r.leaving[name] {
			return true
		}
	}
	return false
}

// record stores a report unless one of the same session with an equal or
// higher sequence number is known.
func (l *loadTable) record(r *peerpb.LoadReport, now time.Time) {
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

// expire clears the content of reports older than maxReportAge. Their sequence
// numbers are kept for longer, so that a delayed report does not replace a
// newer one.
func (l *loadTable) expire(now time.Time) {
	for session, r := range l.reports {
		switch age := now.Sub(r.at); {
		case age > sequenceRetention:
			delete(l.reports, session)
		case age > maxReportAge:
			r.inFlight, r.leaving = nil, nil
			l.reports[session] = r
		}
	}
}

// canSkipReport reports whether the peers need no report now: nothing is in
// flight or leaving, they have been sent the revision, the session is attached
// to the store, and the last report is younger than idleReportInterval.
func (c *controller) canSkipReport(now time.Time) bool {
	for _, n := range c.loadTable.ownInFlight {
		if n > 0 {
			return false
		}
	}
	changed := len(c.leavingVMs)+len(c.selfReported) > 0 || c.config.Head().Revision != c.lastReportRevision
	attached := c.sessions.Decide(now).State == membership.Attached
	return !changed && attached && now.Sub(c.lastReportAt) < idleReportInterval
}

// reportLoad sends this daemon's load to every peer and closes the connections
// to daemons that are no longer peers.
func (c *controller) reportLoad(now time.Time) {
	c.loadTable.expire(now)
	c.linkShares.refresh(c.config.Document().Rules.Links, c.otherSessions(now))
	if c.canSkipReport(now) {
		return
	}
	c.lastReportAt, c.lastReportRevision = now, c.config.Head().Revision
	self := c.sessions.Self()
	report := c.loadReport(self.ID, now)
	addresses := map[string]bool{}
	for _, s := range c.sessions.Peers(now) {
		if s.ID == self.ID {
			continue
		}
		addresses[s.PeerAddress] = true
		c.sendLoad(s, c.linkShares.withShortfall(report, now))
	}
	c.pool.Retain(addresses)
}

// loadReport builds the part of a load report that is the same for all peers.
func (c *controller) loadReport(session string, now time.Time) *peerpb.LoadReport {
	c.loadTable.sequence++
	report := &peerpb.LoadReport{
		Session:  session,
		Sequence: c.loadTable.sequence,
		Revision: int64(c.config.Head().Revision),
	}
	c.addLeaving(report, now)
	c.addLatencies(report, now)
	for key, n := range c.loadTable.ownInFlight {
		if n > 0 {
			report.Services = append(report.Services, &peerpb.ServiceLoad{Service: key.service, Region: key.region, InFlight: uint32(n)})
		}
	}
	return report
}

// sendLoad sends a report to one peer and evaluates the reply: evidence for
// this daemon's session, loans of link rate and the peer's revision.
func (c *controller) sendLoad(s membership.Session, report *peerpb.LoadReport) {
	req := &peerpb.Request{Kind: &peerpb.Request_Load{Load: report}}
	sentAt := time.Now()
	control.Async(c.loop, func(ctx context.Context) (*peerpb.Response, error) {
		return c.pool.Call(ctx, s.PeerAddress, req)
	}, func(resp *peerpb.Response, err error) {
		if err != nil {
			return // the peer's session row decides whether it is lost
		}
		reply := resp.GetLoad()
		c.sessions.AddEvidence(membership.Evidence{
			Session: reply.GetSession(), Abandoned: reply.GetAbandoned(),
			Revision: document.Revision(reply.GetRevision()), RequestedAt: sentAt,
		})
		c.linkShares.recordLoans(reply, sentAt)
		c.checkIfBehind(reply.GetRevision())
	})
}

// checkIfBehind reads the configuration head at once when a peer has a newer
// revision.
func (c *controller) checkIfBehind(revision int64) {
	if revision > int64(c.config.Head().Revision) {
		c.config.Check()
	}
}

// handlePeer answers requests of other daemons. It runs on the goroutines of
// the peer server.
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
		c.loadTable.record(r, now)
		c.checkIfBehind(r.GetRevision())
		c.observeLatencies(r.GetLatencies())
		c.linkShares.lend(r, reply, now)
		own := c.sessions.Evidence(now)
		reply.Session, reply.Abandoned = own.Session, own.Abandoned
		reply.Revision = int64(c.config.Head().Revision)
	})
	if err != nil {
		return peer.Refuse("%v", err)
	}
	return &peerpb.Response{Kind: &peerpb.Response_Load{Load: reply}}
}
