package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// yardLoad describes a stream of jobs on an engine in virtual time, without network.
type yardLoad struct {
	workers int
	// offered is the requested share of the processors, and largeShare the part of it that
	// large tasks request.
	offered, largeShare float64
	arrivals            time.Duration
	seed                uint64
	// byMemory makes the large tasks large in memory, and one small task in three
	// request more memory than processors.
	byMemory bool
	// largeTasks is the number of tasks of a large job; zero means one.
	largeTasks int
}

const (
	yardCores    = 16
	yardMemoryMB = 64000
	yardStep     = 50 * time.Millisecond
	yardListing  = 500 * time.Millisecond
)

// yardJob is a job of a load with the real run times of its tasks.
type yardJob struct {
	spec  job.Spec
	at    time.Duration
	large bool
	takes []time.Duration
}

// declaredError returns the ratio of a real run time to the declared one: half to nine
// tenths off in either direction.
func declaredError(rng *rand.Rand) float64 {
	off := 0.5 + 0.4*rng.Float64()
	if rng.IntN(2) == 0 {
		return 1 - off
	}
	return 1 + off
}

// jobs returns the jobs of a load in the order of arrival.
func (l yardLoad) jobs() []yardJob {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	rate := l.offered * float64(l.workers) * yardCores // core-seconds per second
	var jobs []yardJob
	for _, large := range []bool{false, true} {
		work := rate * (1 - l.largeShare)
		if large {
			work = rate * l.largeShare
		}
		at := 0.0
		for at < l.arrivals.Seconds() {
			j := l.job(rng, len(jobs), large)
			step := j.spec.Steps[0]
			size := float64(step.Tasks) * float64(step.Resources.MilliCPU) / 1000 * float64(step.EstimateMS) / 1000
			at += -math.Log(1-rng.Float64()) * size / work
			j.at = time.Duration(at * float64(time.Second))
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b yardJob) int { return int(a.at - b.at) })
	return jobs
}

func (l yardLoad) job(rng *rand.Rand, n int, large bool) yardJob {
	step := job.Step{
		Tasks: 2 + rng.IntN(9), EstimateMS: 1000 + rng.Int64N(2000), Image: fmt.Sprintf("i%d", n%7),
		Resources: job.Resources{MilliCPU: 1000 + 1000*rng.Int64N(2), MemoryMB: 2000 + 1000*rng.Int64N(3)},
	}
	queue := "small"
	if l.byMemory && n%3 == 0 {
		step.Resources = job.Resources{MilliCPU: 500, MemoryMB: 8000}
	}
	if large {
		queue = "large"
		step.Gang = l.largeTasks > 1
		step.Tasks, step.EstimateMS, step.Image = max(1, l.largeTasks), 3000+rng.Int64N(3000), fmt.Sprintf("l%d", n%3)
		step.Resources = job.Resources{MilliCPU: 10000 + 1000*rng.Int64N(7), MemoryMB: 16000 + 1000*rng.Int64N(16)}
		if l.byMemory {
			step.Resources = job.Resources{MilliCPU: 4000, MemoryMB: 40000 + 1000*rng.Int64N(20)}
		}
	}
	j := yardJob{spec: job.Spec{ID: fmt.Sprintf("j%06d", n), Queue: queue, Steps: []job.Step{step}}, large: large}
	ofStep := declaredError(rng)
	for range step.Tasks {
		factor := max(0.05, ofStep*declaredError(rng))
		j.takes = append(j.takes, time.Duration(factor*float64(step.EstimateMS))*time.Millisecond)
	}
	return j
}

// waits are the times from the arrival of a job to the start of each task.
type waits []time.Duration

func (w waits) quantile(p float64) time.Duration {
	if len(w) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(w))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// largestTenth returns the mean of the largest tenth.
func (w waits) largestTenth() time.Duration {
	if len(w) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(w))
	tenth := sorted[len(sorted)-max(1, len(sorted)/10):]
	sum := time.Duration(0)
	for _, d := range tenth {
		sum += d
	}
	return sum / time.Duration(len(tenth))
}

// loadResult is what a load has shown.
type loadResult struct {
	small, large waits
	// inTime is the share of jobs that met their objective, by their work.
	inTime float64
	// ended is when the last run ended, and starts the order of the starts.
	ended  time.Duration
	starts []string
}

// playedRun is a run that ends at a time.
type playedRun struct {
	run   *Run
	begun time.Time
	ends  time.Time
}

// yardPlay plays a load on an engine.
type yardPlay struct {
	*Engine
	now     time.Time
	begin   time.Time
	byID    map[string]*yardJob
	running map[string][]playedRun
	numbers map[string]int64
	entries []port.WorkerEntry
	result  loadResult
	work    map[bool]float64
}

