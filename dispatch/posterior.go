package dispatch

import "math"

// coefficients are the possible interference coefficients of a pair of images, from
// none to the one at which a tenth of a worker overloads a service. The coefficient
// of a best-effort image and a service image is the load that the former adds to the
// service when it uses all processors of a worker.
var coefficients = [...]float64{0, 0.25, 0.5, 1, 2, 4, 8}

// posterior is a probability distribution over the coefficients of a pair.
type posterior [len(coefficients)]float64

// prior is the distribution for a pair that has not been observed together.
// It lets a small task run beside a service with a low load, but not many tasks.
var prior = posterior{0.15, 0.15, 0.15, 0.15, 0.15, 0.15, 0.1}

const (
	// loadStdDev is the standard deviation of a load computed from a measurement:
	// measurements are inexact, and a service's own load changes between two of them.
	loadStdDev = 0.2
	// minProbability keeps a distribution adaptable: the behaviour of a pair may
	// change within seconds.
	minProbability = 0.002
)

// mean returns the expected coefficient.
func (p posterior) mean() float64 {
	sum := 0.0
	for k, coefficient := range coefficients {
		sum += p[k] * coefficient
	}
	return sum
}

// update applies an observed load beside a best-effort share of a worker. others
// is the load that is expected without that share.
func (p posterior) update(observed, others, share float64) posterior {
	for k, coefficient := range coefficients {
		deviation := (observed - min(maxLoad, others+coefficient*share)) / loadStdDev
		p[k] *= math.Exp(-deviation * deviation / 2)
	}
	return p.normalised()
}

// normalised returns the distribution scaled to a sum of one, after raising each
// probability to minProbability.
func (p posterior) normalised() posterior {
	sum := 0.0
	for k := range p {
		p[k] = max(minProbability, p[k])
		sum += p[k]
	}
	for k := range p {
		p[k] /= sum
	}
	return p
}
