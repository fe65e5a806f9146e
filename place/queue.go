package place

import (
	"math"
	"sort"

	"github.com/bambooyard/bambooyard/inventory"
)

// shareBucketMS is the span of latest start times in milliseconds within which
// the members' shares decide the order.
const shareBucketMS = 2_000

// candidate is a pending task with what is expected of it.
type candidate struct {
	Demand
	size      inventory.Resources
	runTimeMS int64
	// latestStartUnixMS is the last time to start and meet the deadline.
	latestStartUnixMS int64
	// late is set when the deadline is surely out of reach.
	late bool
	// share is what the member holds, with this task and those before it, of
	// what it may hold.
	share float64
	// anywhere is set when the task has failed on every machine there is, so
	// that it may go to one of them again.
	anywhere bool
}

// queue returns the pending tasks in the order in which they are to start:
// urgent work, then work that can meet its deadline by the latest start, with
// turns among members, then work that is late already.
func queue(pending []Demand, in *Input, c *corrections, h *holdings, largest inventory.Resources) []candidate {
	all := make([]candidate, len(pending))
	for i := range pending {
		all[i] = newCandidate(&pending[i], in.NowUnixMS, c, largest)
	}
	sort.Slice(all, func(i, j int) bool { return before(&all[i], &all[j]) })
	giveShares(all, in, h)
	sort.SliceStable(all, func(i, j int) bool { return beforeByShare(&all[i], &all[j]) })
	return all
}

func newCandidate(d *Demand, now int64, c *corrections, largest inventory.Resources) candidate {
	n := candidate{Demand: *d, size: c.size(d, largest), latestStartUnixMS: math.MaxInt64}
	n.runTimeMS = max(c.runTimeMS(d)-d.DoneMS, 0)
	if d.DeadlineUnixMS > 0 {
		n.latestStartUnixMS = d.DeadlineUnixMS - n.runTimeMS
		n.late = now+max(c.leastRunTimeMS(d)-d.DoneMS, 0) > d.DeadlineUnixMS
	}
	return n
}

func before(a, b *candidate) bool {
	switch {
	case a.Urgent != b.Urgent:
		return a.Urgent
	case a.late != b.late:
		return b.late
	case a.latestStartUnixMS != b.latestStartUnixMS:
		return a.latestStartUnixMS < b.latestStartUnixMS
	}
	return HigherPriority(a.Demand, b.Demand)
}

// beforeByShare is before, but within a span of latest start times the member
// that holds less of its share goes first.
func beforeByShare(a, b *candidate) bool {
	switch {
	case a.Urgent != b.Urgent:
		return a.Urgent
	case a.late != b.late:
		return b.late
	case bucket(a) != bucket(b):
		return bucket(a) < bucket(b)
	}
	return a.share < b.share
}

func bucket(c *candidate) int64 { return c.latestStartUnixMS / shareBucketMS }

// giveShares gives each candidate, in order, its member's share.
func giveShares(all []candidate, in *Input, h *holdings) {
	var capacity int64
	for i := range in.Machines {
		capacity += in.Machines[i].Capacity.MilliProcessors
	}
	sum := make(map[string]int64, len(h.held))
	for i := range all {
		c := &all[i]
		sum[c.Member] += c.Resources.MilliProcessors
		allowed, ok := h.quota[c.Member]
		if !ok {
			allowed = capacity
		}
		c.share = float64(h.held[c.Member]+sum[c.Member]) / float64(max(allowed, 1))
	}
}
