package batch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick is a tick of one daemon that owns nothing, by the number of
// shards and with 100 daemons.
func BenchmarkTick(b *testing.B) {
	for _, shards := range []int{100, 400, 1600, 3200} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			w := newWorld(1, shards, 1)
			for range 100 {
				w.daemons = append(w.daemons, &daemon{id: fmt.Sprintf("other%d", len(w.daemons))})
			}
			w.startDaemon()
			m, now := w.daemons[100].m, w.clock.Now()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				m.Tick(now)
			}
		})
	}
}
