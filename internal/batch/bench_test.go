package batch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures a tick of a daemon that owns no shard, by the number of
// shards, with 100 other daemons.
func BenchmarkTick(b *testing.B) {
	for _, shards := range []int{100, 400, 1600, 3200} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			sim := newSimulation(1, shards, 1)
			for range 100 {
				sim.daemons = append(sim.daemons, &daemon{id: fmt.Sprintf("other%d", len(sim.daemons))})
			}
			sim.startDaemon()
			m, now := sim.daemons[100].manager, sim.clock.Now()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				m.Tick(now)
			}
		})
	}
}
