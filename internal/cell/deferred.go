package cell

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

const (
	// fullRetryAfter is sent to callers while there is no memory for further jobs, and up to twice that,
	// so that they do not return at the same time. Jobs end every second, but seldom all at once.
	fullRetryAfter = 2 * time.Second
	// fullPercent is the share of the memory for open jobs from which further ones are refused, and
	// fullLaterPercent that for jobs which are due later than dueSoon: they would keep others out until
	// then.
	fullPercent      = 100
	fullLaterPercent = 75
	dueSoon          = 10 * time.Minute
	// deferredReadInterval is the least time between two reads of all jobs for those that are deferred.
	deferredReadInterval = 5 * time.Second
)

// deferredJobs are stored jobs that the owner has no memory for. They have not begun, and are read from
// the store again when there is. It belongs to the control loop.
type deferredJobs struct {
	queues map[string]string // by job ID
	// reread are those that were deferred before a read of all jobs, while its rows are applied.
	reread map[string]string
	readAt time.Time
}

// beginReread is called before the rows of a read of all jobs are applied, and endReread afterwards.
func (d *deferredJobs) beginReread() { d.reread, d.queues = d.queues, map[string]string{} }

func (d *deferredJobs) endReread() { d.reread = nil }

// has reports whether a job is or was deferred.
func (d *deferredJobs) has(id string) bool {
	_, deferred := d.queues[id]
	_, reread := d.reread[id]
	return deferred || reread
}

// count adds the jobs to the depths of the queues.
func (d *deferredJobs) count(depths map[string]int) {
	for _, queue := range d.queues {
		depths[queue]++
	}
}

// memoryPercent returns the share of the memory for open jobs that these take, in percent. It is full
// while any are deferred.
func (t *term) memoryPercent() uint32 {
	percent := t.c.Engine.Budget.JobPercent()
	if len(t.deferred.queues) > 0 {
		percent = max(percent, fullPercent)
	}
	return uint32(percent)
}

// isFull reports whether the owner of the cell has no memory for a further job.
func (c *Cell) isFull(spec job.Spec) bool {
	limit := uint32(fullPercent)
	if spec.DueUnixMS(0) > c.Wall().Add(dueSoon).UnixMilli() {
		limit = fullLaterPercent
	}
	return c.jobStates.memory(c.Now()) >= limit
}

// deferJob leaves a job in the store for which there is no memory. It reports whether it has.
func (t *term) deferJob(spec job.Spec) bool {
	if t.c.Engine.Budget.FitsJob(spec) {
		return false
	}
	if len(t.deferred.queues) == 0 {
		tasks, jobs, limit := t.c.Engine.Budget.Usage()
		t.log.WithFields(log.Fields{"event": "jobs_deferred", "job": spec.ID, "tasks_held": tasks, "jobs_held": jobs, "limit": limit}).
			Warn("no memory for further jobs; leaving them in the store until others end")
	}
	t.deferred.queues[spec.ID] = spec.Queue
	return true
}

// addDeferred adds a job that was deferred. Like any job that is read at a takeover, it may have been
// started by a former owner that has not recorded that.
func (t *term) addDeferred(spec job.Spec, now time.Time) *dispatch.Job {
	delete(t.deferred.queues, spec.ID)
	j := t.addAlways(spec, now)
	if j != nil {
		t.restoreJob(j, port.Row{}, nil)
	}
	return j
}

// cancelDeferred has a deferred job read again, so that its end is committed.
func (t *term) cancelDeferred(id string) {
	if _, ok := t.deferred.queues[id]; ok {
		delete(t.deferred.queues, id)
		t.rereadJobs()
	}
}

// readDeferred reads the deferred jobs again once there is memory.
func (t *term) readDeferred(now time.Time) {
	if len(t.deferred.queues) == 0 || !t.c.Engine.Budget.HasRoom() || now.Sub(t.deferred.readAt) < deferredReadInterval {
		return
	}
	t.deferred.readAt = now
	t.log.WithFields(log.Fields{"event": "deferred_jobs_read", "jobs": len(t.deferred.queues)}).Info("reading the jobs again that there was no memory for")
	t.rereadJobs()
}

// rereadJobs has all stored jobs of the cell read.
func (t *term) rereadJobs() { t.changes[t.c.tables.jobs].rescan = true }

// submitToFull handles a submission for which the owner has no memory: it is refused, unless a row of the
// job is stored already.
func (c *Cell) submitToFull(ctx context.Context, id string) error {
	if stored, err := c.submitStored(ctx, id); stored {
		return err
	}
	c.instruments.jobsRefusedFull.Inc(1)
	c.Log.WithFields(log.Fields{"event": "job_refused_full", "job": id, "cell": c.Number}).Info("no memory for further jobs")
	return verdict.Refuse(verdict.CodeOverloaded, http.StatusTooManyRequests, fullRetryAfter+rand.N(fullRetryAfter), "the cell has no memory for further jobs")
}

// withMemory returns the cells whose owners have memory for a further job, or all if none has.
func (g *Group) withMemory(spec job.Spec, cells []int) []int {
	free := slices.DeleteFunc(slices.Clone(cells), func(n int) bool { return g.cell(n).isFull(spec) })
	if len(free) == 0 {
		return cells
	}
	return free
}

// observeMemory updates the gauges of what the owned cells hold in memory.
func (g *Group) observeMemory() {
	tasks, jobs, limit := g.lead.Engine.Budget.Usage()
	deferred := 0
	for _, c := range append(g.others(), g.lead) {
		if c.term != nil {
			deferred += len(c.term.deferred.queues)
		}
	}
	m := g.lead.instruments
	m.tasksHeld.Update(int64(tasks))
	m.jobsHeld.Update(int64(jobs))
	m.heldLimit.Update(int64(limit))
	m.jobsDeferred.Update(int64(deferred))
}
