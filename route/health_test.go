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

// For any order of reports, a target gets no new requests from the first update
// after a report that it leaves, and from the next pick after its own announcement.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := targets(local, rapid.IntRange(2, 10).Draw(t, "targets"))
		tracker := route.NewTracker()
		now := start
		lastReport := make(map[string]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(250 * time.Millisecond)
			reports := observations(list)
			for i := range reports {
				switch rapid.IntRange(0, 9).Draw(t, "report") {
				case 0: // the VM list or a peer reports that the target leaves
					reports[i].Leaving = true
					lastReport[reports[i].Address] = now
				case 1: // the target announces that it leaves
					reports[i].Usage.SetLeaving()
					lastReport[reports[i].Address] = now
				case 2:
					for range 6 {
						reports[i].Usage.RecordFailure()
					}
				}
			}
			for i, state := range tracker.Update(reports, now) {
				list[i].State = state
			}
			p := route.NewPicker(route.Options{Region: local, Daemons: 1, Targets: list})
			for i := range 20 {
				got, _ := p.Pick(route.Request{Seed: uint64(i) << 28, Probe: true})
				if got == nil {
					continue
				}
				got.Usage.End(route.Short)
				if at, reported := lastReport[got.Address]; reported && now.Sub(at) < 20*time.Second {
					t.Fatalf("%s got a request %v after a report that it leaves", got.Address, now.Sub(at))
				}
			}
		}
	})
}

// A target's own announcement takes effect without an update or a new picker.
func TestAnnouncedLeaveTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	list := targets(local, 2)
	p := route.NewPicker(route.Options{Region: local, Daemons: 1, Targets: list})
	list[0].Usage.SetLeaving()
	for i := range 10 {
		got, _ := p.Pick(route.Request{Seed: uint64(i) << 29})
		is.Equal(got.Address, list[1].Address)
	}
}

func TestFailingTargetIsProbedWithBackoff(t *testing.T) {
	is := is.New(t)
	list := targets(local, 4)
	tracker := route.NewTracker()
	for range 5 {
		list[0].Usage.RecordFailure()
	}
	var probes []time.Duration
	for at := time.Duration(0); at < 70*time.Second; at += 250 * time.Millisecond {
		for i, state := range tracker.Update(observations(list), start.Add(at)) {
			list[i].State = state
		}
		p := route.NewPicker(route.Options{Region: local, Daemons: 1, Targets: list})
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

// At least half of the targets stay live, no matter how many fail.
func TestAtMostHalfOfTargetsAreEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := targets(local, rapid.IntRange(1, 40).Draw(t, "targets"))
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
