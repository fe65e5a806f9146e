package place

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/inventory"
)

// After any insertions and removals the index finds the machines that a size
// fits on, in ascending order of free processors.
func TestIndexFindsFittingMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 20
		draw := func() inventory.Resources {
			n := rapid.Int64Range(-2, 6)
			return inventory.Resources{MilliProcessors: n.Draw(t, "p"), MemoryMB: n.Draw(t, "m"), Accelerators: n.Draw(t, "a")}
		}
		index, model := newFitIndex(count), map[int]inventory.Resources{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, count-1).Draw(t, "machine")
			if _, ok := model[i]; ok {
				index.remove(i)
				delete(model, i)
				continue
			}
			model[i] = draw()
			index.insert(i, model[i])
		}
		size := draw()
		var want, got []int
		for i, free := range model {
			if size.Fits(free) {
				want = append(want, i)
			}
		}
		slices.SortFunc(want, func(a, b int) int {
			return cmp.Or(cmp.Compare(model[a].MilliProcessors, model[b].MilliProcessors), cmp.Compare(a, b))
		})
		index.ascend(size, func(i int) bool { got = append(got, i); return true })
		if !slices.Equal(want, got) {
			t.Fatalf("index finds %v, want %v", got, want)
		}
	})
}
