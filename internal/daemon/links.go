package daemon

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/link"
	"github.com/bambooyard/bambooyard/rules"
)

const (
	bitsPerByte = 8
	// borrowFactor is the ratio of what is requested from each peer to its equal
	// part of the shortfall. It exceeds 1 because some peers have nothing to lend.
	borrowFactor = 2
)

// metricLinkBytes is the format of a metric's name; its arguments are the
// sending region, the receiving region and the member.
const metricLinkBytes = "link.bytes.%s.%s.%s"

// linkShares holds this daemon's share of each direction of each link, in bytes
// per second. It is owned by the control goroutine.
type linkShares struct {
	links     *traffic.Links
	shares    map[traffic.Direction]*link.Share
	peerCount int
	metrics   metrics.Registry
}

func newLinkShares(t *traffic.Links, r metrics.Registry) *linkShares {
	return &linkShares{links: t, shares: map[traffic.Direction]*link.Share{}, metrics: r}
}

// refresh applies the current links and the sessions of the other daemons, and
// sets the rates of the shares.
func (l *linkShares) refresh(links []rules.Link, peers []string) {
	l.peerCount = len(peers)
	l.updateBilledBytes()
	for _, rule := range links {
		for i, from := range rule.Regions {
			d := traffic.Direction{From: from, To: rule.Regions[(i+1)%len(rule.Regions)]}
			s, ok := l.shares[d]
			if !ok {
				s = link.NewShare(0)
				l.shares[d] = s
			}
			s.SetCapacity(rule.BitsPerSecond / bitsPerByte)
			s.SetPeers(peers)
			s.SetDemand(l.links.Demand(d))
			l.links.SetShare(d, s)
		}
	}
}

// updateBilledBytes updates the metrics of the billed bytes.
func (l *linkShares) updateBilledBytes() {
	for _, line := range l.links.Billed() {
		name := fmt.Sprintf(metricLinkBytes, line.From, line.To, line.Member)
		metrics.GetOrRegisterGauge(name, l.metrics).Update(line.Bytes)
	}
}

// withShortfall returns a copy of a report for one peer, with the rates that
// this daemon wants to borrow from it.
func (l *linkShares) withShortfall(report *peerpb.LoadReport, now time.Time) *peerpb.LoadReport {
	report = proto.CloneOf(report)
	report.Daemons = uint32(l.peerCount + 1)
	for d, s := range l.shares {
		shortfall := s.Shortfall(now)
		requested := min(shortfall, borrowFactor*shortfall/int64(max(1, l.peerCount)))
		if requested > 0 {
			report.Wanted = append(report.Wanted, linkRate(d, requested))
		}
	}
	return report
}

// lend adds to a reply the loans for the rates that the peer's report wants.
func (l *linkShares) lend(r *peerpb.LoadReport, reply *peerpb.LoadReply, now time.Time) {
	wanted := ratesByDirection(r.GetWanted())
	for d, s := range l.shares {
		rate, counted := s.Lend(r.GetSession(), int(r.GetDaemons()), wanted[d], now)
		if rate > 0 {
			reply.Lent = append(reply.Lent, linkRate(d, rate))
		}
		reply.Daemons = uint32(counted)
		l.links.SetShare(d, s)
	}
}

// recordLoans records the loans in a peer's reply to a report sent at sentAt.
func (l *linkShares) recordLoans(reply *peerpb.LoadReply, sentAt time.Time) {
	lent := ratesByDirection(reply.GetLent())
	for d, s := range l.shares {
		s.RecordLoan(reply.GetSession(), int(reply.GetDaemons()), lent[d], sentAt)
	}
}

func linkRate(d traffic.Direction, rate int64) *peerpb.LinkRate {
	return &peerpb.LinkRate{From: d.From, To: d.To, BytesPerSecond: uint64(rate)}
}

func ratesByDirection(list []*peerpb.LinkRate) map[traffic.Direction]int64 {
	rates := make(map[traffic.Direction]int64, len(list))
	for _, r := range list {
		rates[traffic.Direction{From: r.GetFrom(), To: r.GetTo()}] = int64(r.GetBytesPerSecond())
	}
	return rates
}
