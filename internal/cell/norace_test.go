//go:build !race

package cell

// defaultHistories is how many seeded defaultHistories a test run plays.
const defaultHistories = 150
