package batch

import (
	"hash/fnv"
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/membership"
)

// Options are the settings of a Manager.
type Options struct {
	Loop    control.Executor
	Table   platform.Table
	Workers platform.Workers
	Log     log.Interface
	Now     func() time.Time
	// Self returns this daemon's session; it is called on the loop.
	Self func() membership.Session
	// Live returns the live sessions; it is called on the loop.
	Live func(now time.Time) []membership.Session
	// LeaseTTL is how long a worker may run a task without renewal.
	LeaseTTL time.Duration
	// OwnerTTL is how long a shard's owner keeps it without renewal.
	OwnerTTL time.Duration
}

// Manager runs the shards that this daemon owns. All methods run on the
// control loop.
type Manager struct {
	opts   Options
	owners map[string]*owner
}

// NewManager returns a manager without shards.
func NewManager(opts Options) *Manager {
	return &Manager{opts: opts, owners: map[string]*owner{}}
}

// ShardNames returns the names of the shards of an inventory: its racks that
// have VMs.
func ShardNames(inv inventory.Inventory) []string {
	set := map[string]bool{}
	for _, vm := range inv.VMs {
		set[vm.Rack] = true
	}
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Adopt takes the VMs of a newly adopted document.
func (m *Manager) Adopt(_ document.Head, doc document.Document) {
	byRack := map[string][]inventory.VM{}
	for _, vm := range doc.Inventory.VMs {
		byRack[vm.Rack] = append(byRack[vm.Rack], vm)
	}
	for name, vms := range byRack {
		o, ok := m.owners[name]
		if !ok {
			o = newOwner(name, &m.opts)
			m.owners[name] = o
		}
		o.setVMs(vms)
		o.site = newSite(name, doc)
	}
}

// Tick advances every shard.
func (m *Manager) Tick(now time.Time) {
	live := m.opts.Live(now)
	self := m.opts.Self()
	for name, o := range m.owners {
		o.tick(now, candidate(name, live) == self.ID)
	}
}

// Owned returns the shards that this daemon owns, sorted.
func (m *Manager) Owned() []string {
	var names []string
	for name, o := range m.owners {
		if o.owning() {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// JobTasks returns the tasks of a job in a shard that this daemon owns, and
// whether it owns the shard. With cancel, the tasks are cancelled first.
func (m *Manager) JobTasks(shardName, job string, cancel bool) ([]TaskStatus, bool) {
	o, ok := m.owners[shardName]
	if !ok || !o.owning() {
		return nil, false
	}
	if cancel {
		o.cancelJob(job)
	}
	return o.jobTasks(job), true
}

// candidate returns the session that should own a shard: the highest random
// weight among those not leaving.
func candidate(shardName string, live []membership.Session) string {
	var best string
	var bestWeight uint64
	for _, s := range live {
		if s.Leaving {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(shardName + "\x00" + s.ID))
		if w := h.Sum64(); best == "" || w > bestWeight {
			best, bestWeight = s.ID, w
		}
	}
	return best
}
