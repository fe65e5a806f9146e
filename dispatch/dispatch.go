// Package dispatch decides which task of which job runs on which worker.
//
// An Engine holds the owner's view of one cell: open jobs, workers and the runs
// on them. Events enter through its methods, each with a monotonic timestamp;
// TakeOutput returns the requests to send and the jobs that changed. The engine
// performs no I/O, starts no goroutine and is not safe for concurrent use.
package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/forecast"
	"github.com/bambooyard/bambooyard/job"
)

// Options are the limits that the platform sets for an installation.
type Options struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StartWindow is how long after it is issued a start request may be executed.
	StartWindow time.Duration
	// MaxViolation is how long a service may exceed its latency target because of
	// colocated tasks.
	MaxViolation time.Duration
	// CapacityTTL is how long after the read of the list of workers a start may begin on a
	// worker that does not guard its capacity, which may have shrunk since. Zero means no
	// bound.
	CapacityTTL time.Duration
	// MaxEvacuation is how long after the read of the list of workers a start may begin on
	// any worker, whose data centre may be under evacuation since. Zero means that the list
	// does not show evacuations.
	MaxEvacuation time.Duration
	// RecordedWorkersOnly is set if tasks start only on workers that MarkRecorded names.
	RecordedWorkersOnly bool
	// Budget bounds the memory that jobs and their tasks take; nil means no bound. Tasks that workers
	// list or that a former owner recorded are held beyond it.
	Budget *Budget
}

// clockRate is the lowest rate of a worker's clock relative to the owner's; the
// platform allows a deviation of 2%.
const clockRate = 0.98

// RunState is what the owner knows about a run.
type RunState int

// States of a run.
const (
	// RunStarting means that the start request has not been answered yet.
	RunStarting RunState = iota
	// RunUnacknowledged means that the start request failed without a response: the
	// run may exist, or may begin until the request expires. It also means that the
	// worker has restarted since the request; then only a stop prevents the run.
	RunUnacknowledged
	// RunActive means that the worker has confirmed the run.
	RunActive
)

// Run is one attempt of a task on a worker.
type Run struct {
	Task    *Task
	Worker  *Worker
	Attempt int
	State   RunState
	// Ticket is the advisor's permission; empty if the queue has no advisor.
	Ticket string
	// FirstOfJob is set for the first run of any task of the job under this owner.
	FirstOfJob bool
	// ConfirmedLimit is the CPU limit that the worker last confirmed, in percent.
	ConfirmedLimit int
	// Progress is the percentage of the work that is done, as last listed; a
	// service task serves requests once it is 100.
	Progress int
	// Measurement is the tail latency in milliseconds for a service task and the
	// processors in use, in thousandths, for others, as last listed.
	Measurement float64

	// boot is the worker's boot that the run was started on, as far as it is known.
	boot int64
	// crashes is the number of crashes under the task when the run was attached.
	crashes        int
	requestedAt    time.Time
	confirmedAt    time.Time
	notAfterMS     int64
	stopping       bool
	stopReason     StopReason
	stopInFlight   bool
	stopAckedAt    time.Time
	missedListings int  // consecutive listings without the run
	listedByBoot   bool // listed by the worker's current boot
	inBackoff      bool // started while the worker was in a backoff
	// progressAt is when the progress last changed. progressFrom is the progress
	// at sampledAt, from which the speed is measured.
	progressAt, sampledAt time.Time
	progressFrom          int
	// listedAt is when the progress was last listed, and basePercent the progress at
	// baseAt, from which the run's rate is computed.
	listedAt, baseAt time.Time
	basePercent      int
	// isCopy is set if the run was started beside another one, adopted if a former owner
	// started it, resumed if it began from a checkpoint, and throttled if it was limited.
	isCopy, adopted, resumed, throttled bool

	desiredLimit     int // CPU limit that the run should have, in percent
	throttleInFlight bool
	// runTime is the predicted run time if predicted is set.
	runTime   forecast.RunTime
	predicted bool
}

