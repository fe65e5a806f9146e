package cellmap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// moveMap returns a map of n cells, alternately in two regions, with workers of one pool.
func moveMap(n int) *Map {
	m := &Map{Racks: map[string]int{}}
	for i := range n {
		m.Cells = append(m.Cells, Cell{Region: []string{"east", "west"}[i%2], Pools: []string{"pool"}, Labels: []string{"kind"}})
		m.Racks[fmt.Sprintf("r%d", i)] = i
	}
	return m
}

func first(int) int { return 0 }

func waitingJob(waited time.Duration) Waiting {
	return Waiting{ID: "j", Demand: Demand{Reserved: 1000}, Needs: Needs{Pool: "pool"}, Waited: waited, Present: waited}
}

// Answers a data centre that is evacuated: its cell has no capacity, and all waiting jobs
// leave at once, to the cell that is least loaded, even if that is full.
func TestJobsOfAnEvacuatedCellLeaveAtOnce(t *testing.T) {
	is := is.New(t)
	m := moveMap(3)
	w := waitingJob(0)
	w.CapacityGone = true
	is.Equal(len(Movable([]Waiting{w}, 8)), 1)
	candidates := m.MoveCandidates(0, w, first)
	is.Equal(len(candidates), 2)
	full, fuller := &Load{Capacity: 100_000, Reserved: 130_000}, &Load{Capacity: 100_000, Reserved: 160_000}
	to, ok := m.MoveTarget(0, w, Load{Reserved: 5000}, []int{1, 2}, []*Load{fuller, full})
	is.True(ok)
	is.Equal(to, 2)
	to, ok = m.MoveTarget(0, w, Load{Reserved: 5000}, []int{1, 2}, []*Load{fuller, {}}) // the other is evacuated, too
	is.True(ok)
	is.Equal(to, 1)
	_, ok = m.MoveTarget(0, w, Load{Reserved: 5000}, []int{1, 2}, []*Load{nil, {}})
	is.True(!ok) // no owner has reported capacity
}

// Answers a cell that is merely full: a job leaves after the stated wait, and only to a cell
// that is clearly less loaded and has room.
func TestJobsOfAFullCellLeaveAfterAWait(t *testing.T) {
	cases := []struct {
		name   string
		waited time.Duration
		own    int64 // load in percent, with the job
		other  int64 // in percent, without it
		moves  bool
	}{
		{"waits for a moment", 2 * time.Second, 120, 20, false},
		{"clearly less loaded", 2500 * time.Millisecond, 120, 80, true},
		{"a little less loaded", 2500 * time.Millisecond, 90, 70, false},
		{"other full as well", 2500 * time.Millisecond, 180, 100, false},
		{"equally loaded", time.Minute, 60, 60, false},
	}
	m := moveMap(3)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := waitingJob(c.waited)
			_, ok := m.MoveTarget(0, w, Load{100_000, c.own * 1000, 0}, []int{2}, []*Load{{100_000, c.other * 1000, 0}})
			is.Equal(ok, c.moves)
			is.Equal(len(Movable([]Waiting{w}, 8)) > 0, c.waited >= 2500*time.Millisecond)
		})
	}
}

// Guards against jobs that move back and forth.
func TestJobDoesNotReturnSoonAndMovesTwice(t *testing.T) {
	is := is.New(t)
	m := moveMap(2)
	w := waitingJob(time.Minute)
	w.CapacityGone, w.Moves, w.From = true, 1, 1
	w.Present = 5*time.Second - time.Millisecond
	is.Equal(len(m.MoveCandidates(0, w, first)), 0)
	free := []*Load{{Capacity: 100_000}}
	_, ok := m.MoveTarget(0, w, Load{}, []int{1}, free)
	is.True(!ok)
	w.Present = 5 * time.Second
	is.Equal(m.MoveCandidates(0, w, first), []int{1})
	_, ok = m.MoveTarget(0, w, Load{}, []int{1}, free)
	is.True(ok)
	w.Moves = 2
	is.Equal(len(Movable([]Waiting{w}, 8)), 0)
	_, ok = m.MoveTarget(0, w, Load{}, []int{1}, free)
	is.True(!ok)
}

