//go:build !race

package cell

// histories is how many seeded histories a test run plays.
const histories = 150
