package dispatch

import (
	"cmp"
	"maps"
	"math"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// The interference model treats a service as a queue: its tail latency is
// baselineTail/(1-load), where the load is the service's own plus what its
// best-effort neighbours add. The own load of each worker's services is estimated
// from listing to listing; the remainder is attributed to the neighbours.
const (
	// maxLoad is where a tail is some fifteen times its baseline. Beyond it there
	// is a backlog, and measurements no longer show the size of the overload.
	maxLoad = 0.93
	// backlogLoad is where a service has a backlog that takes time to drain, so
	// that a falling tail says nothing about the current neighbours.
	backlogLoad = 0.85
	// defaultBaselineTail is a service's tail without load, relative to its target,
	// before it has been observed, and defaultPeakLoad the highest load of its own.
	defaultBaselineTail = 0.3
	defaultPeakLoad     = 0.6
	// baselineFallRate is the rate at which the baseline moves towards a lower tail,
	// and baselineDrift its relative increase with each listing.
	baselineFallRate = 0.3
	baselineDrift    = 0.00002
	// peakDecay is the decrease of the peak load with each listing, and
	// peakRiseRate the rate at which it moves towards a higher load.
	peakDecay    = 0.0005
	peakRiseRate = 0.2
	// ownLoadRate is the rate at which the estimate of a service's own load moves.
	// Loads change within some ten seconds, and there are two or three listings a
	// second.
	ownLoadRate = 0.4
	// peakMargin is how far a service's own load may be estimated above its peak.
	peakMargin = 0.05
	// measurementWindow is the time that a listed measurement covers.
	measurementWindow = 500 * time.Millisecond
	// minShare is the share of a worker below which an image is not observed.
	minShare = 0.01
	// peakRampTime is the time in which a service's load may rise to its peak.
	peakRampTime = 5 * time.Second
	// maxPredictedTail is the predicted tail, relative to its target, below which a
	// task is placed beside a service, and maxPredictedTailUrgent the same for an
	// urgent task.
	maxPredictedTail       = 1.1
	maxPredictedTailUrgent = 2
	// urgentSlack is the slack below which a task does not wait for a better
	// worker. It covers a stop and a new start.
	urgentSlack = time.Second
	// safePredictedTail is the predicted tail below which a worker accepts a task
	// that is moved to protect another service.
	safePredictedTail = 0.8
)

type imagePair struct{ service, bestEffort string }

// interference is the learned model of how images affect each other.
type interference struct {
	// posteriors are the distributions of the pairs' interference coefficients.
	posteriors map[imagePair]posterior
	// imported are the posteriors of other cells, from which those of pairs that have not
	// been observed here start.
	imported map[imagePair]posterior
	// baselineTail is a service image's tail without load, relative to the target,
	// and peakLoad the highest load of its own.
	baselineTail, peakLoad map[string]float64
}

func newInterference() interference {
	return interference{posteriors: map[imagePair]posterior{}, imported: map[imagePair]posterior{}, baselineTail: map[string]float64{}, peakLoad: map[string]float64{}}
}

func (i *interference) baselineTailOf(image string) float64 {
	return cmp.Or(i.baselineTail[image], defaultBaselineTail)
}

func (i *interference) peakLoadOf(image string) float64 {
	return cmp.Or(i.peakLoad[image], defaultPeakLoad)
}

// loadAt returns the load at which a service has the given tail.
func (i *interference) loadAt(image string, tail float64) float64 {
	return max(0, min(maxLoad, 1-i.baselineTailOf(image)/tail))
}

// tailAt returns the tail of a service at the given load.
func (i *interference) tailAt(image string, load float64) float64 {
	return i.baselineTailOf(image) / (1 - min(maxLoad, load))
}

// posteriorOf returns the posterior of a pair's coefficient. For a pair that has not been
// observed, it is that of another cell, or the prior.
func (i *interference) posteriorOf(pair imagePair) posterior {
	if p, ok := i.posteriors[pair]; ok {
		return p
	}
	if p, ok := i.imported[pair]; ok {
		return p
	}
	return prior
}

// coefficientOf returns the expected coefficient of a best-effort image and a service.
func (i *interference) coefficientOf(service, bestEffort string) float64 {
	return i.posteriorOf(imagePair{service, bestEffort}).mean()
}

// addedLoad returns the load that best-effort images with the given shares of a
// worker are expected to add to a service.
func (i *interference) addedLoad(service string, shares map[string]float64) float64 {
	load := 0.0
	for image, share := range shares {
		load += i.coefficientOf(service, image) * share
	}
	return load
}

// serviceLoad is the estimated load of a service image on one worker.
type serviceLoad struct {
	// own is the load without neighbours, and observed the last listed load.
	own, observed float64
	known         bool
}

// observe updates the model with the highest tail of a service image on a worker,
// relative to the target, beside best-effort images with the given shares.
func (i *interference) observe(service string, tail float64, previous serviceLoad, shares map[string]float64) serviceLoad {
	i.observeBaselineTail(service, tail)
	observed := i.loadAt(service, tail)
	draining := observed >= backlogLoad && !previous.known || previous.observed >= backlogLoad && observed <= previous.observed
	if len(shares) == 0 {
		i.observePeakLoad(service, observed, draining)
		return serviceLoad{own: min(observed, i.peakLoadOf(service)+peakMargin), observed: observed, known: true}
	}
	addedLoad := i.addedLoad(service, shares)
	current := serviceLoad{own: previous.own, observed: observed, known: true}
	if !previous.known {
		current.own = max(0, min(observed, i.peakLoadOf(service))-addedLoad)
	}
	if draining {
		return current
	}
	updated := map[imagePair]posterior{}
	for image, share := range shares {
		pair := imagePair{service, image}
		old := i.posteriorOf(pair)
		updated[pair] = old.update(observed, current.own+addedLoad-old.mean()*share, share)
	}
	maps.Copy(i.posteriors, updated)
	residual := observed - min(maxLoad, current.own+i.addedLoad(service, shares))
	current.own = max(0, min(current.own+ownLoadRate*residual, i.peakLoadOf(service)+peakMargin))
	return current
}

// observePeakLoad updates the peak load with a service's own load. A backlog that
// best-effort tasks have left behind does not raise the peak.
func (i *interference) observePeakLoad(service string, load float64, draining bool) {
	peak := i.peakLoadOf(service)
	switch {
	case load <= peak:
		peak = max(load, peak-peakDecay)
	case !draining:
		peak += peakRiseRate * (load - peak)
	}
	i.peakLoad[service] = peak
}

// observeBaselineTail updates the tail without load, of which each tail is an upper
// bound.
func (i *interference) observeBaselineTail(service string, tail float64) {
	baseline := i.baselineTailOf(service)
	if tail < baseline {
		baseline += baselineFallRate * (tail - baseline)
	}
	i.baselineTail[service] = baseline * (1 + baselineDrift)
}

// shareAverages are a worker's best-effort shares, averaged over about
// measurementWindow.
type shareAverages struct {
	average map[string]float64
	// current are the shares since the time since.
	current map[string]float64
	since   time.Time
}

// advance sets the shares that apply from a time on.
func (s *shareAverages) advance(shares map[string]float64, at time.Time) {
	if s.average == nil {
		s.average = map[string]float64{}
	}
	decay := math.Exp(-float64(at.Sub(s.since)) / float64(measurementWindow))
	for image, share := range s.average {
		s.average[image] = share * decay
	}
	for image, share := range s.current {
		s.average[image] += share * (1 - decay)
	}
	maps.DeleteFunc(s.average, func(_ string, share float64) bool { return share < minShare })
	s.current, s.since = shares, at
}

// updateInterference updates the model with a worker's measurements.
func (e *Engine) updateInterference(w *Worker, now time.Time) {
	colocated := e.colocationOf(w)
	if len(colocated.services) == 0 {
		clear(w.serviceLoads)
		return
	}
	w.recentShares.advance(w.bestEffortShares(), now)
	for k := range colocated.services {
		s := &colocated.services[k]
		if s.highestTail > 0 {
			l := e.interference.observe(s.image, s.highestTail, w.serviceLoads[s.image], w.recentShares.average)
			w.serviceLoads[s.image] = l
			s.ownLoad = l.own
		}
	}
}

// predictedTail returns the highest tail, relative to its target, that the
// worker's services are expected to reach beside one more best-effort task while
// it runs.
func (e *Engine) predictedTail(w *Worker, added *job.Step) float64 {
	highest := 0.0
	services := e.colocationOf(w).services
	for k := range services {
		s := &services[k]
		highest = max(highest, e.interference.tailAt(s.image, s.loadWhile(added)+e.addedLoadOf(w, s, added)))
		if s.highestTail >= 1 {
			highest = max(highest, s.highestTail)
		}
	}
	return highest
}

// loadWhile returns the load that a service is expected to reach beside the present
// best-effort tasks while another one runs.
func (s *colocatedService) loadWhile(added *job.Step) float64 {
	ramp := min(1, float64(added.EstimateMS)/float64(peakRampTime.Milliseconds()))
	return max(s.ownLoad, s.ownLoad+ramp*(s.peakLoad-s.ownLoad)) + s.addedLoad
}

// addedLoadOf returns the load that one more best-effort task is expected to add to a
// service on a worker.
func (e *Engine) addedLoadOf(w *Worker, s *colocatedService, added *job.Step) float64 {
	return e.interference.coefficientOf(s.image, added.Image) * w.cpuShare(added)
}

// addedLoadOn returns the load that a worker's best-effort tasks are expected to
// add to a service.
func (e *Engine) addedLoadOn(w *Worker, added *job.Step) float64 {
	return e.interference.addedLoad(added.Image, w.bestEffortShares())
}
