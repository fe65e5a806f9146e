package cellmap

const (
	// unownedLoad is assumed, in percent, for a cell without an owner if no other load is
	// known.
	unownedLoad = 30
	// silentLoad is assumed, in percent, for a cell whose owner does not reply. It may take
	// seconds until another daemon replaces the owner.
	silentLoad = 95
)

// AssumeLoads replaces the loads that are not known, which are nil. owned tells which cells
// have an owner. A cell without one gets an owner soon and fills like the others, so that
// the mean of the known loads is assumed for it: with a fixed load, all jobs of a surge
// that comes before the owner go to the other cells until these reach that load.
func AssumeLoads(loads []*Load, owned []bool) {
	sum, known := Load{}, int64(0)
	for _, l := range loads {
		if l != nil {
			sum = Load{sum.Capacity + l.Capacity, sum.Reserved + l.Reserved, sum.BestEffort + l.BestEffort}
			known++
		}
	}
	unowned := Load{Capacity: 100, Reserved: unownedLoad}
	if known > 0 {
		unowned = Load{sum.Capacity / known, sum.Reserved / known, sum.BestEffort / known}
	}
	for i, l := range loads {
		switch {
		case l != nil:
		case owned[i]:
			loads[i] = &Load{Capacity: 100, Reserved: silentLoad}
		default:
			assumed := unowned
			loads[i] = &assumed
		}
	}
}