// Engine holds the scheduling state of a cell's owner.
type Engine struct {
	options Options
	jobs    map[string]*Job
	tasks   map[string]*Task // tasks of open jobs, by name
	workers map[string]*Worker
	// workerList are the workers in no particular order, for loops that run often.
	workerList []*Worker
	// finalJobs are jobs that have ended, with the time: a late message about one
	// must not start it again.
	finalJobs          map[string]time.Time
	finalJobsCheckedAt time.Time
	// unstarted is the number of open jobs that have not started, by queue; queues
	// without such jobs are left out.
	unstarted map[string]int
	// queues are the newest known settings of each queue, by name. The settings of jobs point to
	// them.
	queues map[string]*job.QueueSettings
	// withoutSettings are the names of queues with jobs whose settings are not known.
	withoutSettings map[string]bool
	// uncontacted are workers that may run tasks of a former owner and have not
	// answered this one, with the time by which those tasks have ended.
	uncontacted map[string]time.Time
	// jobsKnownAt is the time before which all accepted jobs are known.
	jobsKnownAt time.Time
	// workersReadAt is when the read of the list of workers began.
	workersReadAt time.Time
	// directoryCompleteAt is the time until which the list of workers may lack workers
	// that run tasks of a former owner.
	directoryCompleteAt time.Time
	// recordedOn are the tasks by the workers that a former owner last recorded for them.
	recordedOn map[string][]*Task
	// runsRecorded is set if the former owner has recorded where all its runs may be.
	runsRecorded bool
	// takeoverAt is when ExpectInheritedRuns was called.
	takeoverAt   time.Time
	interference interference
	// model predicts run times from those of ended runs.
	model *forecast.Model
	// meanWork is the mean predicted work of a job in core-seconds, by queue, and meanChain
	// the mean length of the longest chains in seconds.
	meanWork  map[string]*mean
	meanChain mean
	lookahead lookaheadState
	// toldModes are the most likely coefficients that TakeLearned has returned.
	toldModes map[imagePair]int
	// unplaceable are the demands for which the present plan has found no worker, and
	// unclearable those for which no worker has room without its other tasks.
	unplaceable, unclearable unplaceable
	// warmRooms is the room that becomes free on warm workers, computed once in a plan when it
	// is needed.
	warmRooms      []*warmRoom
	warmRoomsValid bool
	warmWaits      int // tasks that wait for that room in the present plan
	// reservations are the tasks that capacity is reserved for.
	reservations map[*Task]bool
	// unknownRunCounts is the number of unknown runs by task name.
	unknownRunCounts map[string]int
	// silentRuns are the runs, by worker ID, whose workers have to show whether they
	// have crashed.
	silentRuns map[string][]silentRun
	// planOrder are the jobs with waiting tasks in the order of the last plan.
	planOrder []*Job
	// copyable are the open jobs, by ID, with steps that allow copies, and waitingPools the
	// pools in which the last plan found no room for a task.
	copyable        map[string]*Job
	waitingPools    map[string]bool
	copiesPlannedAt time.Time
	// bestEffortStarted is set once a best-effort task has been started.
	bestEffortStarted bool
	consolidatedAt    time.Time
	relocations       relocationTurns
	movedOutAt        time.Time // when moveOut last searched
	// drainSearchFrom is the number of services on draining workers without a reserved place
	// for which the next plan does not search, because the last one has.
	drainSearchFrom int
	// movedOutFrom is the last worker that moveOut considered.
	movedOutFrom   string
	adviceInFlight int
	// reservedLoad and bestEffortLoad are what the open jobs request, in thousandths of a
	// core. reservedMemory is the memory that goes with reservedLoad.
	reservedLoad, bestEffortLoad, reservedMemory int64
	// unverified reports whether a job may have been cancelled; nil if none may.
	unverified func(id string, hosted bool) bool
	// incomplete are the open jobs of which further tasks may have to be created, at once or when they are due.
	incomplete map[*Job]bool
	// held is the number of tasks, and of occurrences that have begun and are not done, of open jobs, and
	// createdInPlan that of the tasks that the present plan has created.
	held, createdInPlan int
	// now is the time of the last call of Plan.
	now time.Time
	out Output
}

// Output holds the requests to send and the job changes to commit.
type Output struct {
	Starts []*Run
	// Copies are those of Starts that are copies.
	Copies []StartedCopy
	// Races are the tasks with two runs of which one is done.
	Races          []Race
	Stops          []*Run
	UnknownRuns    []UnknownRun
	Throttles      []Throttle
	AdviceRequests []AdviceRequest
	// Changed are the jobs whose progress must be committed. The value is true if
	// a run has ended, and false if the commit may be delayed.
	Changed map[*Job]bool
	// Lost are the runs that were given up without a listed end.
	Lost []LostRun
	// GivenUp are the tasks whose jobs have failed because workers crashed under them.
	GivenUp []*Task
	// Finished are the jobs that have become final.
	Finished []*Job
	// Starved are interrupted service tasks that no worker can run, even without its
	// other tasks. Each is reported again after a while.
	Starved []StarvedTask
	// Reservations are the advance reservations that were made or have ended.
	Reservations []ReservationEvent
}

