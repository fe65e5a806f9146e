package intake

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestStructureOfJSON(t *testing.T) {
	is := is.New(t)
	is.NoErr(CheckJSON([]byte(`{"spec":"a,b[{\"c\"{{{,,,\\","steps":[{"count":1},{"count":2}]}`), 3, 6))
	var structure *StructureError
	is.True(errors.As(CheckJSON([]byte(`{"steps":[{},{},{}]}`), 3, 100), &structure))
	is.Equal(structure.Error(), "more than 3 objects")
	is.True(errors.As(CheckJSON([]byte(`{"after":[0,0,0,0]}`), 3, 4), &structure))
	is.Equal(structure.What, "values")
	is.NoErr(CheckJSON([]byte(`"\`), 0, 0)) // not valid, and rejected by the decoder
}

func TestStructureOfYAML(t *testing.T) {
	is := is.New(t)
	is.NoErr(CheckYAML([]byte("steps:\n  - {tasks: 1, after: [0, 1]}\n  - - a\n    - b\n"), 30))
	var structure *StructureError
	for _, text := range []string{
		strings.Repeat("[", maxYAMLDepth+1) + strings.Repeat("]", maxYAMLDepth+1),
		strings.Repeat(`["]",`, maxYAMLDepth+1), // a bracket in a text closes nothing
		strings.Repeat("- ", maxYAMLDepth+1) + "a",
		strings.Repeat("{a: ", maxYAMLDepth+1),
	} {
		is.True(errors.As(CheckYAML([]byte(text), 1000), &structure))
		is.Equal(structure.What, "collections within each other")
	}
	is.True(errors.As(CheckYAML([]byte("a: [1, 2, 3]"), 4), &structure))
	is.Equal(structure.What, "separators of keys and values")
	is.NoErr(CheckYAMLDepth([]byte(strings.Repeat("- a\n", 1000))))
}
