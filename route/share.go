package route

// keptShortDivisor is the part of a target's slots that long work may not
// take: one in four.
const keptShortDivisor = 4

// LongSlots returns how many of a target's slots long work may take. At least
// one slot is kept for short work, unless the target has only one.
func LongSlots(slots int) int {
	kept := (slots + keptShortDivisor - 1) / keptShortDivisor
	return max(1, slots-kept)
}

// Share returns how many of the units of the target with the given index
// belong to the daemon with the given rank. The shares of all ranks add up to
// units, and a daemon's shares of many targets differ from the mean by less
// than one unit in all.
func Share(index, units, rank, daemons int) int {
	if daemons <= 1 {
		return units
	}
	first := index * units
	return countBelow(first+units, rank, daemons) - countBelow(first, rank, daemons)
}

// countBelow returns how many of 0..n-1 leave the given remainder.
func countBelow(n, remainder, modulus int) int {
	return (n - remainder + modulus - 1) / modulus
}

// ConnectionShare is a daemon's part of a target's connections, at least one.
func ConnectionShare(connections, daemons int) int {
	return max(1, connections/max(1, daemons))
}
