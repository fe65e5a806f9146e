package batch

import "github.com/bambooyard/bambooyard/place"

// ObserveLatency passes a latency measurement of a latency-critical service to the
// planner of the VM's shard. It ignores VMs of shards that this daemon does not own.
func (m *Manager) ObserveLatency(l place.ServiceLatency) {
	for _, o := range m.owners {
		if _, listed := o.vms[l.Machine]; listed && o.owning() {
			o.planner.ObserveLatency(l)
			o.changed = true
		}
	}
}
