package forecast

// line predicts the logarithm y of a run time from the logarithm x of the declared one.
type line struct {
	x, y     float64 // a point on the line
	slope    float64
	variance float64 // of y around the line
}

func (l line) at(x float64) float64 { return l.y + l.slope*(x-l.x) }

// prior is what is assumed before anything was observed: declared run times are right on
// average, and off by half to nine tenths, which is a standard deviation of about 0.6 of the
// logarithm.
var prior = line{slope: 1, variance: 0.36}

const (
	// memory is the number of observations after which older ones have lost most of their
	// weight. It covers about ten steps of twenty tasks, because the tasks of one step are
	// off in common.
	memory = 200
	// levelWeight is the number of observations that the line of the parent counts for in the
	// level and in the variance. A single step of twenty tasks outweighs it.
	levelWeight = 5
	// slopeWeight is the same for the slope, in observations times the variance of x. With
	// declared run times that hardly differ, the slope of the parent stays.
	slopeWeight = 5
	// maxDeviation bounds the deviation of an observation from the expected logarithm: a
	// run that was stuck for a minute must not change the prediction of the next ones by
	// more than a long one.
	maxDeviation = 2.5
)

// fit holds the moments of observed pairs, with exponentially decreasing weights.
type fit struct {
	n             float64 // sum of the weights
	x, y          float64 // means
	sxx, sxy, syy float64 // sums of the weighted products of the deviations
}

// observe adds a pair. Its deviation from what is expected with the line of the parent is
// bounded.
func (f *fit) observe(parent line, x, y float64) {
	expected := f.line(parent).at(x)
	y = min(max(y, expected-maxDeviation), expected+maxDeviation)
	const decay = 1 - 1.0/memory
	f.n, f.sxx, f.sxy, f.syy = f.n*decay, f.sxx*decay, f.sxy*decay, f.syy*decay
	f.n++
	dx, dy := x-f.x, y-f.y
	f.x += dx / f.n
	f.y += dy / f.n
	f.sxx += dx * (x - f.x)
	f.sxy += dx * (y - f.y)
	f.syy += dy * (y - f.y)
}

// line returns the regression line of the observations, shrunk to the line of the parent
// while they are few.
func (f *fit) line(parent line) line {
	if f.n == 0 {
		return parent
	}
	slope := (f.sxy + slopeWeight*parent.slope) / (f.sxx + slopeWeight)
	slope = min(max(slope, 0), 1.5)
	offset := f.y - parent.at(f.x)
	weight := f.n / (f.n + levelWeight)
	residual := f.syy - 2*slope*f.sxy + slope*slope*f.sxx
	variance := (max(residual, 0) + levelWeight*parent.variance) / (f.n + levelWeight)
	// The level is known no better than the observations allow.
	variance += variance / (f.n + levelWeight)
	return line{x: f.x, y: parent.at(f.x) + weight*offset, slope: slope, variance: variance}
}
