package cellmap

import (
	"slices"
	"strings"
)

const (
	// membersPerCell is the number of daemons that may own a cell. Two may fail at once
	// without the owner of the lead cell noticing in time.
	membersPerCell = 3
	// standbyLoad is the load of a member that does not own the cell, relative to its
	// owner's: it follows the owner.
	standbyLoad = 0.1
	// leadLoad is the load of the lead cell's owner, which every daemon follows.
	leadLoad = 2
	// remoteFactor is the factor by which the load of a cell counts more at a daemon in
	// another region, because its listings cross the link between them.
	remoteFactor = 2
	// storeFailingLoad makes a daemon without the store the last choice.
	storeFailingLoad = 1e6
	// rebalanceRatio is the ratio of the loads of two daemons, relative to their
	// capacities, from which a cell moves to the less loaded one.
	rebalanceRatio = 2
)

// loads holds the load of each daemon, relative to its capacity, by name.
type loads map[string]float64

// share returns the load of one cell at a daemon, relative to the daemon's capacity.
func share(d Daemon, region string) float64 {
	load := 1000 / float64(max(d.MilliCPU, 1))
	if d.Region != region {
		load *= remoteFactor
	}
	return load
}

// assignMembers keeps the members of each cell: daemons that are lost are replaced, and
// the one that owns the cell comes first. It reports whether anything has changed.
func (m *Map) assignMembers(in Input) bool {
	byName := map[string]Daemon{}
	for _, d := range in.Daemons {
		byName[d.Name] = d
	}
	before := make([][]Member, len(m.Cells))
	for n := range m.Cells {
		before[n] = m.Cells[n].Members
	}
	load := loads{}
	for _, d := range in.Daemons {
		if d.Lead {
			load[d.Name] = leadLoad * share(d, d.Region)
		}
	}
	for n := Lead + 1; n < len(m.Cells); n++ {
		m.dropMembers(n, in, byName)
		m.addLoads(n, byName, load)
	}
	for n := Lead + 1; n < len(m.Cells); n++ {
		m.fillMembers(n, in, byName, load)
	}
	m.rebalance(in, load)
	for n := range m.Cells {
		if !slices.Equal(before[n], m.Cells[n].Members) {
			return true
		}
	}
	return false
}

// dropMembers removes the members of a cell that cannot own it, as long as others can,
// and moves its owner to the front.
func (m *Map) dropMembers(n int, in Input, byName map[string]Daemon) {
	c := &m.Cells[n]
	owner, reported := in.Owners[n]
	// Without an owner that can commit, the members must reach the store to take over.
	mayOwn := func(d Daemon) bool { return d.usable() && (reported || !d.StoreFailing) }
	replaceable := slices.ContainsFunc(in.Daemons, mayOwn)
	members := slices.DeleteFunc(slices.Clone(c.Members), func(member Member) bool {
		d, known := byName[member.Name]
		return replaceable && (!known || !mayOwn(d))
	})
	for i := range members {
		if d, known := byName[members[i].Name]; known {
			members[i].Address = d.Address
		}
	}
	if i := slices.IndexFunc(members, func(member Member) bool { return member.Name == owner }); reported && i > 0 {
		members[0], members[i] = members[i], members[0]
	}
	c.Members = members
}

// addLoads adds the loads of a cell's members.
func (m *Map) addLoads(n int, byName map[string]Daemon, load loads) {
	for i, member := range m.Cells[n].Members {
		weight := 1.0
		if i > 0 {
			weight = standbyLoad
		}
		load[member.Name] += weight * share(byName[member.Name], m.Cells[n].Region)
	}
}

// fillMembers adds members to a cell, those that would have the least load first.
func (m *Map) fillMembers(n int, in Input, byName map[string]Daemon, load loads) {
	c := &m.Cells[n]
	for len(c.Members) < membersPerCell {
		d, ok := leastLoaded(c, in, load)
		if !ok {
			return
		}
		weight := 1.0
		if len(c.Members) > 0 {
			weight = standbyLoad
		}
		c.Members = append(c.Members, Member{d.Name, d.Address})
		load[d.Name] += weight * share(byName[d.Name], c.Region)
	}
}

// leastLoaded returns the daemon that is no member of a cell and would have the least load
// as its owner.
func leastLoaded(c *Cell, in Input, load loads) (Daemon, bool) {
	var best Daemon
	least := 0.0
	for _, d := range in.Daemons {
		if !d.usable() || slices.ContainsFunc(c.Members, func(member Member) bool { return member.Name == d.Name }) {
			continue
		}
		l := load[d.Name] + share(d, c.Region)
		if d.StoreFailing {
			l += storeFailingLoad
		}
		if best.Name == "" || l < least || l == least && strings.Compare(d.Name, best.Name) < 0 {
			best, least = d, l
		}
	}
	return best, best.Name != ""
}

// rebalance moves at most one cell from the most loaded daemon to one that would have much
// less load with it. Its present owner becomes the first standby.
func (m *Map) rebalance(in Input, load loads) {
	worst := -1
	for n := Lead + 1; n < len(m.Cells); n++ {
		members := m.Cells[n].Members
		if len(members) == 0 || in.Owners[n] != members[0].Name {
			return // a takeover or an earlier move is not finished
		}
		if worst < 0 || load[members[0].Name] > load[m.Cells[worst].Members[0].Name] {
			worst = n
		}
	}
	if worst < 0 {
		return
	}
	c := &m.Cells[worst]
	owner := c.Members[0]
	d, ok := leastLoaded(&Cell{Region: c.Region, Members: c.Members[:1]}, in, load)
	if !ok || load[owner.Name] < rebalanceRatio*(load[d.Name]+share(d, c.Region)) {
		return
	}
	members := slices.DeleteFunc(slices.Clone(c.Members), func(member Member) bool { return member.Name == d.Name })
	c.Members = append([]Member{{d.Name, d.Address}}, members[:min(len(members), membersPerCell-1)]...)
}
