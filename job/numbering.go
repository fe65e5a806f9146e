package job

import "slices"

// Numbering numbers the tasks of a job in the order of their occurrences, steps and indexes.
type Numbering struct {
	offsets       []int // of each step within an occurrence
	perOccurrence int
}

// Numbering returns the numbering of the job's tasks.
func (s Spec) Numbering() Numbering {
	var n Numbering
	for _, step := range s.Steps {
		n.offsets = append(n.offsets, n.perOccurrence)
		n.perOccurrence += step.Tasks
	}
	return n
}

// PerOccurrence returns the number of tasks of an occurrence.
func (n Numbering) PerOccurrence() int { return n.perOccurrence }

// Number returns the number of a task.
func (n Numbering) Number(occurrence, step, index int) int {
	return occurrence*n.perOccurrence + n.offsets[step] + index
}

// Step returns the range of the numbers of a step's tasks in an occurrence.
func (n Numbering) Step(occurrence, step int) Range {
	end := n.perOccurrence
	if step+1 < len(n.offsets) {
		end = n.offsets[step+1]
	}
	return Range{n.Number(occurrence, step, 0), occurrence*n.perOccurrence + end}
}

// At returns the occurrence, step and index of the task with a number.
func (n Numbering) At(number int) (occurrence, step, index int) {
	within := number % n.perOccurrence
	step, found := slices.BinarySearch(n.offsets, within)
	if !found {
		step--
	}
	return number / n.perOccurrence, step, within - n.offsets[step]
}
