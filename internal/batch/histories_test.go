package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
)

// Sizes of the randomised fault injection. A history is one simulation run with its
// faults.
const (
	histories          = 10_000
	raceHistories      = 300
	chunks             = 8    // run in parallel
	maxFaults          = 6    // in one history
	historyRacks       = 2    // one shard each
	historyVMs         = 2    // in each rack
	historyJobs        = 10   // submitted in one history
	faultWindowSeconds = 20   // faults begin within this time
	maxSettleSeconds   = 1800 // after the last fault; long enough for the probes of quarantined VMs
	maxFaultLength     = 15 * time.Second
)

// fault is one injected failure.
type fault struct {
	kind     int
	at       time.Duration
	length   time.Duration
	selector uint64 // selects the failing component
}

type faultKind struct {
	name  string
	begin func(sim *simulation, f fault)
	end   func(sim *simulation, f fault)
}

func noop(*simulation, fault) {}

func startReplacement(sim *simulation, _ fault) { sim.startDaemon() }

// faultKinds are injected singly, in combination and repeatedly.
var faultKinds = []faultKind{
	{"kill", func(sim *simulation, f fault) {
		if up := sim.running(); len(up) > 0 {
			sim.kill(up[f.selector%uint64(len(up))])
		}
	}, startReplacement},
	{"drain", func(sim *simulation, f fault) {
		if up := sim.running(); len(up) > 1 {
			d := up[f.selector%uint64(len(up))]
			d.leaving = true
			d.executor.Post(d.manager.Drain)
			sim.clock.After(5*time.Second, func() { sim.kill(d) })
		}
	}, startReplacement},
	{"freeze", func(sim *simulation, f fault) {
		if up := sim.running(); len(up) > 0 {
			d := up[f.selector%uint64(len(up))]
			d.executor.Pause()
			d.downSince = sim.clock.Now()
			sim.clock.After(f.length, func() { d.executor.Resume(); d.downSince = time.Time{} })
		}
	}, noop},
	{"outage", func(sim *simulation, _ fault) { sim.platform.SetFaults(fake.Faults{Outage: true}) },
		func(sim *simulation, _ fault) { sim.platform.SetFaults(fake.Faults{}) }},
	{"store cut off from a daemon", func(sim *simulation, f fault) { sim.daemon(f).disconnectStore(sim, f.length) }, noop},
	{"VM with a daemon cut off from the rest", func(sim *simulation, f fault) {
		d, v := sim.daemon(f), sim.vm(f)
		if o := sim.ownerOf(sim.vmIndex(v.name) % historyRacks); o != nil {
			d = o
		}
		d.disconnectStore(sim, f.length)
		v.reachableFrom = d
	}, func(sim *simulation, f fault) { sim.vm(f).reachableFrom = nil }},
	{"lost replies", func(sim *simulation, f fault) {
		sim.platform.SetFaults(fake.Faults{LoseReplies: 1 + int(f.selector%5)})
	}, noop},
	{"lost reply, then outage", func(sim *simulation, f fault) {
		sim.platform.SetFaults(fake.Faults{LoseReplies: 3})
		sim.clock.After(testTick, func() { sim.platform.SetFaults(fake.Faults{Outage: true}) })
	}, func(sim *simulation, _ fault) { sim.platform.SetFaults(fake.Faults{}) }},
	{"VM replaced", func(sim *simulation, f fault) { v := sim.vm(f); v.unreachable = true; v.worker.Restart() },
		func(sim *simulation, f fault) { sim.vm(f).unreachable = false }},
	{"VM restarts", func(sim *simulation, f fault) { sim.vm(f).worker.Restart() }, noop},
	{"VM cut off", func(sim *simulation, f fault) { sim.vm(f).unreachable = true }, func(sim *simulation, f fault) { sim.vm(f).unreachable = false }},
	{"VM replies lost", func(sim *simulation, f fault) { sim.vm(f).dropReplies = true }, func(sim *simulation, f fault) { sim.vm(f).dropReplies = false }},
	{"late start requests", func(sim *simulation, f fault) { sim.vm(f).startDelay = f.length / 2 }, func(sim *simulation, f fault) { sim.vm(f).startDelay = 0 }},
	{"cancellations", func(sim *simulation, f fault) {
		for i, job := range sim.jobs {
			if (f.selector>>i)&1 == 1 {
				row, _ := cancelRow(job)
				_, _ = sim.platform.Commit(context.Background(), platform.Txn{Puts: []platform.Put{row}})
			}
		}
	}, noop},
	{"shrink", func(sim *simulation, f fault) { sim.resize(sim.vm(f).name, 1500) },
		func(sim *simulation, f fault) { sim.resize(sim.vm(f).name, testCapacity.MilliProcessors) }},
	{"remove VM", func(sim *simulation, f fault) { sim.resize(sim.vm(f).name, 0) },
		func(sim *simulation, f fault) { sim.resize(sim.vm(f).name, testCapacity.MilliProcessors) }},
	{"move VM", func(sim *simulation, f fault) { sim.moveVM(sim.vm(f), 1) }, func(sim *simulation, f fault) { sim.moveVM(sim.vm(f), 0) }},
	{"remove rack", func(sim *simulation, _ fault) { sim.resize("w1", 0); sim.resize("w3", 0) },
		func(sim *simulation, f fault) {
			if f.selector%2 == 0 { // else the rack stays removed
				sim.resize("w1", testCapacity.MilliProcessors)
				sim.resize("w3", testCapacity.MilliProcessors)
			}
		}},
	{"urgent job", func(sim *simulation, f fault) {
		sim.submit(Job{Member: "m", Key: fmt.Sprintf("urgent%d", f.selector), Tasks: 2, RunTimeMS: 1000, Payload: "run=1s", Urgent: true,
			Resources: inventory.Resources{MilliProcessors: 1500, MemoryMB: 100}})
	}, noop},
	{"bad tasks", func(sim *simulation, f fault) {
		sim.submit(Job{Member: "m", Key: fmt.Sprintf("bad%d", f.selector), Tasks: 3, RunTimeMS: 1000, Payload: "fail",
			Resources: inventory.Resources{MilliProcessors: 500, MemoryMB: 100}})
	}, noop},
	{"torn snapshot", func(sim *simulation, _ fault) { sim.objects.truncateNext = true }, noop},
	{"damaged snapshot", func(sim *simulation, _ fault) { sim.objects.corruptLatest() }, noop},
}

