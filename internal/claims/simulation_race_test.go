//go:build race

package claims_test

// simulationCount is the number of seeded simulations that a test runs under
// the race detector.
const simulationCount = 1_500
