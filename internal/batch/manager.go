package batch

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/shard"
)

// Options are the settings of a Manager.
type Options struct {
	Loop    control.Executor
	Table   platform.Table
	Objects platform.ObjectStore
	Workers platform.Workers
	Log     log.Interface
	Now     func() time.Time
	// Self returns this daemon's session; it is called on the loop.
	Self func() membership.Session
	// Live returns the live sessions; it is called on the loop.
	Live func(now time.Time) []membership.Session
	// Observe is told how tasks ended, once that is written; nil tells nobody.
	// It is called on the loop.
	Observe func(burn.Observation)
	// Metrics is where the counters are registered; nil keeps them private.
	Metrics metrics.Registry
	// LeaseTTL is how long a worker may run a task without renewal.
	LeaseTTL time.Duration
	// OwnerTTL is how long a shard's owner keeps it without renewal.
	OwnerTTL time.Duration
	// RenewalGrace is how long after that an owner which cannot reach the table
	// service goes on renewing running tasks; zero is defaultRenewalGrace.
	RenewalGrace time.Duration
	// Retention is how long an ended job stays in its shard's record; zero is
	// defaultRetention.
	Retention time.Duration
	// SnapshotRows is the number of log rows after which a shard's record is
	// written as a snapshot; zero is defaultSnapshotRows.
	SnapshotRows int64
}

// Defaults of the options.
const (
	defaultRenewalGrace = 2 * time.Minute
	defaultRetention    = time.Hour
	defaultSnapshotRows = 200
)

func (o Options) timing() shard.Timing {
	return shard.Timing{
		LeaseTTL:     o.LeaseTTL,
		OwnerTTL:     o.OwnerTTL,
		RenewalGrace: o.RenewalGrace,
		ClockSkew:    clockSkew,
		StartWindow:  startWindow,
	}
}

// Manager runs the shards that this daemon owns. All methods run on the
// control loop.
type Manager struct {
	opts     Options
	timing   shard.Timing
	counters counters
	revision document.Revision
	// directory is of the adopted document.
	directory *Directory
	owners    map[string]*owner
	sorted    []string // names of the owners, or nil after one was added
	keeper    *leaseKeeper
	watch     watch
	inbox     inbox
	draining  bool
	// candidates is the session that should own each shard, of those that were
	// able to when it was found.
	candidates map[string]string
	able       []string
	// otherSince is since when another daemon should own a shard, by shard.
	otherSince map[string]time.Time
	handedOver time.Time
	namesRead  time.Time // when the names of all shards were read
}

// NewManager returns a manager without shards.
func NewManager(opts Options) *Manager {
	if opts.RenewalGrace == 0 {
		opts.RenewalGrace = defaultRenewalGrace
	}
	if opts.Retention == 0 {
		opts.Retention = defaultRetention
	}
	if opts.SnapshotRows == 0 {
		opts.SnapshotRows = defaultSnapshotRows
	}
	m := &Manager{
		opts:       opts,
		directory:  NewDirectory(document.Document{}),
		timing:     opts.timing(),
		counters:   newCounters(opts.Metrics),
		owners:     map[string]*owner{},
		otherSince: map[string]time.Time{},
	}
	m.keeper = newLeaseKeeper(m)
	return m
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

// Adopt takes the VMs of a newly adopted document. A shard whose VMs have all
// left stays until its tasks have ended.
func (m *Manager) Adopt(head document.Head, doc document.Document) {
	if head.Revision < m.revision {
		return
	}
	m.revision = head.Revision
	byRack := map[string][]inventory.VM{}
	for _, vm := range doc.Inventory.VMs {
		byRack[vm.Rack] = append(byRack[vm.Rack], vm)
	}
	for name := range byRack {
		m.owner(name)
	}
	m.directory = NewDirectory(doc)
	for name, o := range m.owners {
		o.setVMs(byRack[name])
	}
}

// owner returns a shard seen from this daemon. A shard that is not in the
// inventory has no VMs.
func (m *Manager) owner(name string) *owner {
	o, ok := m.owners[name]
	if !ok {
		o = newOwner(name, m)
		m.owners[name] = o
		m.sorted = nil
	}
	return o
}

// Tick advances every shard.
func (m *Manager) Tick(now time.Time) {
	m.keeper.renew(now)
	m.findShards(now)
	live := m.opts.Live(now)
	m.chooseCandidates(live)
	m.watchHeads(now)
	m.scanInbox(now, len(live))
	m.handOver(now)
	for _, name := range m.names() {
		m.owners[name].tick(now)
	}
}

// chooseCandidates finds the session that should own each shard, when the
// shards or the sessions have changed.
func (m *Manager) chooseCandidates(live []membership.Session) {
	able := make([]string, 0, len(live))
	for _, s := range live {
		if !s.Leaving {
			able = append(able, s.ID)
		}
	}
	if len(m.candidates) == len(m.owners) && slices.Equal(able, m.able) {
		return
	}
	m.able = able
	m.candidates = make(map[string]string, len(m.owners))
	for name := range m.owners {
		m.candidates[name] = candidate(name, able)
	}
}

// names returns the names of the shards, sorted.
func (m *Manager) names() []string {
	if m.sorted == nil {
		m.sorted = slices.Sorted(maps.Keys(m.owners))
	}
	return m.sorted
}

// Owned returns the shards that this daemon owns, sorted.
func (m *Manager) Owned() []string {
	var names []string
	for _, name := range m.names() {
		if m.owners[name].owning() {
			names = append(names, name)
		}
	}
	return names
}

// Committed returns what tasks hold of the VMs of the shards that this daemon
// owns, by VM name.
func (m *Manager) Committed() map[string]inventory.Resources {
	sum := map[string]inventory.Resources{}
	for _, name := range m.names() {
		if o := m.owners[name]; o.owning() {
			for vm, held := range o.state.Committed {
				sum[vm] = sum[vm].Add(held)
			}
		}
	}
	return sum
}

// JobTasks returns the tasks of a job in a shard that this daemon owns, and
// whether it owns the shard. With cancel, the tasks are cancelled first.
func (m *Manager) JobTasks(shardName, job string, cancel bool) ([]TaskStatus, bool) {
	o, ok := m.owners[shardName]
	if !ok || !o.owning() || !m.opts.Now().Before(o.expires) {
		return nil, false
	}
	if cancel {
		o.cancelJob(job)
	}
	return o.jobTasks(job), true
}

// candidate returns the session that should own a shard: the highest random
// weight.
func candidate(shardName string, sessions []string) string {
	var best string
	var bestWeight uint64
	for _, id := range sessions {
		h := fnv.New64a()
		_, _ = h.Write([]byte(shardName + "\x00" + id))
		if w := h.Sum64(); best == "" || w > bestWeight {
			best, bestWeight = id, w
		}
	}
	return best
}
