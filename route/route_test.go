package route_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/route"
)

const local, remote = "hobart", "launceston"

func targets(region string, n int) []route.Target {
	list := make([]route.Target, n)
	for i := range list {
		list[i] = route.Target{
			Address: region + strconv.Itoa(i), Region: region, Slots: 8, Connections: 64,
			State: charts.TargetLive, Usage: &route.Usage{},
		}
	}
	return list
}

func Example() {
	p := route.NewPicker(route.Options{Region: local, Daemons: 8, Targets: targets(local, 1)})
	t, outcome := p.Pick(route.Request{Seed: 1})
	fmt.Println(t.Address, outcome, t.Usage.InFlight())
	t.Usage.End(route.Short)
	// Output: hobart0 picked 1
}

// A pick never exceeds a daemon's share of connections, never gives long requests
// more slots than the shares of all daemons add up to, and never returns a target
// that is leaving, paused or to be avoided.
func TestPicksStayWithinShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 12).Draw(t, "daemons")
		n := rapid.IntRange(1, 80).Draw(t, "targets")
		picks := rapid.IntRange(1, 600).Draw(t, "picks")
		long := make([]int, n)
		for rank := range daemons {
			list := targets(local, n)
			list[0].Usage.SetLeaving()
			list[n/2].Usage.Pause(10)
			p := route.NewPicker(route.Options{Region: local, Rank: rank, Daemons: daemons, Targets: list})
			for i := range picks {
				got, _ := p.Pick(route.Request{Seed: uint64(i) * 0x9e3779b97f4a7c15, Class: route.Class(i % 2), Avoid: list[n-1].Address, NowUnixNano: 5})
				if got != nil && (got == &list[0] || got == &list[n/2] || got == &list[n-1]) {
					t.Fatalf("picked %s, which takes no requests", got.Address)
				}
			}
			for i := range list {
				if in := list[i].Usage.InFlight(); in > max(1, 64/daemons) {
					t.Fatalf("%d in flight with a share of %d connections", in, 64/daemons)
				}
				long[i] += list[i].Usage.InFlightLong()
			}
		}
		for i, sum := range long {
			if sum > route.LongSlots(8) {
				t.Fatalf("target %d: %d long requests from %d daemons", i, sum, daemons)
			}
		}
	})
}

func TestSharesAddUpToUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 20).Draw(t, "daemons")
		units := rapid.IntRange(0, 64).Draw(t, "units")
		index := rapid.IntRange(0, 5000).Draw(t, "index")
		sum := 0
		for rank := range daemons {
			sum += route.Share(index, units, rank, daemons)
		}
		if sum != units {
			t.Fatalf("shares add up to %d of %d", sum, units)
		}
	})
}

func TestRemoteOnlyWhenLocalIsFullAndLinkAllows(t *testing.T) {
	is := is.New(t)
	list := append(targets(local, 2), targets(remote, 2)...)
	pick := func(peerInFlight int, allowed bool) *route.Target {
		p := route.NewPicker(route.Options{Region: local, Daemons: 1, PeerInFlightLocal: peerInFlight, Targets: list})
		got, _ := p.Pick(route.Request{RemoteAllowed: allowed})
		got.Usage.End(route.Short)
		return got
	}
	is.Equal(pick(15, true).Region, local)
	is.Equal(pick(16, true).Region, remote)
	is.Equal(pick(16, false).Region, local)
}

func TestLongRequestsLeaveSlotsForShortOnes(t *testing.T) {
	is := is.New(t)
	p := route.NewPicker(route.Options{Region: local, Daemons: 1, Targets: targets(local, 1)})
	for range route.LongSlots(8) {
		_, outcome := p.Pick(route.Request{Class: route.Long})
		is.Equal(outcome, route.Picked)
	}
	_, outcome := p.Pick(route.Request{Class: route.Long})
	is.Equal(outcome, route.LongSlotsFull)
	_, outcome = p.Pick(route.Request{Class: route.Short})
	is.Equal(outcome, route.Picked)
}

func TestConcurrentPicksStayWithinConnections(t *testing.T) {
	for range 300 {
		list := targets(local, 1)
		p := route.NewPicker(route.Options{Region: local, Daemons: 8, Targets: list})
		var wg sync.WaitGroup
		begin := make(chan struct{})
		for range 40 {
			wg.Go(func() { <-begin; p.Pick(route.Request{}) })
		}
		close(begin)
		wg.Wait()
		if n := list[0].Usage.InFlight(); n > 8 {
			t.Fatalf("%d in flight with a share of 8 connections", n)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{65, 2000} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d targets/busy=%v", n, busy), func(b *testing.B) {
				list := targets(local, n)
				for i := range list {
					if busy {
						list[i].Usage.Begin(route.Short)
					}
				}
				p := route.NewPicker(route.Options{Region: local, Daemons: 8, Targets: list})
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					got, _ := p.Pick(route.Request{Seed: uint64(i) * 0x9e3779b97f4a7c15})
					got.Usage.End(route.Short)
				}
			})
		}
	}
}
