//go:build race

package cell

// histories is fewer under the race detector, which is ten times slower.
const histories = 15
