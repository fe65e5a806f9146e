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
	// askFactor is how much more is asked of each peer than its equal part of
	// what is wanted, since some have nothing to lend.
	askFactor = 2
)

// metricLinkBytes is completed with both regions and the member.
const metricLinkBytes = "link.bytes.%s.%s.%s"

// linkShares holds this daemon's share of each direction of each link. It is
// owned by the control goroutine.
type linkShares struct {
	traffic *traffic.Links
	shares  map[traffic.Direction]*link.Share
	others  int
	metrics metrics.Registry
}

func newLinkShares(t *traffic.Links, r metrics.Registry) *linkShares {
	return &linkShares{traffic: t, shares: map[traffic.Direction]*link.Share{}, metrics: r}
}

// refresh takes in the links and daemons of now and sets the rates.
func (l *linkShares) refresh(links []rules.Link, others []string) {
	l.others = len(others)
	l.reportBill()
	for _, k := range links {
		for i, from := range k.Regions {
			d := traffic.Direction{From: from, To: k.Regions[(i+1)%len(k.Regions)]}
			s, ok := l.shares[d]
			if !ok {
				s = link.NewShare(0)
				l.shares[d] = s
			}
			s.SetCapacity(k.BitsPerSecond / bitsPerByte)
			s.SetPeers(others)
			s.SetDemand(l.traffic.Demand(d))
			l.traffic.SetShare(d, s)
		}
	}
}

// reportBill brings the bill's metrics up to date.
func (l *linkShares) reportBill() {
	for _, line := range l.traffic.Billed() {
		name := fmt.Sprintf(metricLinkBytes, line.From, line.To, line.Member)
		metrics.GetOrRegisterGauge(name, l.metrics).Update(line.Bytes)
	}
}

// ask completes a copy of a report for one peer with the rates to borrow of it.
func (l *linkShares) ask(report *peerpb.LoadReport, now time.Time) *peerpb.LoadReport {
	report = proto.CloneOf(report)
	report.Daemons = uint32(l.others + 1)
	for d, s := range l.shares {
		wanted := s.Shortfall(now)
		part := min(wanted, askFactor*wanted/int64(max(1, l.others)))
		if part > 0 {
			report.Wanted = append(report.Wanted, linkRate(d, part))
		}
	}
	return report
}

// lend answers a peer's report.
func (l *linkShares) lend(r *peerpb.LoadReport, reply *peerpb.LoadReply, now time.Time) {
	wanted := ratesOf(r.GetWanted())
	for d, s := range l.shares {
		rate, counted := s.Lend(r.GetSession(), int(r.GetDaemons()), wanted[d], now)
		if rate > 0 {
			reply.Lent = append(reply.Lent, linkRate(d, rate))
		}
		reply.Daemons = uint32(counted)
		l.traffic.SetShare(d, s)
	}
}

// borrowed takes in a peer's answer to a report that was sent at askedAt.
func (l *linkShares) borrowed(reply *peerpb.LoadReply, askedAt time.Time) {
	lent := ratesOf(reply.GetLent())
	for d, s := range l.shares {
		s.RecordLoan(reply.GetSession(), int(reply.GetDaemons()), lent[d], askedAt)
	}
}

func linkRate(d traffic.Direction, rate int64) *peerpb.LinkRate {
	return &peerpb.LinkRate{From: d.From, To: d.To, BytesPerSecond: uint64(rate)}
}

func ratesOf(list []*peerpb.LinkRate) map[traffic.Direction]int64 {
	rates := make(map[traffic.Direction]int64, len(list))
	for _, r := range list {
		rates[traffic.Direction{From: r.GetFrom(), To: r.GetTo()}] = int64(r.GetBytesPerSecond())
	}
	return rates
}