// UnknownRun is a run to stop that a worker lists, but that is not recorded with any
// task.
type UnknownRun struct {
	Worker  *Worker
	Task    string
	Attempt int
}

// Throttle limits a run to a percentage of its processors.
type Throttle struct {
	Run     *Run
	Percent int
}

// NewEngine returns an engine without jobs and workers.
func NewEngine(o Options) *Engine {
	return &Engine{
		options:   o,
		jobs:      map[string]*Job{},
		tasks:     map[string]*Task{},
		workers:   map[string]*Worker{},
		finalJobs: map[string]time.Time{},
		unstarted: map[string]int{},
		queues:    map[string]*job.QueueSettings{},

		withoutSettings: map[string]bool{},

		uncontacted: map[string]time.Time{},
		recordedOn:  map[string][]*Task{},

		interference:     newInterference(),
		model:            forecast.NewModel(),
		meanWork:         map[string]*mean{},
		toldModes:        map[imagePair]int{},
		unplaceable:      unplaceable{},
		unclearable:      unplaceable{},
		reservations:     map[*Task]bool{},
		unknownRunCounts: map[string]int{},
		silentRuns:       map[string][]silentRun{},
		copyable:         map[string]*Job{},
		waitingPools:     map[string]bool{},
		incomplete:       map[*Job]bool{},

		out: Output{Changed: map[*Job]bool{}},
	}
}

// TakeOutput returns the requests and changes since the last call.
func (e *Engine) TakeOutput() Output {
	out := e.out
	e.out = Output{Changed: map[*Job]bool{}}
	return out
}

// Jobs returns all open jobs; the caller must not change them.
func (e *Engine) Jobs() map[string]*Job { return e.jobs }

// Unstarted returns the number of open jobs that have not started, by queue. Queues
// without such jobs are left out. The caller must not change the map, which the engine
// updates.
func (e *Engine) Unstarted() map[string]int { return e.unstarted }

// countStarted removes a job from the jobs that have not started.
func (e *Engine) countStarted(j *Job) {
	if e.unstarted[j.Spec.Queue]--; e.unstarted[j.Spec.Queue] == 0 {
		delete(e.unstarted, j.Spec.Queue)
	}
}

// SetQueues applies the queue settings of a version of the operators' configuration. A queue
// that it lacks keeps its last settings for the jobs that remain in it, and one that is known
// from a later version keeps those.
func (e *Engine) SetQueues(queues []job.Queue, version int64) {
	settings := make([]job.QueueSettings, 0, len(queues))
	for _, q := range queues {
		settings = append(settings, job.QueueSettings{Version: version, Queue: q})
	}
	e.SetQueueSettings(settings)
}

// SetQueueSettings is like SetQueues for the settings of queues as of different versions.
func (e *Engine) SetQueueSettings(settings []job.QueueSettings) {
	for i := range settings {
		e.learnSettings(&settings[i])
	}
	for _, j := range e.jobs {
		j.applySettings(e.queues[j.Spec.Queue])
	}
}

// learnSettings keeps the settings of a queue unless later ones are known.
func (e *Engine) learnSettings(t *job.QueueSettings) {
	if known := e.queues[t.Queue.Name]; known == nil || known.Version <= t.Version {
		e.queues[t.Queue.Name] = t
	}
}

// learnSettingsOf keeps the settings that a new job was accepted under if they are later than those
// known, and applies them to the other jobs of the queue.
func (e *Engine) learnSettingsOf(spec job.Spec) {
	t, known := spec.QueueSettings, e.queues[spec.Queue]
	if t == nil || t.Queue.Name != spec.Queue || known != nil && known.Version >= t.Version {
		return
	}
	if known == nil && !e.withoutSettings[spec.Queue] {
		e.learnSettings(t) // there are no other jobs
		return
	}
	e.SetQueueSettings([]job.QueueSettings{*t})
}

// applySettings applies the settings of a job's queue; nil if they are not known.
func (j *Job) applySettings(t *job.QueueSettings) {
	if t != nil {
		j.Spec.QueueSettings, j.Queue = t, t.Queue
		j.profiledAt = time.Time{}
	}
}

// QueueSettings returns the known settings of all queues, sorted by name.
func (e *Engine) QueueSettings() []job.QueueSettings {
	settings := make([]job.QueueSettings, 0, len(e.queues))
	for _, t := range e.queues {
		settings = append(settings, *t)
	}
	slices.SortFunc(settings, func(a, b job.QueueSettings) int { return strings.Compare(a.Queue.Name, b.Queue.Name) })
	return settings
}

