package batch

import (
	"context"
	"encoding/json"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooyard/bambooyard/internal/platform"
)

// sampledShards bounds the shards whose load is read for one job.
const sampledShards = 8

// minShardWeight keeps a full shard a candidate, in thousandths of a processor.
const minShardWeight = 100

// Load is what a shard's head row tells of its free processors. It lags.
type Load struct {
	// FreeMilliProcessors is not committed, in thousandths of a processor.
	FreeMilliProcessors int64 `json:"free_milli_processors"`
	// PendingMilliProcessors is asked for by the tasks that wait.
	PendingMilliProcessors int64 `json:"pending_milli_processors"`
}

// weight is the chance of a shard relative to others: what is free, and less
// the more waits for it.
func (l Load) weight() float64 {
	free := float64(max(l.FreeMilliProcessors, 0))
	return free*free/(free+float64(max(l.PendingMilliProcessors, 0))+1) + minShardWeight
}

// sample returns up to sampledShards of the names, which ones depending on the job.
func sample(job string, names []string) []string {
	if len(names) <= sampledShards {
		return names
	}
	ranked := append([]string(nil), names...)
	sort.Slice(ranked, func(i, j int) bool {
		return xxhash.Sum64String(job+"\x00"+ranked[i]) < xxhash.Sum64String(job+"\x00"+ranked[j])
	})
	return ranked[:sampledShards]
}

// chooseShard chooses by weighted rendezvous hashing: jobs that see the same
// lagging loads spread in proportion to the weights.
func chooseShard(job string, names []string, loads []Load) string {
	best, bestScore := "", math.Inf(1)
	for i, name := range names {
		h := xxhash.Sum64String(job + "\x00" + name)
		uniform := (float64(h>>11) + 1) / (1 << 53)
		score := -math.Log(uniform) / loads[i].weight()
		if best == "" || score < bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// readLoads reads the loads from the shards' head rows. A shard without one
// counts as empty.
func readLoads(ctx context.Context, table platform.Table, names []string) ([]Load, error) {
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = platform.ShardHeadKey(name)
	}
	rows, err := table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	loads := make([]Load, len(names))
	for i, row := range rows {
		var head struct {
			Load Load `json:"load"`
		}
		if row.Version != 0 && json.Unmarshal(row.Value, &head) == nil {
			loads[i] = head.Load
		}
	}
	return loads, nil
}
