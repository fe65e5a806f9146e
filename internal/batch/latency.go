package batch

import "github.com/bambooyard/bambooyard/place"

// ObserveLatency lets the planner of the VM's shard learn from a measurement
// of a quick service. A VM of a shard that this daemon does not own is ignored.
func (m *Manager) ObserveLatency(l place.ServiceLatency) {
	for _, o := range m.owners {
		if _, listed := o.vms[l.Machine]; listed && o.owning() {
			o.planner.ObserveLatency(l)
			o.changed = true
		}
	}
}