// daemon selects a running daemon, or any daemon if none is running.
func (sim *simulation) daemon(f fault) *daemon {
	up := sim.running()
	if len(up) == 0 {
		up = sim.daemons
	}
	return up[f.selector%uint64(len(up))]
}

// disconnectStore makes the store unreachable for the daemon. Its session expires
// after the session TTL.
func (d *daemon) disconnectStore(sim *simulation, length time.Duration) {
	d.storeLostSince = sim.clock.Now()
	sim.clock.After(length, func() { d.storeLostSince = time.Time{} })
}

func (sim *simulation) vm(f fault) *vm { return sim.vms[f.selector%uint64(len(sim.vms))] }

// moveVM moves a VM to the rack at the given offset from its original one.
func (sim *simulation) moveVM(v *vm, offset int) {
	sim.changeInventory(func(vms []inventory.VM) []inventory.VM {
		for i := range vms {
			if vms[i].Name == v.name {
				vms[i].Rack = fmt.Sprintf("r%d", (sim.vmIndex(v.name)+offset)%historyRacks)
			}
		}
		return vms
	})
}

func (sim *simulation) vmIndex(name string) int {
	return slices.IndexFunc(sim.vms, func(v *vm) bool { return v.name == name })
}

// resize changes a VM's declared processors. Zero removes the VM; a removed VM is
// added again.
func (sim *simulation) resize(name string, milliProcessors int64) {
	sim.changeInventory(func(vms []inventory.VM) []inventory.VM {
		i := slices.IndexFunc(vms, func(v inventory.VM) bool { return v.Name == name })
		if i < 0 && milliProcessors > 0 {
			rack := fmt.Sprintf("r%d", sim.vmIndex(name)%historyRacks)
			vms = append(vms, inventory.VM{Name: name, Rack: rack, WorkerAddress: name, Capacity: testCapacity})
			i = len(vms) - 1
		}
		if milliProcessors == 0 || i < 0 {
			return slices.DeleteFunc(vms, func(v inventory.VM) bool { return v.Name == name })
		}
		vms[i].Capacity.MilliProcessors = milliProcessors
		return vms
	})
}

