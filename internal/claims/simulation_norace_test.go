//go:build !race

package claims_test

// simulationCount is the number of seeded simulations that a test runs.
const simulationCount = 12_000
