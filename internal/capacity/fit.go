// Package capacity fits straight lines to costs measured at several sizes, to
// extrapolate the cost to other sizes.
package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// minPoints is the minimum number of points of a fit.
const minPoints = 4

// Point is a cost measured at one size.
type Point struct{ Size, Cost float64 }

// Line is a fitted linear cost: Base + Slope x size.
type Line struct {
	Base, Slope float64
	// MaxRelativeError is the largest difference between a point's cost and the
	// line, as a share of the point's cost.
	MaxRelativeError float64
}

// PointsError reports that a fit has too few points.
type PointsError struct{ Points int }

// Error implements error.
func (e *PointsError) Error() string {
	return fmt.Sprintf("%d points given, a fit needs at least %d", e.Points, minPoints)
}

// Fit returns the line that minimises the squares of the relative errors, so that
// small sizes weigh as much as large ones. The error is a *PointsError.
func Fit(points []Point) (Line, error) {
	if len(points) < minPoints {
		return Line{}, &PointsError{len(points)}
	}
	sizes := make([]float64, len(points))
	costs := make([]float64, len(points))
	weights := make([]float64, len(points))
	for i, p := range points {
		sizes[i], costs[i], weights[i] = p.Size, p.Cost, 1/(p.Cost*p.Cost)
	}
	var l Line
	l.Base, l.Slope = stat.LinearRegression(sizes, costs, weights, false)
	for _, p := range points {
		l.MaxRelativeError = max(l.MaxRelativeError, math.Abs(l.At(p.Size)-p.Cost)/p.Cost)
	}
	return l, nil
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }
