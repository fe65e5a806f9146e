package batch

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/shard"
)

// checker follows every transaction and every start, and notes what must never
// happen. Both kinds of breach can begin only at such a moment.
type checker struct {
	w        *world
	states   map[string]*shard.State // what the written records say, by shard
	sequence map[string]int64
	ended    map[shard.TaskID]string    // states of tasks that have ended
	attempts map[platform.LeaseRef]bool // attempts that a worker has started
	rows     int                        // log rows so far
	evicted  int                        // evictions so far
	resumed  int                        // starts from a checkpoint so far
	history  interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
	breaches []string
}

func newChecker(w *world) *checker {
	return &checker{
		w: w, states: map[string]*shard.State{}, sequence: map[string]int64{},
		ended: map[shard.TaskID]string{}, attempts: map[platform.LeaseRef]bool{}, history: fnv.New64a(),
	}
}

func (c *checker) breach(format string, args ...any) {
	at := c.w.clock.Now().Format("05.000 ")
	c.breaches = append(c.breaches, at+fmt.Sprintf(format, args...))
}

// committed applies the log rows of a transaction.
func (c *checker) committed(txn platform.Txn) {
	for _, put := range txn.Puts {
		fmt.Fprintf(c.history, "%s=%s;", put.Key, put.Value)
		parts := strings.Split(put.Key, "/")
		if parts[0] != "shards" || parts[2] != "log" {
			continue
		}
		c.sequence[parts[1]]++
		if put.Key != platform.ShardLogKey(parts[1], c.sequence[parts[1]]) {
			c.breach("log row %s does not follow", put.Key)
		}
		var records []shard.Record
		_ = json.Unmarshal(put.Value, &records)
		c.rows++
		for _, r := range records {
			c.apply(parts[1], r)
		}
	}
}

func (c *checker) apply(name string, r shard.Record) {
	s := c.states[name]
	if s == nil {
		s = shard.NewState()
		c.states[name] = s
	}
	if r.Event == shard.RecordAccept && r.Moved == nil && c.ended[r.Task] != "" {
		c.breach("task %s was accepted again after its end", r.Task)
	}
	if err := s.Apply(r); err != nil {
		c.breach("record does not fit: %v", err)
		return
	}
	if r.Event == charts.TaskEvict {
		c.evicted++
	}
	if r.Event == charts.TaskStart {
		c.checkCommitment(r.VM)
	}
	if t := s.Tasks[r.Task]; t != nil && charts.Task.IsFinal(t.State) {
		c.ended[r.Task] = string(t.State)
	}
}

// checkCommitment adds up what all shards have committed of a VM. Only a start
// adds to it.
func (c *checker) checkCommitment(vm string) {
	var committed inventory.Resources
	for _, s := range c.states {
		committed = committed.Add(s.Committed[vm])
	}
	if !committed.Fits(testCapacity) {
		c.breach("VM %s is committed to %v", vm, committed)
	}
}

// started checks a task that has just started on a VM.
func (c *checker) started(v *vm, o platform.StartRequest) {
	fmt.Fprintf(c.history, "%s:%s#%d@%v;", v.name, o.Task, o.Attempt, c.w.clock.Now())
	ref := platform.LeaseRef{Task: o.Task, Attempt: o.Attempt}
	if c.attempts[ref] {
		c.breach("attempt %v was started twice", ref)
	}
	c.attempts[ref] = true
	places := 0
	for _, other := range c.w.vms {
		for _, task := range other.worker.Running() {
			if task == o.Task {
				places++
			}
		}
	}
	if places > 1 {
		c.breach("task %s runs in %d places", o.Task, places)
	}
	var t *shard.Task
	if s := c.states[o.Shard]; s != nil {
		t = s.Tasks[shard.TaskID(o.Task)]
	}
	if t == nil || !t.OccupiesVM() || t.VM != v.name || t.Attempt != o.Attempt {
		c.breach("start of %v on %s is not in the record: %+v", ref, v.name, t)
		return
	}
	if t.Checkpoint != o.Checkpoint {
		c.breach("start of %v resumes from %q, not %q", ref, o.Checkpoint, t.Checkpoint)
	}
	if o.Checkpoint != "" {
		c.resumed++
	}
}

// acknowledged checks that a worker forgets no attempt whose end is not written.
func (c *checker) acknowledged(e platform.ExchangeRequest) {
	for _, ref := range e.Acknowledge {
		if s := c.states[e.Shard]; s == nil {
			continue
		} else if t := s.Tasks[shard.TaskID(ref.Task)]; t != nil && t.OccupiesVM() && t.Attempt == ref.Attempt {
			c.breach("end of %v was acknowledged before it was written", ref)
		}
	}
}

// open returns the accepted tasks that have not ended.
func (c *checker) open() []shard.TaskID {
	var open []shard.TaskID
	for _, job := range c.w.jobs {
		for _, spec := range job.specs() {
			if c.ended[spec.ID] == "" {
				open = append(open, spec.ID)
			}
		}
	}
	return open
}

// all returns every breach, with those that the workers saw.
func (c *checker) all() []string {
	all := slices.Clone(c.breaches)
	for _, v := range c.w.vms {
		for _, b := range v.worker.Violations() {
			all = append(all, v.name+" "+b)
		}
	}
	return all
}
