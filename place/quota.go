package place

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ShardCapacity is what the VMs of one shard can give to batch tasks.
type ShardCapacity struct {
	Shard string
	// MilliProcessors is the sum over the shard's VMs.
	MilliProcessors int64
	// LargestMilliProcessors is that of the shard's largest VM.
	LargestMilliProcessors int64
}

// DivideQuota divides a member's quota among shards. The parts add up to the
// quota, so that the shards need not ask each other. Few large parts are made
// rather than many small ones: every part holds at least the largest VM where
// the quota allows, and which shards get one depends on the member's name.
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
	left := quota
	for _, s := range ranked[:count] {
		part := left
		if total > 0 {
			part = int64(float64(left) * float64(s.MilliProcessors) / float64(total))
		}
		parts[s.Shard] = part
		left -= part
		total -= s.MilliProcessors
	}
	parts[ranked[count-1].Shard] += left
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

// holdings counts what members hold against their quotas during one plan.
type holdings struct {
	quota map[string]int64
	held  map[string]int64
}

func newHoldings(in *Input) *holdings {
	h := &holdings{quota: make(map[string]int64, len(in.Quotas)), held: map[string]int64{}}
	for _, q := range in.Quotas {
		h.quota[q.Member] = q.MilliProcessors
	}
	for i := range in.Running {
		h.take(&in.Running[i].Demand)
	}
	return h
}

// allows reports whether the member may hold the task as well.
func (h *holdings) allows(d *Demand) bool {
	quota, ok := h.quota[d.Member]
	return !ok || h.held[d.Member]+d.Resources.MilliProcessors <= quota
}

func (h *holdings) take(d *Demand) { h.held[d.Member] += d.Resources.MilliProcessors }
