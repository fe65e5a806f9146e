package dispatch

import "math"

// pressures are the pressures that a pair of images may have, from none to one
// at which a tenth of a worker overloads a service. A best-effort image's
// pressure on a service image is the load that it adds to the service when it
// uses a whole worker's processors.
var pressures = [...]float64{0, 0.25, 0.5, 1, 2, 4, 8}

// belief holds the probability of each pressure.
type belief [len(pressures)]float64

// unknown is believed of a pair that was never seen together: a small task may
// be tried beside a service with a low load, a crowd may not.
var unknown = belief{0.15, 0.15, 0.15, 0.15, 0.15, 0.15, 0.1}

const (
	// loadNoise is how far a load worked out from a figure strays: figures are
	// rough, and a service's own load moves between two of them.
	loadNoise = 0.2
	// leastProbability lets a belief change: what a pair does may differ within
	// seconds.
	leastProbability = 0.002
)

// mean returns the expected pressure.
func (b belief) mean() float64 {
	sum := 0.0
	for k, p := range pressures {
		sum += b[k] * p
	}
	return sum
}

// update takes in a load seen beside a share of a worker, while a load of
// others is expected without it.
func (b belief) update(seen, others, share float64) belief {
	for k, p := range pressures {
		off := (seen - min(maxLoad, others+p*share)) / loadNoise
		b[k] *= math.Exp(-off * off / 2)
	}
	return b.normalised()
}

// normalised returns probabilities that add up to one, none too small.
func (b belief) normalised() belief {
	sum := 0.0
	for k := range b {
		b[k] = max(leastProbability, b[k])
		sum += b[k]
	}
	for k := range b {
		b[k] /= sum
	}
	return b
}
