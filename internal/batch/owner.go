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

// Limits of an owner's work.
const (
	startWindow   = 2 * time.Second        // from the decision to the last moment of a start
	clockSkew     = time.Second            // greatest difference between two VMs' clocks
	renewalsByTTL = 4                      // renewals of a lease within its lifetime
	flushInterval = 100 * time.Millisecond // least time between two flushes of a shard
	flushesBudget = 300                    // flushes a second of all shards together
	planInterval  = time.Second            // between two plans when nothing has changed
)

// owner is one shard seen from this daemon. Its methods run on the control loop.
type owner struct {
	name     string
	manager  *Manager
	opts     *Options
	counters *counters
	log      log.Interface
	phase    chart.State
	vms      map[string]inventory.VM

	// busy is set while the shard is being taken or its state recovered.
	busy      bool
	releasing bool
	// unsure is set while the shard may have become this daemon's by a write
	// without a reply, or has been left half recovered.
	unsure  bool
	retryAt time.Time

	head    shard.Head
	version platform.Version
	// expires is until when the row of this daemon is known to hold the shard,
	// and generation the keeper's count of late renewals when that was learnt.
	expires    time.Time
	generation int
	state      *shard.State
	ids        []shard.TaskID // sorted, or nil after a task was added or removed
	planner    *place.Planner

	// records are applied but not yet in a transaction; orders wait for it.
	records []shard.Record
	orders  []platform.StartRequest
	puts    []platform.Put
	taken   []string        // inbox rows that the records cover
	taking  map[string]bool // those, and the ones in the transaction
	// pending is the transaction whose outcome is not yet known.
	pending   *transaction
	unwritten map[shard.TaskID]bool // tasks with records not known to be written
	flushedAt time.Time
	plannedAt time.Time
	changed   bool // since the last plan
	compact   compaction
	endedAt   map[shard.TaskID]time.Time
	throttled map[shard.TaskID]int // in thousandths, of running tasks

	leases     *shard.Leases
	exchanging map[string]bool
	exchanged  map[string]time.Time
	reportedAt map[string]time.Time           // last report, by VM
	silent     map[string]bool                // VMs whose last exchange failed
	ended      map[string][]platform.LeaseRef // to be acknowledged, by VM
	blocked    map[string]time.Time           // until when a VM is left to another shard
	moving     bool
	workers    map[string]string // last known worker address, by VM
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

// free reports whether the shard may be taken from here.
func (o *owner) free() bool { return o.phase == charts.ShardIdle && !o.busy }

func (o *owner) setVMs(vms []inventory.VM) {
	o.vms = make(map[string]inventory.VM, len(vms))
	for _, vm := range vms {
		o.vms[vm.Name] = vm
	}
	o.changed = true
}

func (o *owner) move(e chart.Event) {
	next, err := charts.Shard.Next(o.phase, e)
	if err != nil {
		o.log.WithError(err).Error("shard chart")
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
		o.lapseAll(now)
		o.plan(now)
		o.flush(now)
	}
}

// confirmed reports whether the shard is known to be this daemon's at now.
func (o *owner) confirmed(now time.Time) bool {
	return o.generation == o.manager.keeper.generation && now.Before(o.expires)
}

// record applies a record; it is written by the next flush.
func (o *owner) record(r shard.Record) bool {
	if err := o.state.Apply(r); err != nil {
		o.log.WithFields(log.Fields{"event": "record_rejected", "task": r.Task}).WithError(err).Warn("not applied")
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

// taskIDs returns the IDs of all tasks, sorted, so that every run decides alike.
func (o *owner) taskIDs() []shard.TaskID {
	if o.ids == nil {
		o.ids = slices.Sorted(maps.Keys(o.state.Tasks))
	}
	return o.ids
}

// worker returns the worker of a VM, also after the VM has left the inventory.
func (o *owner) worker(vm string) platform.Worker {
	if v, ok := o.vms[vm]; ok {
		o.workers[vm] = v.WorkerAddress
	}
	return o.opts.Workers(o.workers[vm])
}

func (o *owner) cancelJob(job string) {
	for _, id := range o.taskIDs() {
		t := o.state.Tasks[id]
		if t.Spec.Job == job && charts.Task.Can(t.State, charts.TaskCancel) {
			o.record(shard.Record{Event: charts.TaskCancel, Task: id, Reason: cancelledByJob})
		}
	}
}

func (o *owner) jobTasks(job string) []TaskStatus {
	var tasks []TaskStatus
	for _, t := range o.state.Tasks {
		if t.Spec.Job == job {
			tasks = append(tasks, status(t))
		}
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].ID < tasks[j].ID })
	return tasks
}

func status(t *shard.Task) TaskStatus {
	return TaskStatus{ID: string(t.Spec.ID), State: string(t.State), VM: t.VM, Attempt: t.Attempt, Reason: t.Reason}
}
