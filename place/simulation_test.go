package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/place"
)

const (
	tickMS      = 500   // virtual time between two plans
	stopDelayMS = 1_000 // from an eviction to the confirmed stop
)

// planner is the part of a placement policy that the simulation uses.
type planner interface {
	Plan(in place.Input) place.Plan
	ObserveEnd(e place.TaskEnd)
}

// firstInFirstOut starts tasks in the order of arrival on the first VM that
// fits.
type firstInFirstOut struct{}

func (firstInFirstOut) ObserveEnd(place.TaskEnd) {}

func (firstInFirstOut) Plan(in place.Input) place.Plan {
	return greedy(in, func(machines []place.Machine, d place.Demand) int {
		return slices.IndexFunc(machines, func(m place.Machine) bool { return d.Resources.Fits(m.Free) })
	})
}

// deadlineBestFit starts the task with the earliest deadline first, on the VM
// with the tightest fit by declared size.
type deadlineBestFit struct{}

func (deadlineBestFit) ObserveEnd(place.TaskEnd) {}

func (deadlineBestFit) Plan(in place.Input) place.Plan {
	slices.SortStableFunc(in.Pending, func(a, b place.Demand) int {
		if place.HigherPriority(a, b) {
			return -1
		}
		return 1
	})
	return greedy(in, place.BestFit)
}

func greedy(in place.Input, fit func([]place.Machine, place.Demand) int) place.Plan {
	var plan place.Plan
	for _, d := range in.Pending {
		if i := fit(in.Machines, d); i >= 0 {
			in.Machines[i].Free = in.Machines[i].Free.Sub(d.Resources)
			plan.Starts = append(plan.Starts, place.Start{Task: d.Task, Machine: in.Machines[i].Name})
		}
	}
	return plan
}

// simTask is a task with properties that the planner does not see.
type simTask struct {
	place.Demand
	arrivesMS, actualMS int64
	machine             string
	startedMS, doneMS   int64
	firstStartMS        int64
	stopAtMS            int64 // when an eviction is confirmed; zero is none
	finishedAtMS        int64
	perMille            int64
}

// simulation runs tasks under a policy in virtual time.
type simulation struct {
	policy      planner
	machines    []place.Machine
	tasks       []*simTask // sorted by arrival
	byName      map[string]*simTask
	active      []*simTask // arrived and not finished
	arrived     int
	now         int64
	evicted     int
	overcommits int // starts that overcommitted a VM
	// afterStep is called after each step, if set.
	afterStep func(s *simulation)
}

// racksOfMachines returns VMs in racks of ten, with 56 processors for batch
// tasks each.
func racksOfMachines(count int) []place.Machine {
	machines := make([]place.Machine, count)
	for i := range machines {
		machines[i] = place.Machine{
			Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%04d", i/10), Region: "hobart",
			Capacity: inventory.Resources{MilliProcessors: 56_000, MemoryMB: 218_750},
			Services: []string{[]string{"stock-check", "reorder"}[i%2]},
		}
	}
	return machines
}

func (s *simulation) run(untilMS int64) {
	for ; s.now < untilMS; s.now += tickMS {
		s.advance()
		s.plan()
		if s.afterStep != nil {
			s.afterStep(s)
		}
	}
}

func (s *simulation) advance() {
	if s.byName == nil {
		s.byName = make(map[string]*simTask, len(s.tasks))
	}
	for ; s.arrived < len(s.tasks) && s.tasks[s.arrived].arrivesMS <= s.now; s.arrived++ {
		t := s.tasks[s.arrived]
		s.byName[t.Task] = t
		s.active = append(s.active, t)
	}
	for _, t := range s.active {
		if t.machine == "" {
			continue
		}
		if t.stopAtMS == 0 {
			t.doneMS += tickMS * t.perMille / 1000
		}
		switch {
		case t.doneMS >= t.actualMS:
			t.finishedAtMS = s.now
			s.end(t, place.Finished)
		case t.stopAtMS > 0 && s.now >= t.stopAtMS:
			s.end(t, place.Stopped)
		}
	}
	s.active = slices.DeleteFunc(s.active, func(t *simTask) bool { return t.finishedAtMS > 0 })
}

func (s *simulation) end(t *simTask, outcome place.Outcome) {
	s.policy.ObserveEnd(place.TaskEnd{
		Task: t.Task, Job: t.Job, Member: t.Member, Kind: t.Kind, Machine: t.machine, Outcome: outcome,
		DeclaredRunTimeMS: t.RunTimeMS, RanMS: t.doneMS, EndedUnixMS: s.now,
	})
	t.machine, t.stopAtMS, t.DoneMS = "", 0, t.doneMS
}

