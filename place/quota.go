package place

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ShardCapacity is the capacity of one shard for batch tasks.
type ShardCapacity struct {
	Shard string
	// MilliProcessors is the sum over the shard's VMs.
	MilliProcessors int64
	// LargestMilliProcessors is the capacity of the shard's largest VM.
	LargestMilliProcessors int64
}

// DivideQuota divides a member's quota among shards. The parts add up to the
// quota, so that shards need not coordinate. It makes few large parts rather
// than many small ones: every part is at least as large as the largest VM where
// the quota allows, and which shards get a part depends on the member's name.
func DivideQuota(member string, quota int64, shards []ShardCapacity) map[string]int64 {
	parts := make(map[string]int64, len(shards))
	if len(shards) == 0 {
		return parts
	}
	ranked := rankShards(member, shards)
	var largest int64 = 1
	for _, s := range shards {
		largest = max(largest, s.LargestMilliProcessors)
	}
	count := int(min(max(quota/largest, 1), int64(len(ranked))))
	var total int64
	for _, s := range ranked[:count] {
		total += s.MilliProcessors
	}
	remaining := quota
	for _, s := range ranked[:count] {
		part := remaining
		if total > 0 {
			part = int64(float64(remaining) * float64(s.MilliProcessors) / float64(total))
		}
		parts[s.Shard] = part
		remaining -= part
		total -= s.MilliProcessors
	}
	parts[ranked[count-1].Shard] += remaining
	return parts
}

// rankShards orders the shards for a member by a hash of both names.
func rankShards(member string, shards []ShardCapacity) []ShardCapacity {
	ranked := append([]ShardCapacity(nil), shards...)
	sort.Slice(ranked, func(i, j int) bool {
		a := xxhash.Sum64String(member + "\x00" + ranked[i].Shard)
		b := xxhash.Sum64String(member + "\x00" + ranked[j].Shard)
		if a != b {
			return a < b
		}
		return ranked[i].Shard < ranked[j].Shard
	})
	return ranked
}

// quotaUsage tracks the members' usage against their quotas during one plan, in
// thousandths of a processor.
type quotaUsage struct {
	limit map[string]int64
	used  map[string]int64
}

func newQuotaUsage(in *Input) *quotaUsage {
	u := &quotaUsage{limit: make(map[string]int64, len(in.Quotas)), used: map[string]int64{}}
	for _, q := range in.Quotas {
		u.limit[q.Member] = q.MilliProcessors
	}
	for i := range in.Running {
		u.add(&in.Running[i].Demand)
	}
	return u
}

// allows reports whether the member's quota admits the task in addition.
func (u *quotaUsage) allows(d *Demand) bool {
	quota, ok := u.limit[d.Member]
	return !ok || u.used[d.Member]+d.Resources.MilliProcessors <= quota
}

func (u *quotaUsage) add(d *Demand) { u.used[d.Member] += d.Resources.MilliProcessors }
