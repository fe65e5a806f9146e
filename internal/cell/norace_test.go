//go:build !race

package cell

// defaultHistories is the number of seeded histories in a test run.
const defaultHistories = 150
