package cellmap

import (
	"cmp"
	"slices"
	"time"
)

// Times and bounds of the moves of waiting jobs.
const (
	// MoveInterval is the interval at which a cell's owner considers its waiting jobs, and
	// MovesPerInterval how many it considers. Together they allow 40 moves a second: a
	// cell without capacity gives a backlog of 400 jobs away in 10 s, and the moves take a
	// tenth of what the store's partitions of jobs serve.
	MoveInterval     = 200 * time.Millisecond
	MovesPerInterval = 8
	// moveAfter is how long a job waits in a cell that has capacity before it may move. It
	// is about four times the 99th percentile of the wait of batch jobs on days without
	// scarcity (0.6 s), so that usual fluctuations move nothing.
	moveAfter = 2500 * time.Millisecond
	// moveMargin is by how much another cell's load must be lower, as a share of the
	// capacity, for a job to leave a cell that has capacity. New jobs keep the loads within
	// a few jobs of each other, so that a smaller difference passes by itself.
	moveMargin = 0.25
	// maxTargetLoad is the highest load, with the job, of a cell that a job moves to from
	// one that has capacity. In a fuller cell the job would wait as well.
	maxTargetLoad = 1.0
	// MaxMoves is how often a job moves.
	MaxMoves = 2
	// returnAfter is how long a job stays before it moves back to the cell it came from.
	returnAfter = 5 * time.Second
)

// Waiting is a job that has not begun and waits in a cell.
type Waiting struct {
	ID     string
	Demand Demand
	Needs  Needs
	// Priority is that of its queue; zero is the highest.
	Priority int
	// Waited is how long the job has been waiting in the cell for capacity, and Present how
	// long it has been there.
	Waited, Present time.Duration
	// Moves is how often it has moved, and From the cell that it came from last.
	Moves, From int
	// CapacityGone is set if no worker of the cell accepts work of the job's pool.
	CapacityGone bool
}

// mayLeave reports whether the job may leave its cell now.
func (w Waiting) mayLeave() bool {
	return w.Moves < MaxMoves && (w.CapacityGone || w.Waited >= moveAfter)
}

// mayEnter reports whether the job may move to a cell now.
func (w Waiting) mayEnter(cell int) bool {
	return w.Moves == 0 || cell != w.From || w.Present >= returnAfter
}

// Movable returns up to n of the jobs that may leave their cell now, in the order in which
// they should: those whose capacity is gone first, then by priority, then those that have
// waited longest.
func Movable(jobs []Waiting, n int) []Waiting {
	var movable []Waiting
	for _, w := range jobs {
		if w.mayLeave() {
			movable = append(movable, w)
		}
	}
	slices.SortFunc(movable, func(a, b Waiting) int {
		if a.CapacityGone != b.CapacityGone {
			if a.CapacityGone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Waited, a.Waited), cmp.Compare(a.ID, b.ID))
	})
	return movable[:max(0, min(n, len(movable)))]
}

// MoveCandidates returns the cells to compare for a job that may leave a cell. intN returns
// a random number in [0, n).
func (m *Map) MoveCandidates(cell int, w Waiting, intN func(n int) int) []int {
	candidates := m.Candidates(w.Needs, m.Cells[cell].Region, intN)
	return slices.DeleteFunc(candidates, func(n int) bool {
		return n == cell || !m.Cells[n].satisfies(w.Needs) || !w.mayEnter(n)
	})
}

// TransferCandidates returns the other cells to ask for room for a task of a cell, without those
// that full reports to have none. intN returns a random number in [0, n).
func (m *Map) TransferCandidates(cell int, needs Needs, full func(n int) bool, intN func(n int) int) []int {
	var local, remote []int
	for n, c := range m.Cells {
		switch {
		case n == cell || !c.satisfies(needs) || full(n):
		case c.Region == m.Cells[cell].Region:
			local = append(local, n)
		default:
			remote = append(remote, n)
		}
	}
	return append(sample(local, localCandidates, intN), sample(remote, remoteCandidates, intN)...)
}

// MoveTarget returns the candidate that a job should move to from a cell with a load, which
// includes the job. The loads are those that the owners of the candidates have reported, nil
// if they have not. It reports false if the job should stay.
func (m *Map) MoveTarget(cell int, w Waiting, own Load, candidates []int, loads []*Load) (int, bool) {
	limit := min(maxTargetLoad, own.without(w.Demand).with(w.Demand)-moveMargin)
	best, least := -1, 0.0
	for i, n := range candidates {
		if loads[i] == nil || loads[i].Capacity <= 0 || n == cell || !w.mayLeave() || !w.mayEnter(n) {
			continue
		}
		load := loads[i].with(w.Demand)
		if m.Cells[n].Region != m.Cells[cell].Region {
			load += remotePenalty * max(0, 1-load)
		}
		if !w.CapacityGone && load > limit {
			continue
		}
		if best < 0 || load < least {
			best, least = n, load
		}
	}
	return best, best >= 0
}

// without returns the load without a job that it includes.
func (l Load) without(d Demand) Load {
	return Load{Capacity: l.Capacity, Reserved: l.Reserved - d.Reserved, BestEffort: l.BestEffort - d.BestEffort}
}