func (s *simulation) input() place.Input {
	in := place.Input{NowUnixMS: s.now, Machines: slices.Clone(s.machines)}
	number := make(map[string]int, len(in.Machines))
	for i := range in.Machines {
		in.Machines[i].Free = in.Machines[i].Capacity
		number[in.Machines[i].Name] = i
	}
	for _, t := range s.active {
		if t.machine == "" {
			in.Pending = append(in.Pending, t.Demand)
		} else {
			m := &in.Machines[number[t.machine]]
			m.Free = m.Free.Sub(t.Resources)
			in.Running = append(in.Running, place.RunningTask{
				Demand: t.Demand, Machine: t.machine, StartedUnixMS: t.startedMS, Stopping: t.stopAtMS > 0,
				ThrottlePerMille: int(t.perMille),
			})
		}
	}
	return in
}

func (s *simulation) plan() {
	in := s.input()
	free := make(map[string]inventory.Resources, len(in.Machines))
	for _, m := range in.Machines {
		free[m.Name] = m.Free
	}
	plan := s.policy.Plan(in)
	for _, e := range plan.Evictions {
		s.byName[e.Task].stopAtMS = s.now + stopDelayMS
		s.evicted++
	}
	for _, r := range plan.Throttles {
		s.byName[r.Task].perMille = int64(r.PerMille)
	}
	for _, st := range plan.Starts {
		t := s.byName[st.Task]
		t.machine, t.startedMS, t.perMille = st.Machine, s.now, 1000
		if t.firstStartMS == 0 {
			t.firstStartMS = s.now
		}
		if st.ThrottlePerMille > 0 {
			t.perMille = int64(st.ThrottlePerMille)
		}
		free[st.Machine] = free[st.Machine].Sub(t.Resources)
		if !(inventory.Resources{}).Fits(free[st.Machine]) {
			s.overcommits++
		}
	}
}

// deadlinesMet returns the number of tasks that finished by their deadline, and
// the number whose deadline has passed.
func (s *simulation) deadlinesMet() (met, all int) {
	for _, t := range s.tasks {
		if t.DeadlineUnixMS > 0 && t.DeadlineUnixMS <= s.now {
			all++
			if t.finishedAtMS > 0 && t.finishedAtMS <= t.DeadlineUnixMS {
				met++
			}
		}
	}
	return met, all
}

// drawTasks draws tasks that fill the machines to a utilisation on average. The
// load follows a sine wave, and the declared run times are off by up to four
// times either way, by kind.
func drawTasks(r *rand.Rand, processors int64, utilisation float64, untilMS int64) []*simTask {
	const kinds = 8
	factors := make([]float64, kinds)
	for i := range factors {
		factors[i] = math.Exp2(-2 + 4*float64(i)/(kinds-1))
	}
	var tasks []*simTask
	shortfall := 0.0
	for now := int64(0); now < untilMS; now += tickMS {
		wave := 1 + 0.5*math.Sin(2*math.Pi*float64(now)/1_200_000)
		shortfall += float64(processors) * 1000 * utilisation * wave * tickMS
		for shortfall > 0 {
			t := drawTask(r, now, factors)
			t.Task = fmt.Sprintf("m:job%06d/0", len(tasks))
			tasks = append(tasks, t)
			shortfall -= float64(t.actualMS * t.Resources.MilliProcessors)
		}
	}
	return tasks
}

func drawTask(r *rand.Rand, now int64, factors []float64) *simTask {
	kind := r.IntN(len(factors))
	declared := int64(20_000 * math.Exp2(4*r.Float64()))
	factor := min(max(factors[kind]*math.Exp2(0.6*r.Float64()-0.3), 0.25), 4)
	actual := int64(float64(declared) * factor)
	return &simTask{
		arrivesMS: now, actualMS: actual,
		Demand: place.Demand{
			Job: fmt.Sprint(now), Member: fmt.Sprintf("member%d", r.IntN(3)), Kind: fmt.Sprintf("kind%d", kind),
			Resources: cores(1 + r.Int64N(16)), RunTimeMS: declared,
			DeadlineUnixMS: now + actual + int64(float64(max(declared, actual))*(0.2+2*r.Float64())),
		},
	}
}
