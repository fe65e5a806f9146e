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

// checker checks the invariants at every transaction and every start, the only
// moments when one can first be violated.
type checker struct {
	sim           *simulation
	states        map[string]*shard.State // replayed from the written records, by shard
	sequence      map[string]int64
	endStates     map[shard.TaskID]string    // final states of ended tasks
	attempts      map[platform.LeaseRef]bool // attempts that a worker has started
	logRows       int                        // written so far
	evictions     int                        // recorded so far
	resumedStarts int                        // starts from a checkpoint so far
	trace         interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
	violations []string
}

func newChecker(sim *simulation) *checker {
	return &checker{
		sim: sim, states: map[string]*shard.State{}, sequence: map[string]int64{},
		endStates: map[shard.TaskID]string{}, attempts: map[platform.LeaseRef]bool{}, trace: fnv.New64a(),
	}
}

func (c *checker) violation(format string, args ...any) {
	at := c.sim.clock.Now().Format("05.000 ")
	c.violations = append(c.violations, at+fmt.Sprintf(format, args...))
}

// onCommit replays the log rows of a transaction.
func (c *checker) onCommit(txn platform.Txn) {
	for _, put := range txn.Puts {
		fmt.Fprintf(c.trace, "%s=%s;", put.Key, put.Value)
		parts := strings.Split(put.Key, "/")
		if parts[0] != "shards" || parts[2] != "log" {
			continue
		}
		c.sequence[parts[1]]++
		if put.Key != platform.ShardLogKey(parts[1], c.sequence[parts[1]]) {
			c.violation("log row %s is out of sequence", put.Key)
		}
		var records []shard.Record
		_ = json.Unmarshal(put.Value, &records)
		c.logRows++
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
	if r.Event == shard.RecordAccept && r.Moved == nil && c.endStates[r.Task] != "" {
		c.violation("task %s was accepted again after its end", r.Task)
	}
	if err := s.Apply(r); err != nil {
		c.violation("record does not apply: %v", err)
		return
	}
	if r.Event == charts.TaskEvict {
		c.evictions++
	}
	if r.Event == charts.TaskStart {
		c.checkCommitment(r.VM)
	}
	if t := s.Tasks[r.Task]; t != nil && charts.Task.IsFinal(t.State) {
		c.endStates[r.Task] = string(t.State)
	}
}

// checkCommitment checks that all shards together do not overcommit a VM. Only a
// start adds to the commitment.
func (c *checker) checkCommitment(vm string) {
	var committed inventory.Resources
	for _, s := range c.states {
		committed = committed.Add(s.Committed[vm])
	}
	if !committed.Fits(testCapacity) {
		c.violation("VM %s is committed to %v", vm, committed)
	}
}

// onStart checks a task that a worker has just started.
func (c *checker) onStart(v *vm, req platform.StartRequest) {
	fmt.Fprintf(c.trace, "%s:%s#%d@%v;", v.name, req.Task, req.Attempt, c.sim.clock.Now())
	ref := platform.LeaseRef{Task: req.Task, Attempt: req.Attempt}
	if c.attempts[ref] {
		c.violation("attempt %v was started twice", ref)
	}
	c.attempts[ref] = true
	instances := 0
	for _, other := range c.sim.vms {
		for _, task := range other.worker.Running() {
			if task == req.Task {
				instances++
			}
		}
	}
	if instances > 1 {
		c.violation("task %s is running %d times", req.Task, instances)
	}
	var t *shard.Task
	if s := c.states[req.Shard]; s != nil {
		t = s.Tasks[shard.TaskID(req.Task)]
	}
	if t == nil || !t.OccupiesVM() || t.VM != v.name || t.Attempt != req.Attempt {
		c.violation("start of %v on %s does not match the written records: %+v", ref, v.name, t)
		return
	}
	if t.Checkpoint != req.Checkpoint {
		c.violation("start of %v resumes from %q, not %q", ref, req.Checkpoint, t.Checkpoint)
	}
	if req.Checkpoint != "" {
		c.resumedStarts++
	}
}

// onExchange checks that only attempts whose end is written are acknowledged to the
// worker.
func (c *checker) onExchange(req platform.ExchangeRequest) {
	for _, ref := range req.Acknowledge {
		if s := c.states[req.Shard]; s == nil {
			continue
		} else if t := s.Tasks[shard.TaskID(ref.Task)]; t != nil && t.OccupiesVM() && t.Attempt == ref.Attempt {
			c.violation("end of %v was acknowledged before it was written", ref)
		}
	}
}

// openTasks returns the accepted tasks that have not ended.
func (c *checker) openTasks() []shard.TaskID {
	var open []shard.TaskID
	for _, job := range c.sim.jobs {
		for _, spec := range job.specs() {
			if c.endStates[spec.ID] == "" {
				open = append(open, spec.ID)
			}
		}
	}
	return open
}

// allViolations returns every violation, including those that the workers detected.
func (c *checker) allViolations() []string {
	all := slices.Clone(c.violations)
	for _, v := range c.sim.vms {
		for _, b := range v.worker.Violations() {
			all = append(all, v.name+" "+b)
		}
	}
	return all
}
