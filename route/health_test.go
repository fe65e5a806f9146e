package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func observations(list []route.Target) []route.Observation {
	out := make([]route.Observation, len(list))
	for i, t := range list {
		out[i] = route.Observation{Address: t.Address, Usage: t.Usage}
	}
	return out
}

// Whatever the order of signs, a target receives no new work from the first
// update after a sign, and from the very next pick after its own word.
func TestLeavingTargetReceivesNoNewWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := targets(home, rapid.IntRange(2, 10).Draw(t, "targets"))
		tracker := route.NewTracker()
		now := start
		lastSign := make(map[string]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(250 * time.Millisecond)
			seen := observations(list)
			for i := range seen {
				switch rapid.IntRange(0, 9).Draw(t, "sign") {
				case 0: // the list or a peer
					seen[i].Leaving = true
					lastSign[seen[i].Address] = now
				case 1: // the target's own word
					seen[i].Usage.SetLeaving()
					lastSign[seen[i].Address] = now
				case 2:
					for range 6 {
						seen[i].Usage.RecordFailure()
					}
				}
			}
			for i, state := range tracker.Update(seen, now) {
				list[i].State = state
			}
			p := route.NewPicker(route.Options{Region: home, Daemons: 1, Targets: list})
			for i := range 20 {
				got, _ := p.Pick(route.Request{Seed: uint64(i) << 28, Probe: true})
				if got == nil {
					continue
				}
				got.Usage.End(route.Short)
				if at, left := lastSign[got.Address]; left && now.Sub(at) < 20*time.Second {
					t.Fatalf("%s got work %v after a sign that it leaves", got.Address, now.Sub(at))
				}
			}
		}
	})
}

func TestOwnWordCountsAtOnce(t *testing.T) {
	is := is.New(t)
	list := targets(home, 2)
	p := route.NewPicker(route.Options{Region: home, Daemons: 1, Targets: list})
	list[0].Usage.SetLeaving()
	for i := range 10 {
		got, _ := p.Pick(route.Request{Seed: uint64(i) << 29})
		is.Equal(got.Address, list[1].Address)
	}
}

func TestFailingTargetIsProbedWithGrowingIntervals(t *testing.T) {
	is := is.New(t)
	list := targets(home, 4)
	tracker := route.NewTracker()
	for range 5 {
		list[0].Usage.RecordFailure()
	}
	var probes []time.Duration
	for at := time.Duration(0); at < 70*time.Second; at += 250 * time.Millisecond {
		for i, state := range tracker.Update(observations(list), start.Add(at)) {
			list[i].State = state
		}
		p := route.NewPicker(route.Options{Region: home, Daemons: 1, Targets: list})
		for range 3 {
			got, _ := p.Pick(route.Request{Probe: true})
			got.Usage.End(route.Short)
			if got.Address == list[0].Address {
				probes = append(probes, at)
				got.Usage.RecordFailure()
			}
			got, _ = p.Pick(route.Request{})
			got.Usage.End(route.Short)
			is.True(got.Address != list[0].Address) // only repeatable requests probe
		}
	}
	is.Equal(len(probes), 6)
	for i := 2; i < len(probes); i++ {
		is.True(probes[i]-probes[i-1] > probes[i-1]-probes[i-2])
	}
	list[0].Usage.RecordSuccess()
	is.Equal(tracker.Update(observations(list), start.Add(2*time.Minute))[0], charts.TargetLive)
}

// However many targets fail, at least half stay live.
func TestNeverAllTargetsAreEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := targets(home, rapid.IntRange(1, 40).Draw(t, "targets"))
		tracker := route.NewTracker()
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			for _, target := range list {
				if rapid.Bool().Draw(t, "fails") {
					target.Usage.RecordFailure()
				}
			}
			live := 0
			for _, state := range tracker.Update(observations(list), start.Add(time.Duration(step)*time.Second)) {
				if state == charts.TargetLive {
					live++
				}
			}
			if live*2 < len(list) {
				t.Fatalf("only %d of %d targets are live", live, len(list))
			}
		}
	})
}
