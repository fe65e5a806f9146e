package batch

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/place"
	"github.com/bambooyard/bambooyard/shard"
)

// Timing and rate limits of an owner.
const (
	startWindow         = 2 * time.Second        // between the decision to start a task and the latest start by the worker
	clockSkew           = time.Second            // maximum difference between two VMs' clocks
	renewalsPerTTL      = 4                      // renewals of a lease within its TTL
	flushInterval       = 100 * time.Millisecond // minimum time between two flushes of a shard
	maxFlushesPerSecond = 300                    // of all shards together
	planInterval        = time.Second            // maximum time between two plans of an unchanged shard
)

// owner is this daemon's view of one shard, whether or not it owns it. Its methods
// run on the control loop.
type owner struct {
	name     string
	manager  *Manager
	opts     *Options
	counters *counters
	log      log.Interface
	phase    chart.State
	vms      map[string]inventory.VM

	// inFlight is set while the acquisition or the recovery of the shard is in
	// progress.
	inFlight  bool
	releasing bool // the next transaction without start requests releases the shard
	// maybeOwned is set while this daemon may own the shard without knowing: after
	// an acquisition without a reply, or an aborted recovery.
	maybeOwned bool
	retryAt    time.Time

	head    shard.Head
	version platform.Version
	// expires is the time until which this daemon is known to own the shard, and
	// generation is the lease manager's generation when that was learnt.
	expires    time.Time
	generation int
	state      *shard.State
	ids        []shard.TaskID // sorted; nil after a task was added or removed
	planner    *place.Planner

	// records are applied but not yet part of a transaction; start requests are sent
	// after the records are committed.
	records       []shard.Record
	startRequests []platform.StartRequest
	puts          []platform.Put
	rowDeletes    []string        // accepted inbox rows and freed claims, deleted by the next transaction
	acceptedRows  map[string]bool // inbox rows in rowDeletes or in the pending transaction
	// pending is the transaction whose outcome is not yet known.
	pending          *transaction
	unwritten        map[shard.TaskID]bool // tasks with records that are not known to be committed
	flushedAt        time.Time
	plannedAt        time.Time
	changed          bool // since the last plan
	compaction       compaction
	endedAt          map[shard.TaskID]time.Time
	throttlePerMille map[shard.TaskID]int // of running tasks

	leases            *shard.Leases
	exchangeInFlight  map[string]bool
	lastExchange      map[string]time.Time
	lastReport        map[string]time.Time           // last report, by VM
	unreachable       map[string]bool                // VMs whose last exchange failed
	unacknowledged    map[string][]platform.LeaseRef // ended leases, by VM
	claimBlockedUntil map[string]time.Time           // time of the next attempt to claim a VM that another shard has claimed
	moveInFlight      bool
	workerAddresses   map[string]string // last known address, by VM
}

func newOwner(name string, m *Manager) *owner {
	return &owner{
		name:     name,
		manager:  m,
		opts:     &m.opts,
		counters: &m.counters,
		log:      m.opts.Log.WithField("shard", name),
		phase:    charts.Shard.Initial(),
		vms:      map[string]inventory.VM{},
		planner:  place.NewPlanner(),
	}
}

func (o *owner) owning() bool { return o.phase == charts.ShardOwning }

// acquirable reports whether this daemon may try to acquire the shard.
func (o *owner) acquirable() bool { return o.phase == charts.ShardIdle && !o.inFlight }

func (o *owner) setVMs(vms []inventory.VM) {
	o.vms = make(map[string]inventory.VM, len(vms))
	for _, vm := range vms {
		o.vms[vm.Name] = vm
	}
	o.changed = true
}

func (o *owner) transition(e chart.Event) {
	next, err := charts.Shard.Next(o.phase, e)
	if err != nil {
		o.log.WithError(err).Error("invalid shard transition")
		return
	}
	o.phase = next
	o.log.WithFields(log.Fields{"event": "shard_" + string(e), "epoch": o.head.Epoch}).Info(string(next))
}

func (o *owner) tick(now time.Time) {
	switch o.phase {
	case charts.ShardRecovering:
		o.recover(now)
	case charts.ShardOwning:
		o.exchangeAll(now)
		o.lapseExpired(now)
		o.plan(now)
		o.flush(now)
	}
}

// ownershipConfirmed reports whether this daemon is known to own the shard at now.
func (o *owner) ownershipConfirmed(now time.Time) bool {
	return o.generation == o.manager.ownerLease.generation && now.Before(o.expires)
}

// record applies a record and queues it for the next flush. It reports whether the
// record was valid.
func (o *owner) record(r shard.Record) bool {
	if err := o.state.Apply(r); err != nil {
		o.log.WithFields(log.Fields{"event": "record_rejected", "task": r.Task}).WithError(err).Warn("record not applied")
		return false
	}
	if r.Event == charts.TaskLapse {
		o.counters.lapses.Inc(1)
	}
	switch r.Event {
	case shard.RecordAccept, shard.RecordForget, shard.RecordMove:
		o.ids = nil
	}
	o.records = append(o.records, r)
	o.unwritten[r.Task] = true
	o.changed = true
	return true
}

// taskIDs returns the IDs of all tasks, sorted so that decisions are deterministic.
func (o *owner) taskIDs() []shard.TaskID {
	if o.ids == nil {
		o.ids = slices.Sorted(maps.Keys(o.state.Tasks))
	}
	return o.ids
}

// worker returns the worker of a VM, even if the VM has left the inventory.
func (o *owner) worker(vm string) platform.Worker {
	if v, ok := o.vms[vm]; ok {
		o.workerAddresses[vm] = v.WorkerAddress
	}
	return o.opts.Workers(o.workerAddresses[vm])
}

func (o *owner) cancelJob(job string) {
	for _, id := range o.taskIDs() {
		t := o.state.Tasks[id]
		if t.Spec.Job == job && charts.Task.Can(t.State, charts.TaskCancel) {
			o.record(shard.Record{Event: charts.TaskCancel, Task: id, Reason: cancelledByCaller})
		}
	}
}

func (o *owner) jobTasks(job string) []TaskStatus {
	var tasks []TaskStatus
	for _, t := range o.state.Tasks {
		if t.Spec.Job == job {
			tasks = append(tasks, taskStatus(t))
		}
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].ID < tasks[j].ID })
	return tasks
}

func taskStatus(t *shard.Task) TaskStatus {
	return TaskStatus{ID: string(t.Spec.ID), State: string(t.State), VM: t.VM, Attempt: t.Attempt, Reason: t.Reason}
}
