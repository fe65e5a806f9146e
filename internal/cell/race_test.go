//go:build race

package cell

// defaultHistories is lower under the race detector, which is ten times slower.
const defaultHistories = 15
