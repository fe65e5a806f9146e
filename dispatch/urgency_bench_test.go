package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// BenchmarkByUrgency sorts jobs that all wait, at plans 20 ms apart in which one of them is
// replaced by a new one.
func BenchmarkByUrgency(b *testing.B) {
	for _, waiting := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			e := NewEngine(testOptions)
			e.SetQueues([]job.Queue{{Name: "urgent", Stretch: 2, Slack: time.Second}, {Name: "batch", Priority: 2, Stretch: 2, Slack: 2 * time.Second}}, 1)
			now := time.Unix(1000, 0)
			add := func(n int) {
				step := job.Step{Tasks: 10, EstimateMS: int64(500 + n*7919%3000), Image: fmt.Sprint("i", n%9), Resources: job.Resources{MilliCPU: 1000}}
				next := step
				next.After = []int{0}
				e.Add(job.Spec{ID: fmt.Sprintf("job%06d", n), Queue: []string{"urgent", "batch"}[n%2], Steps: []job.Step{step, next}}, now, 0)
			}
			for n := range waiting {
				add(n)
			}
			n := waiting
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(20 * time.Millisecond)
				e.byUrgency(now)
				e.Cancel(fmt.Sprintf("job%06d", n-waiting))
				e.out = Output{Changed: map[*Job]bool{}}
				add(n)
				n++
			}
		})
	}
}
