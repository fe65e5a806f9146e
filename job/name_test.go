package job

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestTaskNames(t *testing.T) {
	is := is.New(t)
	is.Equal(TaskID{Job: "5c0e7a21", Occurrence: 0, Step: 1, Index: 17}.String(), "5c0e7a21.0.1.17")
	is.Equal(TaskID{}.String(), ".0.0.0")
	is.Equal(TaskID{Job: "j", Occurrence: math.MaxInt64, Step: -1, Index: 12345}.String(), "j.9223372036854775807.-1.12345")
}

func BenchmarkTaskName(b *testing.B) {
	id := TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}
	b.ReportAllocs()
	for b.Loop() {
		_ = id.String()
	}
}
