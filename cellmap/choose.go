package cellmap

import (
	"slices"

	"github.com/bambooyard/bambooyard/job"
)

const (
	// localCandidates and remoteCandidates are the numbers of cells in the own region and
	// in others that are compared for a job. A few random choices are enough to keep the
	// loads of many cells close to each other.
	localCandidates  = 3
	remoteCandidates = 2
	// remotePenalty is the difference of the loads, as a share of the free capacity, from
	// which a job goes to another region. In cells that are nearly full, a job may find no
	// worker in one and some in the other.
	remotePenalty = 0.05
	// bestEffortWeight is the weight of best-effort tasks beside a job that is not
	// best-effort: they use only processors that are left, but disturb.
	bestEffortWeight = 0.1
)

// Demand is what a job requests while its widest step runs, in thousandths of a core.
type Demand struct {
	// Reserved counts against the capacity of workers, and BestEffort does not.
	Reserved, BestEffort int64
}

// DemandOf returns the demand of a job.
func DemandOf(spec job.Spec) Demand {
	reserved, bestEffort := spec.PeakMilliCPU()
	return Demand{reserved, bestEffort}
}

// Share returns the demand divided by n, the number of cells that a job may go to.
func (d Demand) Share(n int) Demand { return Demand{d.Reserved / int64(n), d.BestEffort / int64(n)} }

// Load is what the open jobs of a cell request, and its capacity, in thousandths of a core.
type Load struct {
	Capacity, Reserved, BestEffort int64
}

// with returns the load of the cell with one more job, as a share of its capacity.
func (l Load) with(d Demand) float64 {
	reserved, bestEffort := float64(l.Reserved+d.Reserved), float64(l.BestEffort+d.BestEffort)
	if d.Reserved > 0 {
		bestEffort *= bestEffortWeight
	}
	return (reserved + bestEffort) / float64(max(l.Capacity, 1))
}

// Needs is what a job needs of its cell.
type Needs struct {
	Pool   string
	Labels []string
	// Racks hold the job's data.
	Racks []string
}

// NeedsOf returns what the steps of a job need. The pool is not known from the job.
func NeedsOf(spec job.Spec) Needs {
	var n Needs
	for _, s := range spec.Steps {
		if s.Label != "" {
			n.Labels = append(n.Labels, s.Label)
		}
		if s.DataRack != "" {
			n.Racks = append(n.Racks, s.DataRack)
		}
	}
	return n
}

// Candidates returns the cells to compare for a job: the one with its data, or a few of
// those that have workers for it. intN returns a random number in [0, n).
func (m *Map) Candidates(needs Needs, region string, intN func(n int) int) []int {
	for _, rack := range needs.Racks {
		if n, ok := m.Racks[rack]; ok {
			return []int{n}
		}
	}
	var local, remote []int
	for n, c := range m.Cells {
		switch {
		case !c.satisfies(needs):
		case c.Region == region:
			local = append(local, n)
		default:
			remote = append(remote, n)
		}
	}
	if len(local)+len(remote) == 0 {
		return []int{Lead}
	}
	return append(sample(local, localCandidates, intN), sample(remote, remoteCandidates, intN)...)
}

// satisfies reports whether the cell has workers of the pool and with the labels.
func (c Cell) satisfies(needs Needs) bool {
	if needs.Pool != "" && !slices.Contains(c.Pools, needs.Pool) {
		return false
	}
	for _, label := range needs.Labels {
		if !slices.Contains(c.Labels, label) {
			return false
		}
	}
	return true
}

// sample returns up to n random elements.
func sample(all []int, n int, intN func(n int) int) []int {
	rest := slices.Clone(all)
	var chosen []int
	for len(chosen) < n && len(rest) > 0 {
		i := intN(len(rest))
		chosen = append(chosen, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return chosen
}

// Choose returns the candidate that would be the least loaded with a job. The loads are
// those of the candidates, nil if they are not known. If none is known, it returns the
// first candidate.
func (m *Map) Choose(candidates []int, loads []*Load, d Demand, region string) int {
	best, least := -1, 0.0
	for i, n := range candidates {
		if loads[i] == nil {
			continue
		}
		load := loads[i].with(d)
		if m.Cells[n].Region != region {
			load += remotePenalty * max(0, 1-load)
		}
		if best < 0 || load < least {
			best, least = n, load
		}
	}
	if best < 0 {
		return candidates[0]
	}
	return best
}