// drawFaults draws the faults of a history.
func drawFaults(seed uint64) []fault {
	r := rand.New(rand.NewPCG(seed, 2))
	faults := make([]fault, 1+r.IntN(maxFaults))
	for i := range faults {
		faults[i] = fault{
			kind:     r.IntN(len(faultKinds)),
			at:       time.Duration(r.Int64N(int64(faultWindowSeconds * time.Second))),
			length:   2*testTick + time.Duration(r.Int64N(int64(maxFaultLength))),
			selector: r.Uint64N(1 << 16),
		}
		if i > 0 && r.IntN(3) == 0 { // repeat the previous fault
			faults[i].kind, faults[i].selector = faults[i-1].kind, faults[i-1].selector
		}
	}
	return faults
}

// runHistory runs one history and returns the violations and the tasks that did not
// end.
func runHistory(seed uint64, faults []fault) ([]string, *checker) {
	sim := newSimulation(seed, historyRacks, historyVMs)
	for range 3 {
		sim.startDaemon()
	}
	for i := range historyJobs {
		run := 200 + sim.rand.IntN(6000)
		if i%4 == 0 {
			run *= 4 // outlasts most faults
		}
		job := Job{Member: "m", Key: fmt.Sprintf("k%d", i), Tasks: 1 + sim.rand.IntN(6), RunTimeMS: 1000,
			DeadlineUnixMS: int64(sim.rand.IntN(1000)), Payload: fmt.Sprintf("run=%dms", run),
			Resources: inventory.Resources{MilliProcessors: 500 + sim.rand.Int64N(1000), MemoryMB: 100}}
		sim.clock.After(time.Duration(sim.rand.Int64N(int64(faultWindowSeconds*time.Second))), func() { sim.submit(job) })
	}
	for _, f := range faults {
		sim.clock.After(f.at, func() { faultKinds[f.kind].begin(sim, f) })
		sim.clock.After(f.at+f.length, func() { faultKinds[f.kind].end(sim, f) })
	}
	sim.clock.Run(faultWindowSeconds * time.Second)
	for range maxSettleSeconds {
		sim.clock.Run(time.Second)
		if len(sim.check.openTasks()) == 0 && sim.clock.Now().Sub(startTime()) > faultWindowSeconds*time.Second+maxFaultLength {
			break
		}
	}
	problems := sim.check.allViolations()
	if open := sim.check.openTasks(); len(open) > 0 {
		problems = append(problems, fmt.Sprintf("tasks have not ended: %v", open))
	}
	return problems, sim.check
}

func startTime() time.Time { return fake.NewClock(0).Now() }

// shrinkFaults minimises the faults: it drops one at a time while the history still
// fails.
func shrinkFaults(seed uint64, faults []fault) []fault {
	for i := 0; i < len(faults); {
		fewer := slices.Delete(slices.Clone(faults), i, i+1)
		if problems, _ := runHistory(seed, fewer); len(problems) > 0 {
			faults, i = fewer, 0
		} else {
			i++
		}
	}
	return faults
}

func describeFaults(faults []fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = fmt.Sprintf("  %s at %v for %v, selector %d", faultKinds[f.kind].name, f.at, f.length, f.selector)
	}
	return strings.Join(lines, "\n")
}

// TestHistories injects random faults, singly, in combination and repeatedly. It
// guards against overcommitted VMs, tasks that run in two places, evicted tasks that
// do not resume exactly once, and accepted jobs that never end.
func TestHistories(t *testing.T) {
	count := histories
	if raceDetector {
		count = raceHistories
	}
	for chunk := range chunks {
		t.Run(fmt.Sprint(chunk), func(t *testing.T) {
			t.Parallel()
			var rows, evicted, resumed int
			for seed := uint64(chunk); seed < uint64(count); seed += chunks {
				faults := drawFaults(seed)
				problems, c := runHistory(seed, faults)
				rows, evicted, resumed = rows+c.logRows, evicted+c.evictions, resumed+c.resumedStarts
				if len(problems) > 0 {
					faults = shrinkFaults(seed, faults)
					problems, _ = runHistory(seed, faults)
					t.Fatalf("seed %d fails with\n%s\n%s", seed, describeFaults(faults), strings.Join(problems, "\n"))
				}
			}
			t.Logf("%d log rows, %d evictions, %d resumed starts", rows, evicted, resumed)
		})
	}
}

func TestHistoriesRepeat(t *testing.T) {
	for seed := range uint64(20) {
		_, a := runHistory(seed, drawFaults(seed))
		_, b := runHistory(seed, drawFaults(seed))
		if a.trace.Sum64() != b.trace.Sum64() {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}
