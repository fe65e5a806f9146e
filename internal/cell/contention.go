package cell

// observeBestEffort updates the gauges of best-effort tasks, which cover the cells that this
// daemon owns.
func (g *Group) observeBestEffort() {
	waiting, workers, load := 0, 0, 0.0
	for _, c := range append(g.others(), g.lead) {
		if c.term == nil {
			continue
		}
		tasks, n, sum := c.term.engine.BestEffortState()
		waiting, workers, load = waiting+tasks, workers+n, load+sum
	}
	g.lead.instruments.bestEffortWaiting.Update(int64(waiting))
	g.lead.instruments.bestEffortLoad.Update(int64(100 * load / float64(max(1, workers))))
}
