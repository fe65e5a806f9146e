package route

// shortSlotsDivisor gives the part of a target's slots that is reserved for short
// requests: one in four.
const shortSlotsDivisor = 4

// LongSlots returns how many of a target's slots long requests may use. At least
// one slot is reserved for short requests, unless the target has only one.
func LongSlots(slots int) int {
	reserved := (slots + shortSlotsDivisor - 1) / shortSlotsDivisor
	return max(1, slots-reserved)
}

// Share returns how many units of the target with the given index the daemon with
// the given rank may use. The shares of all ranks add up to units, and the sum of a
// daemon's shares of several targets differs from the mean of all daemons by less
// than one unit.
func Share(index, units, rank, daemons int) int {
	if daemons <= 1 {
		return units
	}
	first := index * units
	return countBelow(first+units, rank, daemons) - countBelow(first, rank, daemons)
}

// countBelow returns how many of 0..n-1 have the given remainder modulo modulus.
func countBelow(n, remainder, modulus int) int {
	return (n - remainder + modulus - 1) / modulus
}

// ConnectionShare returns a daemon's share of a target's connections, at least one.
func ConnectionShare(connections, daemons int) int {
	return max(1, connections/max(1, daemons))
}
