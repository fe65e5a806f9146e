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
		p := LearnedPair{Service: pair.service, BestEffort: pair.bestEffort}
		for _, probability := range probabilities {
			p.Permille = append(p.Permille, int(math.Round(1000*probability)))
		}
		l.Pairs = append(l.Pairs, p)
	}
	slices.SortFunc(l.Pairs, func(a, b LearnedPair) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	l.Pairs = l.Pairs[:min(len(l.Pairs), maxLearnedPairs)]
	return l
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
		var restored posterior
		for k, permille := range p.Permille {
			restored[k] = float64(permille) / 1000
		}
		e.interference.posteriors[imagePair{p.Service, p.BestEffort}] = restored.normalised()
	}
	return nil
}
