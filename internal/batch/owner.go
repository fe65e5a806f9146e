package batch

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/place"
	"github.com/bambooyard/bambooyard/shard"
)

// Limits of an owner's work.
const (
	startWindow   = 2 * time.Second // from the decision to the last moment of a start
	clockSkew     = time.Second     // greatest difference between two VMs' clocks
	maxInbox      = 100             // jobs taken in one transaction
	maxLogRows    = 10_000          // log rows read in one scan
	renewalsByTTL = 4               // renewals of a lease within its lifetime
)

// head is the row that names a shard's owner.
type head struct {
	Owner         string `json:"owner"`
	Epoch         int64  `json:"epoch"`
	ExpiresUnixMS int64  `json:"expires_unix_ms"`
	// Sequence is the number of the last log row.
	Sequence int64 `json:"sequence"`
}

// owner is one shard seen from this daemon. Its methods run on the control loop.
type owner struct {
	name  string
	opts  *Options
	log   log.Interface
	phase chart.State
	vms   map[string]inventory.VM
	site  site
	busy  bool // a table operation is in progress

	head    head
	version platform.Version
	state   *shard.State
	planner *place.Planner
	// records are applied but not yet written; orders wait for that write.
	records []shard.Record
	orders  []platform.StartOrder
	taken   []string // inbox rows that the records cover
	// leaseUntil is the end of the last lease promised to each VM's tasks.
	leaseUntil map[string]time.Time
	exchanging map[string]bool
	exchanged  map[string]time.Time
	ended      map[string][]platform.LeaseRef // to be acknowledged, by VM
}

func newOwner(name string, opts *Options) *owner {
	return &owner{
		name:  name,
		opts:  opts,
		log:   opts.Log.WithField("shard", name),
		phase: charts.Shard.Initial(),
		vms:   map[string]inventory.VM{},

		planner: place.NewPlanner(),
	}
}

func (o *owner) owning() bool { return o.phase == charts.ShardOwning }

func (o *owner) setVMs(vms []inventory.VM) {
	o.vms = make(map[string]inventory.VM, len(vms))
	for _, vm := range vms {
		o.vms[vm.Name] = vm
	}
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

func (o *owner) tick(now time.Time, candidate bool) {
	if o.phase == charts.ShardIdle {
		if candidate && !o.busy {
			o.acquire(now)
		}
		return
	}
	if now.UnixMilli() >= o.head.ExpiresUnixMS && !o.busy {
		o.move(charts.ShardLose)
		return
	}
	if !o.owning() {
		return
	}
	o.exchangeAll(now)
	o.lapseAll(now)
	if !o.busy {
		o.place(now)
		o.flush(now)
	}
}

type acquired struct {
	head    head
	version platform.Version
	state   *shard.State
	// until is the latest end of a lease that the former owner can have promised.
	until time.Time
}

var errOwned = errors.New("shard has a live owner")

// acquire takes the shard if its owner's time has run out, and recovers its state.
func (o *owner) acquire(now time.Time) {
	o.busy = true
	self := o.opts.Self().ID
	control.Async(o.opts.Loop, func(ctx context.Context) (acquired, error) {
		return o.takeOver(ctx, now, self)
	}, func(a acquired, err error) {
		o.busy = false
		if errors.Is(err, errOwned) {
			return
		}
		if err != nil {
			o.log.WithFields(log.Fields{"event": "shard_acquire_failed"}).WithError(err).Warn("not acquired")
			return
		}
		o.acquired(a)
	})
}

func (o *owner) takeOver(ctx context.Context, now time.Time, self string) (acquired, error) {
	key := platform.ShardHeadKey(o.name)
	rows, err := o.opts.Table.Get(ctx, key)
	if err != nil {
		return acquired{}, err
	}
	var old head
	if rows[0].Version != 0 {
		if err := json.Unmarshal(rows[0].Value, &old); err != nil {
			return acquired{}, err
		}
	}
	expires := time.UnixMilli(old.ExpiresUnixMS)
	if old.Owner != "" && old.Owner != self && now.Before(expires.Add(clockSkew)) {
		return acquired{}, errOwned
	}
	next := head{
		Owner:         self,
		Epoch:         old.Epoch + 1,
		ExpiresUnixMS: now.Add(o.opts.OwnerTTL).UnixMilli(),
		Sequence:      old.Sequence,
	}
	value, err := json.Marshal(next)
	if err != nil {
		return acquired{}, err
	}
	version, err := o.opts.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: rows[0].Version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return acquired{}, err
	}
	state, err := o.replay(ctx)
	return acquired{head: next, version: version, state: state, until: expires.Add(o.opts.LeaseTTL)}, err
}

// replay applies the shard's log.
func (o *owner) replay(ctx context.Context) (*shard.State, error) {
	state := shard.NewState()
	prefix := platform.ShardLogPrefix(o.name)
	after := ""
	for {
		rows, err := o.opts.Table.Scan(ctx, prefix, after, maxLogRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var records []shard.Record
			if err := json.Unmarshal(row.Value, &records); err != nil {
				return nil, err
			}
			for _, r := range records {
				if err := state.Apply(r); err != nil {
					return nil, err
				}
			}
			after = row.Key
		}
		if len(rows) < maxLogRows {
			return state, nil
		}
	}
}

func (o *owner) acquired(a acquired) {
	o.head, o.version, o.state = a.head, a.version, a.state
	o.records, o.orders, o.taken = nil, nil, nil
	o.leaseUntil = map[string]time.Time{}
	o.exchanging = map[string]bool{}
	o.exchanged = map[string]time.Time{}
	o.ended = map[string][]platform.LeaseRef{}
	for vm := range a.state.Committed {
		o.leaseUntil[vm] = a.until
	}
	o.move(charts.ShardAcquire)
	o.move(charts.ShardRecovered)
}

// record applies a record; it is written by the next flush.
func (o *owner) record(r shard.Record) bool {
	if err := o.state.Apply(r); err != nil {
		o.log.WithFields(log.Fields{"event": "record_rejected", "task": r.Task}).WithError(err).Warn("not applied")
		return false
	}
	o.records = append(o.records, r)
	return true
}

func (o *owner) cancelJob(job string) {
	for id, t := range o.state.Tasks {
		if t.Spec.Job == job && charts.Task.Can(t.State, charts.TaskCancel) {
			o.record(shard.Record{Event: charts.TaskCancel, Task: id, Reason: "cancelled by the caller"})
		}
	}
}

func (o *owner) jobTasks(job string) []TaskStatus {
	var tasks []TaskStatus
	for id, t := range o.state.Tasks {
		if t.Spec.Job == job {
			tasks = append(tasks, TaskStatus{
				ID: string(id), State: string(t.State), VM: t.VM, Attempt: t.Attempt, Reason: t.Reason,
			})
		}
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].ID < tasks[j].ID })
	return tasks
}
