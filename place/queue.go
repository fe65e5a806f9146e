package place

import (
	"math"
	"sort"

	"github.com/bambooyard/bambooyard/inventory"
)

// startBucketMS is the width in milliseconds of the buckets of latest start
// times within which the members' quota shares decide the order.
const startBucketMS = 2_000

// candidate is a pending task with its estimates.
type candidate struct {
	Demand
	size      inventory.Resources
	runTimeMS int64
	// latestStartUnixMS is the latest start that meets the deadline, in
	// milliseconds since 1970 UTC.
	latestStartUnixMS int64
	// deadlineUnreachable is set when even the optimistic run time misses the
	// deadline.
	deadlineUnreachable bool
	// quotaShare is the member's usage, with this task and those before it in
	// the order, as a share of the member's quota.
	quotaShare float64
	// ignoreFailedOn is set when the task has failed on every machine, so that
	// it may be retried on one of them.
	ignoreFailedOn bool
}

// orderPending returns the pending tasks in the order in which they should
// start: urgent tasks, then tasks that can meet their deadline by the latest
// start and fairly among members, then tasks that cannot meet it.
func orderPending(pending []Demand, in *Input, est *estimator, usage *quotaUsage, largest inventory.Resources) []candidate {
	all := make([]candidate, len(pending))
	for i := range pending {
		all[i] = newCandidate(&pending[i], in.NowUnixMS, est, largest)
	}
	sort.Slice(all, func(i, j int) bool { return startsBefore(&all[i], &all[j]) })
	assignQuotaShares(all, in, usage)
	sort.SliceStable(all, func(i, j int) bool { return startsBeforeByShare(&all[i], &all[j]) })
	return all
}

func newCandidate(d *Demand, now int64, est *estimator, largest inventory.Resources) candidate {
	n := candidate{Demand: *d, size: est.size(d, largest), latestStartUnixMS: math.MaxInt64}
	n.runTimeMS = max(est.runTimeMS(d)-d.DoneMS, 0)
	if d.DeadlineUnixMS > 0 {
		n.latestStartUnixMS = d.DeadlineUnixMS - n.runTimeMS
		n.deadlineUnreachable = now+max(est.optimisticRunTimeMS(d)-d.DoneMS, 0) > d.DeadlineUnixMS
	}
	return n
}

func startsBefore(a, b *candidate) bool {
	switch {
	case a.Urgent != b.Urgent:
		return a.Urgent
	case a.deadlineUnreachable != b.deadlineUnreachable:
		return b.deadlineUnreachable
	case a.latestStartUnixMS != b.latestStartUnixMS:
		return a.latestStartUnixMS < b.latestStartUnixMS
	}
	return HigherPriority(a.Demand, b.Demand)
}

// startsBeforeByShare orders like startsBefore, but within a bucket of latest
// start times the member with the smaller quota share goes first.
func startsBeforeByShare(a, b *candidate) bool {
	switch {
	case a.Urgent != b.Urgent:
		return a.Urgent
	case a.deadlineUnreachable != b.deadlineUnreachable:
		return b.deadlineUnreachable
	case startBucket(a) != startBucket(b):
		return startBucket(a) < startBucket(b)
	}
	return a.quotaShare < b.quotaShare
}

func startBucket(c *candidate) int64 { return c.latestStartUnixMS / startBucketMS }

// assignQuotaShares sets the quota share of each candidate, in order. A member
// without a quota is measured against the shard's capacity.
func assignQuotaShares(all []candidate, in *Input, usage *quotaUsage) {
	var capacity int64
	for i := range in.Machines {
		capacity += in.Machines[i].Capacity.MilliProcessors
	}
	queued := make(map[string]int64, len(usage.used))
	for i := range all {
		c := &all[i]
		queued[c.Member] += c.Resources.MilliProcessors
		allowed, ok := usage.limit[c.Member]
		if !ok {
			allowed = capacity
		}
		c.quotaShare = float64(usage.used[c.Member]+queued[c.Member]) / float64(max(allowed, 1))
	}
}
