package dispatch

import (
	"cmp"
	"maps"
	"math"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Learning of interference. A service behaves like a queue: its tail is
// floor/(1-load), where the load is the service's own and what its best-effort
// neighbours add to it. The own load of each worker's services is followed from
// listing to listing; what it does not explain is put down to the neighbours.
const (
	// maxLoad is where a tail is some fifteen times its floor. Beyond it there is
	// a backlog, and figures say no more than that there is too much.
	maxLoad = 0.93
	// drainLoad is where a service has a backlog that takes time to drain, so
	// that a figure that falls says nothing of the present neighbours.
	drainLoad = 0.85
	// unknownFloor is a service's tail without load, as a share of its target,
	// before it was seen, and unknownCrest the highest load of its own.
	unknownFloor = 0.3
	unknownCrest = 0.6
	// floorRate is how fast the estimate of the floor falls to a lower tail, and
	// floorRise how much it rises with each listing.
	floorRate = 0.3
	floorRise = 0.00002
	// crestFall lets the highest own load fade with each listing, and crestRise is
	// how fast it rises to a higher one.
	crestFall = 0.0005
	crestRise = 0.2
	// ownRate is how fast the estimate of a service's own load moves. Loads swing
	// within some ten seconds, and there are two or three listings a second.
	ownRate = 0.4
	// overCrest is how far above its crest a service's own load is believed.
	overCrest = 0.05
	// figureSpan is the time that a listed figure covers.
	figureSpan = 500 * time.Millisecond
	// leastShare is a share of a worker that tells nothing of an image.
	leastShare = 0.01
	// crestWithin is the time in which a service's load may rise to its crest.
	crestWithin = 5 * time.Second
	// patientTail is the expected tail, relative to its target, up to which a
	// task is placed beside a service while its job has time, and hurriedTail
	// when it has not.
	patientTail = 1.1
	hurriedTail = 2
	// hurry is the slack below which a task does not wait for a better place. It
	// covers a stop and a new start.
	hurry = time.Second
	// safeTail is the same where a task is moved to spare another service.
	safeTail = 0.8
)

type imagePair struct{ service, bestEffort string }

// interference holds what has been learned of images.
type interference struct {
	pressure map[imagePair]belief
	// floor is a service image's tail without load, relative to the target, and
	// crest the highest load of its own.
	floor, crest map[string]float64
}

func newInterference() interference {
	return interference{pressure: map[imagePair]belief{}, floor: map[string]float64{}, crest: map[string]float64{}}
}

func (i *interference) floorOf(image string) float64 {
	return cmp.Or(i.floor[image], unknownFloor)
}

func (i *interference) crestOf(image string) float64 {
	return cmp.Or(i.crest[image], unknownCrest)
}

// loadAt returns the load at which a service has a tail.
func (i *interference) loadAt(image string, tail float64) float64 {
	return max(0, min(maxLoad, 1-i.floorOf(image)/tail))
}

// tailAt returns the tail that a service has at a load.
func (i *interference) tailAt(image string, load float64) float64 {
	return i.floorOf(image) / (1 - min(maxLoad, load))
}

// beliefOf returns what is believed of a pair of images.
func (i *interference) beliefOf(pair imagePair) belief {
	if b, ok := i.pressure[pair]; ok {
		return b
	}
	return unknown
}

// pressureOf returns the expected pressure of a best-effort image on a service.
func (i *interference) pressureOf(service, bestEffort string) float64 {
	return i.beliefOf(imagePair{service, bestEffort}).mean()
}

// strain returns the load that best-effort images with the given shares of a
// worker are expected to add to a service.
func (i *interference) strain(service string, shares map[string]float64) float64 {
	strain := 0.0
	for image, share := range shares {
		strain += i.pressureOf(service, image) * share
	}
	return strain
}

// ownLoad is what is known of the load of a service image on one worker.
type ownLoad struct {
	// own is without neighbours, and seen what was last listed.
	own, seen float64
	known     bool
}

// observe takes in the highest tail of a service image on a worker, relative to
// the target, beside best-effort images that had the given shares.
func (i *interference) observe(service string, tail float64, was ownLoad, shares map[string]float64) ownLoad {
	i.observeFloor(service, tail)
	seen := i.loadAt(service, tail)
	draining := seen >= drainLoad && !was.known || was.seen >= drainLoad && seen <= was.seen
	if len(shares) == 0 {
		i.observeCrest(service, seen, draining)
		return ownLoad{own: min(seen, i.crestOf(service)+overCrest), seen: seen, known: true}
	}
	strain := i.strain(service, shares)
	is := ownLoad{own: was.own, seen: seen, known: true}
	if !was.known {
		is.own = max(0, min(seen, i.crestOf(service))-strain)
	}
	if draining {
		return is
	}
	updated := map[imagePair]belief{}
	for image, share := range shares {
		pair := imagePair{service, image}
		believed := i.beliefOf(pair)
		updated[pair] = believed.update(seen, is.own+strain-believed.mean()*share, share)
	}
	maps.Copy(i.pressure, updated)
	off := seen - min(maxLoad, is.own+i.strain(service, shares))
	is.own = max(0, min(is.own+ownRate*off, i.crestOf(service)+overCrest))
	return is
}

// observeCrest takes in a load of an image's own. A backlog that best-effort
// tasks have left is none.
func (i *interference) observeCrest(service string, load float64, draining bool) {
	crest := i.crestOf(service)
	switch {
	case load <= crest:
		crest = max(load, crest-crestFall)
	case !draining:
		crest += crestRise * (load - crest)
	}
	i.crest[service] = crest
}

// observeFloor takes in a tail as a bound of the image's tail without load.
func (i *interference) observeFloor(service string, tail float64) {
	floor := i.floorOf(service)
	if tail < floor {
		floor += floorRate * (tail - floor)
	}
	i.floor[service] = floor * (1 + floorRise)
}

// recentShares are a worker's shares, averaged over about the time that a
// figure covers.
type recentShares struct {
	average map[string]float64
	// now are the shares since at.
	now map[string]float64
	at  time.Time
}

// advance takes in what the shares are from a time on.
func (s *recentShares) advance(shares map[string]float64, at time.Time) {
	if s.average == nil {
		s.average = map[string]float64{}
	}
	old := math.Exp(-float64(at.Sub(s.at)) / float64(figureSpan))
	for image, share := range s.average {
		s.average[image] = share * old
	}
	for image, share := range s.now {
		s.average[image] += share * (1 - old)
	}
	maps.DeleteFunc(s.average, func(_ string, share float64) bool { return share < leastShare })
	s.now, s.at = shares, at
}

// learn takes in a worker's figures.
func (e *Engine) learn(w *Worker, now time.Time) {
	mix := e.mixture(w)
	if len(mix.services) == 0 {
		clear(w.loads)
		return
	}
	w.recent.advance(w.shares(), now)
	for k := range mix.services {
		s := &mix.services[k]
		if s.tail > 0 {
			l := e.interference.observe(s.image, s.tail, w.loads[s.image], w.recent.average)
			w.loads[s.image] = l
			s.own = l.own
		}
	}
}

// predictedTail returns the highest tail, relative to its target, that a
// worker's services are expected to have beside one more best-effort task while
// it runs.
func (e *Engine) predictedTail(w *Worker, added *job.Step) float64 {
	share := w.share(added)
	rise := min(1, float64(added.EstimateMS)/float64(crestWithin.Milliseconds()))
	worst := 0.0
	for _, s := range e.mixture(w).services {
		own := max(s.own, s.own+rise*(s.crest-s.own))
		load := own + s.strain + e.interference.pressureOf(s.image, added.Image)*share
		worst = max(worst, e.interference.tailAt(s.image, load))
		if s.tail >= 1 {
			worst = max(worst, s.tail)
		}
	}
	return worst
}

// servicePressure returns the load that a worker's best-effort tasks are
// expected to add to a service.
func (e *Engine) servicePressure(w *Worker, added *job.Step) float64 {
	return e.interference.strain(added.Image, w.shares())
}
