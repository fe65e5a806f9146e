package job

import (
	"testing"

	"pgregory.net/rapid"
)

// A set of ranges has the numbers that were added, and its ranges are neither empty nor adjacent.
func TestRangesAreASet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var set Ranges
		var all []Range
		want := map[int]bool{}
		for range rapid.IntRange(0, 12).Draw(rt, "ranges") {
			from := rapid.IntRange(0, 60).Draw(rt, "from")
			to := from + rapid.IntRange(0, 15).Draw(rt, "length")
			set, all = set.Add(from, to), append(all, Range{from, to})
			for n := from; n < to; n++ {
				want[n] = true
			}
		}
		longest, others := NewRanges(all).Longest(rapid.IntRange(0, 5).Draw(rt, "longest"))
		for n := range 80 {
			_, has := set.Containing(n)
			_, long := longest.Containing(n)
			_, other := others.Containing(n)
			if has != want[n] || (long || other) != want[n] || long && other {
				rt.Fatalf("%d is in the set: %t, in the longest ranges: %t, in the others: %t; want %t", n, has, long, other, want[n])
			}
		}
		for i, r := range set {
			if r[0] >= r[1] || i > 0 && set[i-1][1] >= r[0] {
				rt.Fatalf("ranges %v", set)
			}
		}
	})
}

func TestNumberingNamesEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		spec := Spec{ID: "a.b", Schedule: Schedule{Times: rapid.IntRange(1, 4).Draw(rt, "times")}}
		for range rapid.IntRange(1, 5).Draw(rt, "steps") {
			spec.Steps = append(spec.Steps, Step{Tasks: rapid.IntRange(1, 6).Draw(rt, "tasks")})
		}
		numbers, n := spec.Numbering(), 0
		for k := range spec.Occurrences() {
			for s, step := range spec.Steps {
				for i := range step.Tasks {
					id := TaskID{Job: spec.ID, Occurrence: k, Step: s, Index: i}
					if parsed, ok := ParseTaskID(id.String()); !ok || parsed != id {
						rt.Fatalf("%s is parsed as %+v", id, parsed)
					}
					if gotK, gotS, gotI := numbers.At(n); numbers.Number(k, s, i) != n || gotK != k || gotS != s || gotI != i {
						rt.Fatalf("task %s has number %d, want %d, which is that of %d.%d.%d", id, numbers.Number(k, s, i), n, gotK, gotS, gotI)
					}
					n++
				}
				if r := numbers.Step(k, s); r != (Range{n - step.Tasks, n}) {
					rt.Fatalf("step %d of occurrence %d has the numbers %v", s, k, r)
				}
			}
		}
	})
}
