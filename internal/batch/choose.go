package batch

import (
	"context"
	"encoding/json"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// sampledShards is the maximum number of shards whose load is read for one job.
const sampledShards = 8

// minShardWeight keeps a full shard selectable, in thousandths of a processor.
const minShardWeight = 100

// shardWeight returns the relative probability of choosing a shard. It grows with
// the shard's free capacity and shrinks with its pending demand.
func shardWeight(l shard.Load) float64 {
	free := float64(max(l.FreeMilliProcessors, 0))
	return free*free/(free+float64(max(l.PendingMilliProcessors, 0))+1) + minShardWeight
}

// sampleShards returns up to sampledShards of the names. The selection depends only
// on the job ID.
func sampleShards(job string, names []string) []string {
	if len(names) <= sampledShards {
		return names
	}
	ranked := append([]string(nil), names...)
	sort.Slice(ranked, func(i, j int) bool {
		return xxhash.Sum64String(job+"\x00"+ranked[i]) < xxhash.Sum64String(job+"\x00"+ranked[j])
	})
	return ranked[:sampledShards]
}

// chooseShard selects a shard by weighted rendezvous hashing, so that jobs which see
// the same stale loads still spread in proportion to the weights.
func chooseShard(job string, names []string, loads []shard.Load) string {
	best, bestScore := "", math.Inf(1)
	for i, name := range names {
		h := xxhash.Sum64String(job + "\x00" + name)
		uniform := (float64(h>>11) + 1) / (1 << 53)
		score := -math.Log(uniform) / shardWeight(loads[i])
		if best == "" || score < bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// readLoads reads the loads from the shards' head rows. A shard without a head row
// counts as having no load.
func readLoads(ctx context.Context, table platform.Table, names []string) ([]shard.Load, error) {
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = platform.ShardHeadKey(name)
	}
	rows, err := table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	loads := make([]shard.Load, len(names))
	for i, row := range rows {
		var head shard.Head
		if row.Version != 0 && json.Unmarshal(row.Value, &head) == nil {
			loads[i] = head.Load
		}
	}
	return loads, nil
}
