package rules_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/rules"
)

var inv = inventory.Inventory{
	Regions:  []inventory.Region{{Name: "hobart"}, {Name: "launceston"}},
	Services: []inventory.Service{{Name: "stock-check"}},
}

// TestRulesAreRefusedOnlyForValuesOutOfRange draws values on both sides of
// every limit and compares the result with the expected validity.
func TestRulesAreRefusedOnlyForValuesOutOfRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deadline := rapid.Int64Range(-1, 3).Draw(t, "deadline")
		maxDeadline := rapid.Int64Range(0, 3).Draw(t, "longest deadline")
		weight := rapid.IntRange(-1, 2).Draw(t, "weight")
		quota := rapid.Int64Range(-1, 1).Draw(t, "quota")
		target := rapid.SampledFrom([]float64{-1, 0, 0.5, 0.999, 1, 99}).Draw(t, "target")
		bits := rapid.Int64Range(-1, 1).Draw(t, "bits")
		r := rules.Rules{
			Services:   []rules.Service{{Name: "stock-check", DeadlineMS: deadline, MaxDeadlineMS: maxDeadline}},
			Members:    []rules.Member{{Name: "conservators", Weight: weight, QuotaMilliProcessors: quota}},
			Links:      []rules.Link{{Regions: []string{"hobart", "launceston"}, BitsPerSecond: bits}},
			Objectives: []rules.Objective{{Service: "stock-check", Member: "conservators", LatencyMS: 1, Target: target}},
		}
		valid := deadline > 0 && maxDeadline >= deadline && weight > 0 && quota >= 0 && target > 0 && target < 1 && bits > 0
		if err := rules.Check(r, inv); (err == nil) != valid {
			t.Fatalf("valid is %t, but Check returned %v", valid, err)
		}
	})
}

func ExampleCheck() {
	r := rules.Rules{Members: []rules.Member{{Name: "conservators", Weight: 0}}}
	fmt.Println(rules.Check(r, inv))
	// Output: field members[0].weight: value "0" must be positive
}
