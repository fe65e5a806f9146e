package verdict_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/verdict"
)

func TestUnknownVerdictIsMayHaveRun(t *testing.T) {
	is := is.New(t)
	var zero verdict.Verdict
	is.Equal(zero, verdict.MayHaveRun)
	is.Equal(verdict.Of(errors.New("anything")), verdict.MayHaveRun)
	is.Equal(verdict.Parse("nonsense"), verdict.MayHaveRun)
	refused := verdict.Refuse(verdict.CodeOverloaded, 503, 0, "full")
	is.Equal(verdict.Of(fmt.Errorf("wrapped: %w", refused)), verdict.NotRun)
}

func Example() {
	err := verdict.Refuse(verdict.CodeOverloaded, 503, time.Second, "service %q is overloaded", "reorder")
	fmt.Println(err)
	fmt.Println("may be tried again:", verdict.Of(err) == verdict.NotRun)
	// Output:
	// overloaded: service "reorder" is overloaded (not-run)
	// may be tried again: true
}

func TestTextRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		is.Equal(verdict.Parse(v.String()), v)
	}
}
