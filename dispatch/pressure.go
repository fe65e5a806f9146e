package dispatch

import "math"

// pressures are the possible pressures of a pair of images, from none to the one
// at which a tenth of a worker overloads a service. The pressure of a best-effort
// image on a service image is the load that it adds to the service when it uses
// all processors of a worker.
var pressures = [...]float64{0, 0.25, 0.5, 1, 2, 4, 8}

// belief is a probability distribution over pressures.
type belief [len(pressures)]float64

// priorBelief is the distribution for a pair that has not been observed together.
// It lets a small task run beside a service with a low load, but not many tasks.
var priorBelief = belief{0.15, 0.15, 0.15, 0.15, 0.15, 0.15, 0.1}

const (
	// loadStdDev is the standard deviation of a load computed from a measurement:
	// measurements are inexact, and a service's own load changes between two of them.
	loadStdDev = 0.2
	// minProbability keeps a distribution adaptable: the behaviour of a pair may
	// change within seconds.
	minProbability = 0.002
)

// mean returns the expected pressure.
func (b belief) mean() float64 {
	sum := 0.0
	for k, p := range pressures {
		sum += b[k] * p
	}
	return sum
}

// update applies an observed load beside a best-effort share of a worker. others
// is the load that is expected without that share.
func (b belief) update(observed, others, share float64) belief {
	for k, p := range pressures {
		deviation := (observed - min(maxLoad, others+p*share)) / loadStdDev
		b[k] *= math.Exp(-deviation * deviation / 2)
	}
	return b.normalised()
}

// normalised returns the distribution scaled to a sum of one, after raising each
// probability to minProbability.
func (b belief) normalised() belief {
	sum := 0.0
	for k := range b {
		b[k] = max(minProbability, b[k])
		sum += b[k]
	}
	for k := range b {
		b[k] /= sum
	}
	return b
}
