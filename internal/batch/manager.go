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
	// Self returns this daemon's session. It is called on the control loop.
	Self func() membership.Session
	// Live returns the live sessions. It is called on the control loop.
	Live func(now time.Time) []membership.Session
	// Observe is called on the control loop with the outcome of each task, once its
	// record is committed. It may be nil.
	Observe func(burn.Observation)
	// Metrics is the registry of the counters; nil keeps them private.
	Metrics metrics.Registry
	// LeaseTTL is how long a worker may run a task without renewal.
	LeaseTTL time.Duration
	// OwnerTTL is how long a daemon owns its shards without renewing its owner row.
	OwnerTTL time.Duration
	// RenewalGrace is how long after the expiry of its owner row an owner that cannot
	// reach the table service continues to renew running tasks; zero means
	// defaultRenewalGrace.
	RenewalGrace time.Duration
	// Retention is how long an ended job stays in its shard's state; zero means
	// defaultRetention.
	Retention time.Duration
	// SnapshotRows is the number of log rows after which a snapshot of the shard's
	// state is written; zero means defaultSnapshotRows.
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

// Manager runs the shards that this daemon owns. All methods must be called on the
// control loop.
type Manager struct {
	opts     Options
	timing   shard.Timing
	counters counters
	revision document.Revision
	// directory is built from the adopted document.
	directory   *Directory
	owners      map[string]*owner
	sortedNames []string // names of the owners; nil after one was added
	ownerLease  *leaseManager
	headPoll    headPoll
	inboxScan   inboxScan
	draining    bool
	// candidates maps each shard to the session that should own it, chosen from the
	// eligible sessions.
	candidates map[string]string
	eligible   []string
	// misplacedSince maps each owned shard that another daemon should own to the
	// time when that was first seen.
	misplacedSince map[string]time.Time
	lastHandOver   time.Time
	namesReadAt    time.Time // when the last scan of the shard names began
}

// NewManager returns a Manager without shards.
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
		opts:           opts,
		directory:      NewDirectory(document.Document{}),
		timing:         opts.timing(),
		counters:       newCounters(opts.Metrics),
		owners:         map[string]*owner{},
		misplacedSince: map[string]time.Time{},
	}
	m.ownerLease = newLeaseManager(m)
	return m
}

// ShardNames returns the sorted names of an inventory's shards: the racks that have
// VMs.
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

// Adopt applies the VMs of a newly adopted document. A shard whose VMs have all been
// removed stays until its tasks have ended.
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

// owner returns this daemon's view of a shard, and creates it if needed. A shard
// that is not in the inventory has no VMs.
func (m *Manager) owner(name string) *owner {
	o, ok := m.owners[name]
	if !ok {
		o = newOwner(name, m)
		m.owners[name] = o
		m.sortedNames = nil
	}
	return o
}

// Tick advances the owner lease and every shard.
func (m *Manager) Tick(now time.Time) {
	m.ownerLease.renew(now)
	m.discoverShards(now)
	live := m.opts.Live(now)
	m.chooseCandidates(live)
	m.pollHeads(now)
	m.scanInbox(now, len(live))
	m.handOver(now)
	for _, name := range m.names() {
		m.owners[name].tick(now)
	}
}

// chooseCandidates selects the session that should own each shard. It does so again
// only when the shards or the eligible sessions have changed.
func (m *Manager) chooseCandidates(live []membership.Session) {
	eligible := make([]string, 0, len(live))
	for _, s := range live {
		if !s.Leaving {
			eligible = append(eligible, s.ID)
		}
	}
	if len(m.candidates) == len(m.owners) && slices.Equal(eligible, m.eligible) {
		return
	}
	m.eligible = eligible
	m.candidates = make(map[string]string, len(m.owners))
	for name := range m.owners {
		m.candidates[name] = candidate(name, eligible)
	}
}

// names returns the names of the shards, sorted.
func (m *Manager) names() []string {
	if m.sortedNames == nil {
		m.sortedNames = slices.Sorted(maps.Keys(m.owners))
	}
	return m.sortedNames
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

// Committed returns the resources that tasks occupy on the VMs of the shards that
// this daemon owns, by VM name.
func (m *Manager) Committed() map[string]inventory.Resources {
	sum := map[string]inventory.Resources{}
	for _, name := range m.names() {
		if o := m.owners[name]; o.owning() {
			for vm, committed := range o.state.Committed {
				sum[vm] = sum[vm].Add(committed)
			}
		}
	}
	return sum
}

// JobTasks returns the tasks of a job in a shard, and whether this daemon owns the
// shard. If cancel is set, it cancels the tasks first.
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

// candidate returns the session that should own a shard, by rendezvous (highest
// random weight) hashing.
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
