//go:build !race

package claims_test

// histories is how many seeded histories a test runs.
const histories = 12_000
