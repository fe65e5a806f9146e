package dispatch

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestLearnedIsPassedToNextOwner(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testOptions)
	own := observeTails(&e.interference, serviceLoad{}, nil, tailOf(0.1), tailOf(0.4))
	observeTails(&e.interference, own, map[string]float64{"heavy": 0.2}, tailOf(0.9), tailOf(0.92))
	value, err := json.Marshal(e.Learned())
	is.NoErr(err)
	var l Learned
	is.NoErr(json.Unmarshal(value, &l))
	next := NewEngine(testOptions)
	is.NoErr(next.RestoreLearned(l))
	before, after := e.interference.coefficientOf("desk", "heavy"), next.interference.coefficientOf("desk", "heavy")
	is.True(before > prior.mean())
	is.True(after > 0.95*before && after < 1.05*before)
	is.Equal(roundThousandths(e.interference.baselineTailOf("desk")), next.interference.baselineTailOf("desk"))
	is.Equal(len(next.Learned().Pairs), 1)
}

func TestLearnedWithOtherCoefficientsIsRejected(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testOptions)
	err := e.RestoreLearned(Learned{
		Services: []LearnedService{{Image: "desk", BaselineTail: 0.1}},
		Pairs:    []LearnedPair{{Service: "desk", BestEffort: "scan", Permille: []int{1000}}},
	})
	is.True(err != nil)
	is.Equal(e.interference.baselineTailOf("desk"), defaultBaselineTail)
}

// Guards against services that are disturbed once in every cell until it has learned a
// heavy pair of images by itself.
func TestPairsOfOtherCellsAreStartedFrom(t *testing.T) {
	is := is.New(t)
	first := NewEngine(testOptions)
	first.interference.posteriors[imagePair{"desk", "unclear"}] = prior // tells nothing
	first.interference.posteriors[imagePair{"desk", "heavy"}] = posterior{5: 0.1, 6: 0.9}
	told := first.TakeLearned()
	is.Equal(len(told), 1)
	is.Equal(len(first.TakeLearned()), 0) // nothing new
	first.TellAllLearned()
	is.Equal(first.TakeLearned(), told)

	second := NewEngine(testOptions)
	second.ImportLearned(told)
	is.True(second.interference.coefficientOf("desk", "heavy") > prior.mean())
	is.Equal(len(second.TakeLearned()), 0) // what was imported is not told again
	is.Equal(len(second.Learned().Pairs), 0)

	// What is observed here takes precedence.
	second.interference.posteriors[imagePair{"desk", "heavy"}] = posterior{0: 1}
	second.ImportLearned(told)
	is.Equal(second.interference.coefficientOf("desk", "heavy"), 0.0)

	second.ImportLearned([]LearnedPair{{Service: "desk", BestEffort: "scan", Permille: []int{1000}}})
	is.Equal(second.interference.coefficientOf("desk", "scan"), prior.mean()) // other coefficients
}
