package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

func BenchmarkPlanWithHeldServices(b *testing.B) {
	for _, mode := range []string{"plain", "apart", "varied"} {
		b.Run(mode, func(b *testing.B) {
			var entries []port.WorkerEntry
			var ids []string
			for i := range 250 {
				entries = append(entries, worker(fmt.Sprintf("w%03d", i), 64000, 256000))
				ids = append(ids, fmt.Sprintf("w%03d", i))
			}
			f := newFixture(entries...)
			for i := range 250 {
				f.Add(spec(fmt.Sprintf("f%03d", i), anyAway(1, 63000)), f.now, 0)
				f.start(f.Job(fmt.Sprintf("f%03d", i)).occurrences[0].tasks[0][0], f.Worker(fmt.Sprintf("w%03d", i)), 1, f.now)
			}
			f.confirmStarts(f.TakeOutput())
			f.listAllRunning()
			for i := range 700 {
				size := int64(10000)
				if mode == "varied" {
					size = int64(12000 - 10*i)
				}
				s := anyAway(1, size)
				if mode == "apart" {
					s.MaxPerWorker = 1
				}
				j := f.Add(spec(fmt.Sprintf("s%03d", i), s), f.now, 0)
				if err := f.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1}}}); err != nil {
					b.Fatal(err)
				}
			}
			f.ExpectInheritedRuns(append(ids, "silent"), f.now)
			for b.Loop() {
				f.Plan(f.now)
				f.TakeOutput()
			}
		})
	}
}

func BenchmarkPlanWithDrainingServices(b *testing.B) {
	for _, mode := range []string{"room", "full", "full-apart", "full-varied"} {
		b.Run(mode, func(b *testing.B) {
			var entries []port.WorkerEntry
			for i := range 250 {
				entries = append(entries, worker(fmt.Sprintf("w%03d", i), 64000, 256000))
			}
			f := newFixture(entries...)
			for i := range 700 {
				size := int64(10000)
				if mode == "full-varied" {
					size = int64(12000 - 10*i)
				}
				s := anyAway(1, size)
				if mode == "full-apart" {
					s.MaxPerWorker = 1
				}
				f.Add(spec(fmt.Sprintf("s%03d", i), s), f.now, 0)
				f.start(f.Job(fmt.Sprintf("s%03d", i)).occurrences[0].tasks[0][0], f.Worker(fmt.Sprintf("w%03d", i%140)), 1, f.now)
			}
			if mode != "room" {
				for i := 140; i < 250; i++ {
					f.Add(spec(fmt.Sprintf("f%03d", i), anyAway(1, 63000)), f.now, 0)
					f.start(f.Job(fmt.Sprintf("f%03d", i)).occurrences[0].tasks[0][0], f.Worker(fmt.Sprintf("w%03d", i)), 1, f.now)
				}
			}
			f.confirmStarts(f.TakeOutput())
			f.listAllRunning()
			ids := make([]string, 140)
			for i := range ids {
				ids[i] = fmt.Sprintf("w%03d", i)
			}
			f.drain(time.Hour, ids...)
			f.listAllRunning()
			b.ResetTimer()
			for range b.N {
				f.Plan(f.now)
				f.TakeOutput()
				if mode == "room" {
					b.StopTimer()
					for t := range f.reservations {
						f.unreserve(t)
					}
					for _, w := range f.workers {
						for _, r := range w.runs {
							r.stopping, r.stopInFlight = false, false
						}
					}
					b.StartTimer()
				}
			}
		})
	}
}
