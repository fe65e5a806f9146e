package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Learned holds what an owner has learned about the interference of images. The
// next owner starts from it instead of observing every pair of images again.
type Learned struct {
	Services []LearnedService `json:"services,omitempty"`
	Pairs    []LearnedPair    `json:"pairs,omitempty"`
}

// LearnedService holds the parameters of a service image.
type LearnedService struct {
	Image string `json:"image"`
	// BaselineTail is the tail latency without load, relative to the target, and
	// PeakLoad the highest load of the service itself, from 0 to 1.
	BaselineTail float64 `json:"floor"`
	PeakLoad     float64 `json:"crest"`
}

// LearnedPair holds the posterior of the interference coefficient of a best-effort
// image and a service image.
type LearnedPair struct {
	Service    string `json:"service"`
	BestEffort string `json:"beside"`
	// Permille are the probabilities of the coefficients, in thousandths.
	Permille []int `json:"p"`
}

// maxLearnedPairs limits the pairs passed on, so that they fit into a row.
const maxLearnedPairs = 1000

// Learned returns what has been learned, in a fixed order.
func (e *Engine) Learned() Learned {
	var l Learned
	for image, baseline := range e.interference.baselineTail {
		l.Services = append(l.Services, LearnedService{image, roundThousandths(baseline), roundThousandths(e.interference.peakLoadOf(image))})
	}
	slices.SortFunc(l.Services, func(a, b LearnedService) int { return cmp.Compare(a.Image, b.Image) })
	for pair, probabilities := range e.interference.posteriors {
		l.Pairs = append(l.Pairs, probabilities.encode(pair))
	}
	slices.SortFunc(l.Pairs, comparePairs)
	l.Pairs = l.Pairs[:min(len(l.Pairs), maxLearnedPairs)]
	return l
}

func (p posterior) encode(pair imagePair) LearnedPair {
	encoded := LearnedPair{Service: pair.service, BestEffort: pair.bestEffort}
	for _, probability := range p {
		encoded.Permille = append(encoded.Permille, int(math.Round(1000*probability)))
	}
	return encoded
}

// decode returns the distribution, and false if it is based on a different set of
// coefficients.
func (l LearnedPair) decode() (posterior, bool) {
	var p posterior
	if len(l.Permille) != len(p) {
		return p, false
	}
	for k, permille := range l.Permille {
		p[k] = float64(permille) / 1000
	}
	return p.normalised(), true
}

// informative is the probability of the most likely coefficient from which a distribution
// is worth telling other cells.
const informative = 0.6

// mode returns the index of the most likely coefficient.
func (p posterior) mode() int {
	best := 0
	for k := range p {
		if p[k] > p[best] {
			best = k
		}
	}
	return best
}

// TakeLearned returns the pairs about which there is news for other cells since the last
// call: those observed here whose most likely coefficient has become known or has changed.
func (e *Engine) TakeLearned() []LearnedPair {
	var pairs []LearnedPair
	for pair, p := range e.interference.posteriors {
		mode := p.mode()
		if told, ok := e.toldModes[pair]; p[mode] < informative || ok && told == mode {
			continue
		}
		e.toldModes[pair] = mode
		pairs = append(pairs, p.encode(pair))
	}
	slices.SortFunc(pairs, comparePairs)
	return pairs
}

// TellAllLearned makes the next TakeLearned return all pairs that are known.
func (e *Engine) TellAllLearned() { clear(e.toldModes) }

// ImportLearned applies what other cells have learned to the pairs that have not been
// observed here. Distributions over a different set of coefficients are ignored.
func (e *Engine) ImportLearned(pairs []LearnedPair) {
	for _, l := range pairs {
		if p, ok := l.decode(); ok {
			e.interference.imported[imagePair{l.Service, l.BestEffort}] = p
		}
	}
}

// Coefficient returns the expected interference coefficient of a best-effort image and a
// service image: the load that the former adds to the service when it uses all processors
// of a worker.
func (e *Engine) Coefficient(service, bestEffort string) float64 {
	return e.interference.coefficientOf(service, bestEffort)
}

func comparePairs(a, b LearnedPair) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.BestEffort, b.BestEffort))
}

func roundThousandths(x float64) float64 { return math.Round(1000*x) / 1000 }

// RestoreLearned restores what a former owner has learned. It returns an error
// and changes nothing if that is based on a different set of coefficients.
func (e *Engine) RestoreLearned(l Learned) error {
	for _, p := range l.Pairs {
		if len(p.Permille) != len(coefficients) {
			return fmt.Errorf("pair %s/%s has %d probabilities, want %d", p.Service, p.BestEffort, len(p.Permille), len(coefficients))
		}
	}
	for _, s := range l.Services {
		e.interference.baselineTail[s.Image], e.interference.peakLoad[s.Image] = s.BaselineTail, s.PeakLoad
	}
	for _, p := range l.Pairs {
		restored, _ := p.decode() // its length has been checked
		e.interference.posteriors[imagePair{p.Service, p.BestEffort}] = restored
	}
	return nil
}
