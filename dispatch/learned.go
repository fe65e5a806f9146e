package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Learned is what an owner has learned of images. The next owner goes on from
// it, instead of trying every pair of images anew.
type Learned struct {
	Services []LearnedService `json:"services,omitempty"`
	Pairs    []LearnedPair    `json:"pairs,omitempty"`
}

// LearnedService is what has been learned of a service image.
type LearnedService struct {
	Image string `json:"image"`
	// BaselineTail is the tail without load, relative to the target, and Crest the
	// highest load of its own, from 0 to 1.
	BaselineTail float64 `json:"floor"`
	PeakLoad     float64 `json:"crest"`
}

// LearnedPair is what has been learned of a best-effort image beside a service
// image.
type LearnedPair struct {
	Service    string `json:"service"`
	BestEffort string `json:"beside"`
	// Permille are the probabilities of the known pressures, in thousandths.
	Permille []int `json:"p"`
}

// learnedPairs bounds the pairs that are handed on, so that they fit a row.
const learnedPairs = 1000

// Learned returns what has been learned, in a fixed order.
func (e *Engine) Learned() Learned {
	var l Learned
	for image, floor := range e.interference.floor {
		l.Services = append(l.Services, LearnedService{image, round(floor), round(e.interference.crestOf(image))})
	}
	slices.SortFunc(l.Services, func(a, b LearnedService) int { return cmp.Compare(a.Image, b.Image) })
	for pair, b := range e.interference.pressure {
		p := LearnedPair{Service: pair.service, BestEffort: pair.bestEffort}
		for _, probability := range b {
			p.Permille = append(p.Permille, int(math.Round(1000*probability)))
		}
		l.Pairs = append(l.Pairs, p)
	}
	slices.SortFunc(l.Pairs, func(a, b LearnedPair) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	l.Pairs = l.Pairs[:min(len(l.Pairs), learnedPairs)]
	return l
}

func round(x float64) float64 { return math.Round(1000*x) / 1000 }

// RestoreLearned takes in what a former owner has learned. It returns an error
// and takes in nothing if that was learned with other pressures.
func (e *Engine) RestoreLearned(l Learned) error {
	for _, p := range l.Pairs {
		if len(p.Permille) != len(pressures) {
			return fmt.Errorf("pair %s/%s has %d probabilities, want %d", p.Service, p.BestEffort, len(p.Permille), len(pressures))
		}
	}
	for _, s := range l.Services {
		e.interference.floor[s.Image], e.interference.crest[s.Image] = s.BaselineTail, s.PeakLoad
	}
	for _, p := range l.Pairs {
		var b belief
		for k, permille := range p.Permille {
			b[k] = float64(permille) / 1000
		}
		e.interference.pressure[imagePair{p.Service, p.BestEffort}] = b.normalised()
	}
	return nil
}