// UsedQueues returns the queues that open jobs are in.
func (e *Engine) UsedQueues() map[string]bool {
	used := map[string]bool{}
	for _, j := range e.jobs {
		used[j.Spec.Queue] = true
	}
	return used
}

// endedRetention is how long an ended job is remembered. Late messages about a
// job arrive within seconds of its end, and the store's rows are deleted by then.
const endedRetention = 5 * time.Minute

// Add adds an accepted job. It returns the existing job if the ID is known, and
// nil if the job has ended.
func (e *Engine) Add(spec job.Spec, now time.Time, wallMS int64) *Job {
	return e.add(spec, now, wallMS, false)
}

func (e *Engine) add(spec job.Spec, now time.Time, wallMS int64, hosted bool) *Job {
	if j := e.jobs[spec.ID]; j != nil {
		return j
	}
	if _, ended := e.finalJobs[spec.ID]; ended {
		return nil
	}
	e.learnSettingsOf(spec)
	j := &Job{Spec: spec, State: job.Queued, arrived: now, arrivedUnixMS: wallMS, hosted: hosted, mayCreate: true}
	j.applySettings(e.queues[spec.Queue])
	if j.Spec.QueueSettings == nil {
		e.withoutSettings[spec.Queue] = true
	}
	j.waitingOf = make([]int, len(spec.Steps))
	// A former owner that has not noticed the takeover may have received the job, too.
	j.inherited = len(e.uncontacted) > 0 && now.Sub(e.takeoverAt) < handoverWindow
	j.service = slices.ContainsFunc(spec.Steps, func(s job.Step) bool { return s.Service })
	e.profileJob(j, now)
	e.countWork(j)
	e.jobs[spec.ID] = j
	e.countJob(j, 1)
	e.incomplete[j] = true
	if slices.ContainsFunc(j.Spec.Steps, func(s job.Step) bool { return allowsCopies(&s) }) {
		e.copyable[spec.ID] = j
	}
	e.addLoad(j, 1)
	if hosted {
		j.requested, j.Started, j.State = true, true, job.Running // the home cell counts it
	} else {
		e.unstarted[spec.Queue]++
		// The other half is left to the tasks that a former owner recorded.
		if e.createdInPlan = 0; e.options.Budget == nil || e.options.Budget.tasks < e.options.Budget.limit/2 {
			e.createFor(j, now)
		}
	}
	e.claimRunsAndEnds(j, now)
	return j
}

// maxDelayMS bounds the delay of an occurrence, in milliseconds, to a hundred years: more than
// three hundred overflow a time.Duration.
const maxDelayMS = 100 * 365 * 24 * 3600 * 1000

// handoverWindow is how long after a takeover a former owner may still send
// requests: it calls workers many times a second, and workers that have been
// called under the new epoch reject it.
const handoverWindow = time.Second

// MarkEnded records that a job has ended under a former owner.
func (e *Engine) MarkEnded(id string, now time.Time) { e.finalJobs[id] = now }

// SetUnverified sets the function that reports whether a job may have been cancelled without the
// owner's knowledge, so that no task of it is started; nil if there is none.
func (e *Engine) SetUnverified(unverified func(id string, hosted bool) bool) {
	e.unverified = unverified
}

// Cancel cancels a job: no further task of it starts and its runs are stopped.
// It returns false if the job is not open.
func (e *Engine) Cancel(id string) bool {
	j := e.jobs[id]
	if j == nil {
		return false
	}
	e.finish(j, job.Cancelled)
	return true
}

// finish makes a job final and stops its runs.
func (e *Engine) finish(j *Job, state job.State) {
	if j.State.Final() {
		return
	}
	if !j.Started {
		e.countStarted(j)
	}
	j.State = state
	e.out.Finished = append(e.out.Finished, j)
	delete(e.out.Changed, j)
	delete(e.jobs, j.Spec.ID)
	delete(e.copyable, j.Spec.ID)
	e.countJob(j, -1)
	delete(e.incomplete, j)
	e.addLoad(j, -1)
	e.finalJobs[j.Spec.ID] = e.now
	for t := range j.allTasks() {
		e.unreserve(t)
		if t.advance != nil {
			e.release(t.advance, ReservationNotWaiting, e.now)
		}
		delete(e.tasks, t.name())
		for _, r := range t.Runs {
			e.stop(r, StopEnded)
		}
	}
	e.countCreated(j, -j.created)
	e.countHeld(-len(j.occurrences))
}

// markChanged marks a job's progress for a commit; ended reports the end of a run.
func (e *Engine) markChanged(j *Job, ended bool) {
	if !j.State.Final() {
		e.out.Changed[j] = e.out.Changed[j] || ended
	}
}
