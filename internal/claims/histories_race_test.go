//go:build race

package claims_test

// histories is how many seeded histories a test runs under the race detector.
const histories = 1_500