// Guards against a job that leaves its data, or moves to a cell without workers for it.
func TestJobMovesOnlyToCellsThatSatisfyIt(t *testing.T) {
	is := is.New(t)
	m := moveMap(3)
	w := waitingJob(time.Minute)
	w.Needs.Racks = []string{"r0"}
	is.Equal(len(m.MoveCandidates(0, w, first)), 0)
	w.Needs = Needs{Pool: "other"}
	is.Equal(len(m.MoveCandidates(1, w, first)), 0)
	w.Needs = Needs{Pool: "pool", Labels: []string{"gpu"}}
	is.Equal(len(m.MoveCandidates(1, w, first)), 0)
}

// Answers a backlog in a cell without capacity: each round takes a bounded number, urgent
// jobs and those that have waited longest first.
func TestRoundTakesTheMostUrgentJobs(t *testing.T) {
	is := is.New(t)
	var jobs []Waiting
	for i := range 100 {
		w := waitingJob(time.Duration(i) * time.Second)
		w.ID, w.Priority = fmt.Sprintf("j%03d", i), i%2
		w.CapacityGone = i >= 10
		jobs = append(jobs, w)
	}
	rand.New(rand.NewPCG(5, 5)).Shuffle(len(jobs), func(i, j int) { jobs[i], jobs[j] = jobs[j], jobs[i] })
	chosen := Movable(jobs, MovesPerInterval)
	is.Equal(len(chosen), MovesPerInterval)
	for i, w := range chosen {
		is.Equal(w.ID, fmt.Sprintf("j%03d", 98-2*i))
	}
	is.Equal(len(Movable(jobs, -1)), 0)
}

// Answers uneven demand: whatever the loads, moves from full cells end, and bring the loads
// closer to each other.
func TestMovesOfFullCellsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := moveMap(rapid.IntRange(2, 5).Draw(t, "cells"))
		const capacity = 100_000
		type waiting struct {
			Waiting
			cell int
		}
		loads := make([]Load, len(m.Cells))
		var jobs []waiting
		for n := range loads {
			loads[n].Capacity = capacity
			for range rapid.IntRange(0, 60).Draw(t, "jobs") {
				w := waitingJob(time.Minute)
				w.Demand.Reserved = rapid.Int64Range(500, 5000).Draw(t, "demand")
				loads[n].Reserved += w.Demand.Reserved
				jobs = append(jobs, waiting{w, n})
			}
		}
		spread := func() int64 {
			least, most := loads[0].Reserved, loads[0].Reserved
			for _, l := range loads {
				least, most = min(least, l.Reserved), max(most, l.Reserved)
			}
			return most - least
		}
		before, moves := spread(), 0
		for moved := true; moved; {
			moved = false
			for i := range jobs {
				w := &jobs[i]
				var candidates []int
				var reported []*Load
				for n := range loads {
					candidates, reported = append(candidates, n), append(reported, &loads[n])
				}
				to, ok := m.MoveTarget(w.cell, w.Waiting, loads[w.cell], candidates, reported)
				if !ok {
					continue
				}
				if loads[to].Reserved+w.Demand.Reserved > capacity {
					t.Fatalf("a job moves to cell %d, which is full", to)
				}
				loads[w.cell].Reserved -= w.Demand.Reserved
				loads[to].Reserved += w.Demand.Reserved
				w.From, w.cell, w.Moves, moved = w.cell, to, w.Moves+1, true
				moves++
			}
		}
		if moves > 2*len(jobs) || spread() > before {
			t.Fatalf("%d moves of %d jobs, spread %d before and %d after", moves, len(jobs), before, spread())
		}
	})
}

// Answers a fleet of many cells most of which are full: those that have just refused are left out
// before the choice, so that the one with room is asked.
func TestTransferCandidatesLeaveOutFullCells(t *testing.T) {
	is := is.New(t)
	m := moveMap(20)
	roomy := 17
	needs := Needs{Pool: "pool"}
	is.Equal(len(m.TransferCandidates(0, needs, func(int) bool { return false }, first)), localCandidates+remoteCandidates)
	is.Equal(m.TransferCandidates(0, needs, func(n int) bool { return n != roomy }, first), []int{roomy})
	is.Equal(len(m.TransferCandidates(0, needs, func(int) bool { return true }, first)), 0)
}
