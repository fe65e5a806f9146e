package capacity_test

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/internal/capacity"
)

func TestFitFindsExactLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(1, 100).Draw(t, "base")
		slope := rapid.Float64Range(0.1, 100).Draw(t, "slope")
		var points []capacity.Point
		for _, size := range []float64{1, 10, 100, 1000, 5000} {
			points = append(points, capacity.Point{Size: size, Cost: base + slope*size})
		}
		l, err := capacity.Fit(points)
		if err != nil {
			t.Fatal(err)
		}
		if math.Abs(l.Slope-slope) > 1e-6*slope || l.MaxRelativeError > 1e-6 {
			t.Fatalf("fitted %+v, want base %v and slope %v", l, base, slope)
		}
	})
}

func TestFitNeedsFourSizes(t *testing.T) {
	is := is.New(t)
	_, err := capacity.Fit(make([]capacity.Point, 3))
	is.True(err != nil)
	is.Equal(err.Error(), "3 points given, a fit needs at least 4")
}