// play plays a load until all jobs have ended. Adjust may change the engine before, and
// disturb the workers before each plan.
func (l yardLoad) play(adjust func(*Engine), disturb func(*yardPlay)) loadResult {
	p := &yardPlay{
		Engine: NewEngine(testOptions), now: time.Unix(1000, 0), byID: map[string]*yardJob{}, running: map[string][]playedRun{},
		numbers: map[string]int64{}, work: map[bool]float64{},
	}
	p.begin = p.now
	p.SetQueues([]job.Queue{
		{Name: "small", Pool: "pool", Priority: 1, MaxAttempts: 3, Stretch: 2, Slack: 2 * time.Second},
		{Name: "large", Pool: "pool", Priority: 1, MaxAttempts: 3, Stretch: 2, Slack: 2 * time.Second},
	}, 1)
	var entries []port.WorkerEntry
	for i := range l.workers {
		entries = append(entries, worker(fmt.Sprintf("w%03d", i), yardCores*1000, yardMemoryMB))
	}
	p.entries = entries
	p.SetWorkers(entries, p.now)
	if adjust != nil {
		adjust(p.Engine)
	}
	jobs := l.jobs()
	for i := range jobs {
		p.byID[jobs[i].spec.ID] = &jobs[i]
	}
	next := 0
	for step := 0; next < len(jobs) || len(p.Jobs()) > 0; step++ {
		elapsed := time.Duration(step) * yardStep
		p.now = p.begin.Add(elapsed)
		for ; next < len(jobs) && jobs[next].at <= elapsed; next++ {
			p.Add(jobs[next].spec, p.now, 0)
		}
		for i, entry := range entries {
			p.list(entry.ID, (step+i)%int(yardListing/yardStep) == 0)
		}
		if disturb != nil {
			disturb(p)
		}
		p.Plan(p.now)
		p.answer()
		if elapsed > 10*l.arrivals {
			panic("jobs are not done")
		}
	}
	p.result.ended = p.now.Sub(p.begin)
	p.result.inTime = p.work[true] / (p.work[true] + p.work[false])
	return p.result
}

// answer confirms the starts and stops that a plan requested.
func (p *yardPlay) answer() {
	out := p.TakeOutput()
	for _, r := range out.Starts {
		j := p.byID[r.Task.ID.Job]
		if r.Attempt == 1 {
			wait := p.now.Sub(p.begin) - j.at
			if j.large {
				p.result.large = append(p.result.large, wait)
			} else {
				p.result.small = append(p.result.small, wait)
			}
		}
		p.result.starts = append(p.result.starts, fmt.Sprint(r.Task.ID, " on ", r.Worker.Entry.ID, " at ", p.now.Sub(p.begin)))
		id := r.Worker.Entry.ID
		p.running[id] = append(p.running[id], playedRun{r, p.now, p.now.Add(j.takes[r.Task.ID.Index])})
		p.HandleStartResponse(r, r.Worker.Observe(p.now), p.now.UnixMilli(), nil, p.now)
	}
	for _, r := range out.Stops {
		p.HandleStopResponse(r, r.Worker.Observe(p.now), nil, p.now)
		for i := range p.running[r.Worker.Entry.ID] {
			if played := &p.running[r.Worker.Entry.ID][i]; played.run == r {
				played.ends = p.now
			}
		}
	}
	for _, j := range out.Finished {
		step := j.Spec.Steps[0]
		p.work[!p.now.After(j.objective)] += float64(int64(step.Tasks) * step.EstimateMS * step.Resources.MilliCPU)
	}
}

// list reports the ends on a worker, and at times its running tasks.
func (p *yardPlay) list(id string, always bool) {
	l := port.Listing{ClockMS: p.now.UnixMilli(), Boot: 1}
	var left []playedRun
	for _, played := range p.running[id] {
		if !played.ends.After(p.now) {
			p.numbers[id]++
			reason := port.EndDone
			if played.run.stopping {
				reason = port.EndStopped
			}
			l.Ended = append(l.Ended, port.EndedTask{Sequence: p.numbers[id], Task: played.run.Task.name(), Attempt: played.run.Attempt, Reason: reason})
			continue
		}
		left = append(left, played)
		progress := float64(p.now.Sub(played.begun)) / float64(played.ends.Sub(played.begun))
		l.Running = append(l.Running, port.RunningTask{Task: played.run.Task.name(), Attempt: played.run.Attempt, Percent: int(100 * progress)})
	}
	if len(l.Ended) == 0 && !always {
		return
	}
	p.running[id] = left
	p.HandleListing(p.Observe(id, p.now), l, p.now)
	if w := p.Worker(id); w != nil {
		w.ExtendLease(p.now, testOptions.MaxLease)
	}
}
