package job

import (
	"slices"
	"sort"
)

// Range is a range of numbers, the last one excluded.
type Range [2]int

// Ranges is a set of numbers: ranges that are neither empty nor adjacent, in ascending order.
// The zero value is the empty set.
type Ranges []Range

// NewRanges returns the set of the numbers in some ranges, which it sorts.
func NewRanges(all []Range) Ranges {
	slices.SortFunc(all, func(a, b Range) int { return a[0] - b[0] })
	var r Ranges
	for _, next := range all {
		if last := len(r) - 1; last >= 0 && r[last][1] >= next[0] {
			r[last][1] = max(r[last][1], next[1])
		} else if next[0] < next[1] {
			r = append(r, next)
		}
	}
	return r
}

// Add returns the set with the numbers from from, and below to. It may reuse r's memory.
func (r Ranges) Add(from, to int) Ranges {
	if from >= to {
		return r
	}
	first := sort.Search(len(r), func(i int) bool { return r[i][1] >= from })
	last := first
	for ; last < len(r) && r[last][0] <= to; last++ {
		from, to = min(from, r[last][0]), max(to, r[last][1])
	}
	return slices.Replace(r, first, last, Range{from, to})
}

// Containing returns the range that a number is in.
func (r Ranges) Containing(n int) (Range, bool) {
	i := sort.Search(len(r), func(i int) bool { return r[i][1] > n })
	if i == len(r) || r[i][0] > n {
		return Range{}, false
	}
	return r[i], true
}

// Longest returns the n longest ranges of the set, and the others, both in ascending order.
func (r Ranges) Longest(n int) (longest, others Ranges) {
	if len(r) <= n {
		return r, nil
	}
	bySize := slices.Clone(r)
	slices.SortFunc(bySize, func(a, b Range) int { return (b[1] - b[0]) - (a[1] - a[0]) })
	ascending := func(a, b Range) int { return a[0] - b[0] }
	longest, others = bySize[:n], bySize[n:]
	slices.SortFunc(longest, ascending)
	slices.SortFunc(others, ascending)
	return longest, others
}
