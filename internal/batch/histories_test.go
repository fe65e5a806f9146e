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

// Sizes of the search for failing histories.
const (
	histories     = 10_000
	raceHistories = 300
	chunks        = 8    // run in parallel
	maxFaults     = 6    // in one history
	historyRacks  = 2    // one shard each
	historyVMs    = 2    // in each rack
	historyJobs   = 10   // submitted in one history
	faultsWithin  = 20   // seconds
	settleWithin  = 1800 // seconds after the last fault, for the probes of quarantined VMs
	maxFault      = 15 * time.Second
)

// fault is one failure of a history.
type fault struct {
	kind   int
	at     time.Duration
	length time.Duration
	pick   uint64 // chooses what fails
}

type faultKind struct {
	name  string
	begin func(w *world, f fault)
	end   func(w *world, f fault)
}

func none(*world, fault) {}

func joined(w *world, _ fault) { w.startDaemon() }

// faultKinds are drawn singly, together and twice.
var faultKinds = []faultKind{
	{"kill", func(w *world, f fault) {
		if up := w.running(); len(up) > 0 {
			w.kill(up[f.pick%uint64(len(up))])
		}
	}, joined},
	{"drain", func(w *world, f fault) {
		if up := w.running(); len(up) > 1 {
			d := up[f.pick%uint64(len(up))]
			d.leaving = true
			d.x.Post(d.m.Drain)
			w.clock.After(5*time.Second, func() { w.kill(d) })
		}
	}, joined},
	{"freeze", func(w *world, f fault) {
		if up := w.running(); len(up) > 0 {
			d := up[f.pick%uint64(len(up))]
			d.x.Pause()
			d.goneSince = w.clock.Now()
			w.clock.After(f.length, func() { d.x.Resume(); d.goneSince = time.Time{} })
		}
	}, none},
	{"outage", func(w *world, _ fault) { w.platform.SetFaults(fake.Faults{Outage: true}) },
		func(w *world, _ fault) { w.platform.SetFaults(fake.Faults{}) }},
	{"store cut off from a daemon", func(w *world, f fault) { w.daemon(f).cutOff(w, f.length) }, none},
	{"VM with a daemon cut off from the rest", func(w *world, f fault) {
		d, v := w.daemon(f), w.vm(f)
		if o := w.ownerOf(w.number(v.name) % historyRacks); o != nil {
			d = o
		}
		d.cutOff(w, f.length)
		v.only = d
	}, func(w *world, f fault) { w.vm(f).only = nil }},
	{"lost replies", func(w *world, f fault) { w.platform.SetFaults(fake.Faults{LoseReplies: 1 + int(f.pick%5)}) }, none},
	{"lost reply, then outage", func(w *world, f fault) {
		w.platform.SetFaults(fake.Faults{LoseReplies: 3})
		w.clock.After(testTick, func() { w.platform.SetFaults(fake.Faults{Outage: true}) })
	}, func(w *world, _ fault) { w.platform.SetFaults(fake.Faults{}) }},
	{"VM replaced", func(w *world, f fault) { v := w.vm(f); v.cut = true; v.worker.Restart() },
		func(w *world, f fault) { w.vm(f).cut = false }},
	{"VM restarts", func(w *world, f fault) { w.vm(f).worker.Restart() }, none},
	{"VM cut off", func(w *world, f fault) { w.vm(f).cut = true }, func(w *world, f fault) { w.vm(f).cut = false }},
	{"VM mute", func(w *world, f fault) { w.vm(f).mute = true }, func(w *world, f fault) { w.vm(f).mute = false }},
	{"late orders", func(w *world, f fault) { w.vm(f).late = f.length / 2 }, func(w *world, f fault) { w.vm(f).late = 0 }},
	{"cancellations", func(w *world, f fault) {
		for i, job := range w.jobs {
			if (f.pick>>i)&1 == 1 {
				row, _ := cancelRow(job)
				_, _ = w.platform.Commit(context.Background(), platform.Txn{Puts: []platform.Put{row}})
			}
		}
	}, none},
	{"shrink", func(w *world, f fault) { w.resize(w.vm(f).name, 1500) },
		func(w *world, f fault) { w.resize(w.vm(f).name, testCapacity.MilliProcessors) }},
	{"remove VM", func(w *world, f fault) { w.resize(w.vm(f).name, 0) },
		func(w *world, f fault) { w.resize(w.vm(f).name, testCapacity.MilliProcessors) }},
	{"move VM", func(w *world, f fault) { w.move(w.vm(f), 1) }, func(w *world, f fault) { w.move(w.vm(f), 0) }},
	{"remove rack", func(w *world, _ fault) { w.resize("w1", 0); w.resize("w3", 0) },
		func(w *world, f fault) {
			if f.pick%2 == 0 { // else the rack has gone for good
				w.resize("w1", testCapacity.MilliProcessors)
				w.resize("w3", testCapacity.MilliProcessors)
			}
		}},
	{"urgent job", func(w *world, f fault) {
		w.submit(Job{Member: "m", Key: fmt.Sprintf("urgent%d", f.pick), Tasks: 2, RunTimeMS: 1000, Payload: "run=1s", Urgent: true,
			Resources: inventory.Resources{MilliProcessors: 1500, MemoryMB: 100}})
	}, none},
	{"bad tasks", func(w *world, f fault) {
		w.submit(Job{Member: "m", Key: fmt.Sprintf("bad%d", f.pick), Tasks: 3, RunTimeMS: 1000, Payload: "fail",
			Resources: inventory.Resources{MilliProcessors: 500, MemoryMB: 100}})
	}, none},
	{"torn snapshot", func(w *world, _ fault) { w.objects.tear = true }, none},
	{"damaged snapshot", func(w *world, _ fault) { w.objects.damage() }, none},
}

// daemon returns a daemon that still lives, or one that does not if none does.
func (w *world) daemon(f fault) *daemon {
	up := w.running()
	if len(up) == 0 {
		up = w.daemons
	}
	return up[f.pick%uint64(len(up))]
}

// cutOff cuts the daemon off from the store, in which its session ends too.
func (d *daemon) cutOff(w *world, length time.Duration) {
	d.noStoreSince = w.clock.Now()
	w.clock.After(length, func() { d.noStoreSince = time.Time{} })
}

func (w *world) vm(f fault) *vm { return w.vms[f.pick%uint64(len(w.vms))] }

// move puts a VM into the rack next to its own, or back.
func (w *world) move(v *vm, by int) {
	w.apply(func(vms []inventory.VM) []inventory.VM {
		for i := range vms {
			if vms[i].Name == v.name {
				vms[i].Rack = fmt.Sprintf("r%d", (w.number(v.name)+by)%historyRacks)
			}
		}
		return vms
	})
}

func (w *world) number(name string) int {
	return slices.IndexFunc(w.vms, func(v *vm) bool { return v.name == name })
}

// resize changes a VM's declared processors; none removes the VM.
func (w *world) resize(name string, milliProcessors int64) {
	w.apply(func(vms []inventory.VM) []inventory.VM {
		i := slices.IndexFunc(vms, func(v inventory.VM) bool { return v.Name == name })
		if i < 0 && milliProcessors > 0 {
			rack := fmt.Sprintf("r%d", w.number(name)%historyRacks)
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

// drawFaults draws the failures of a history.
func drawFaults(seed uint64) []fault {
	r := rand.New(rand.NewPCG(seed, 2))
	faults := make([]fault, 1+r.IntN(maxFaults))
	for i := range faults {
		faults[i] = fault{
			kind:   r.IntN(len(faultKinds)),
			at:     time.Duration(r.Int64N(int64(faultsWithin * time.Second))),
			length: 2*testTick + time.Duration(r.Int64N(int64(maxFault))),
			pick:   r.Uint64N(1 << 16),
		}
		if i > 0 && r.IntN(3) == 0 { // the same again
			faults[i].kind, faults[i].pick = faults[i-1].kind, faults[i-1].pick
		}
	}
	return faults
}

// runHistory runs one history and returns what went wrong.
func runHistory(seed uint64, faults []fault) ([]string, *checker) {
	w := newWorld(seed, historyRacks, historyVMs)
	for range 3 {
		w.startDaemon()
	}
	for i := range historyJobs {
		run := 200 + w.rand.IntN(6000)
		if i%4 == 0 {
			run *= 4 // outlasts most faults
		}
		job := Job{Member: "m", Key: fmt.Sprintf("k%d", i), Tasks: 1 + w.rand.IntN(6), RunTimeMS: 1000,
			DeadlineUnixMS: int64(w.rand.IntN(1000)), Payload: fmt.Sprintf("run=%dms", run),
			Resources: inventory.Resources{MilliProcessors: 500 + w.rand.Int64N(1000), MemoryMB: 100}}
		w.clock.After(time.Duration(w.rand.Int64N(int64(faultsWithin*time.Second))), func() { w.submit(job) })
	}
	for _, f := range faults {
		w.clock.After(f.at, func() { faultKinds[f.kind].begin(w, f) })
		w.clock.After(f.at+f.length, func() { faultKinds[f.kind].end(w, f) })
	}
	w.clock.Run(faultsWithin * time.Second)
	for range settleWithin {
		w.clock.Run(time.Second)
		if len(w.check.open()) == 0 && w.clock.Now().Sub(start()) > faultsWithin*time.Second+maxFault {
			break
		}
	}
	problems := w.check.all()
	if open := w.check.open(); len(open) > 0 {
		problems = append(problems, fmt.Sprintf("tasks have not ended: %v", open))
	}
	return problems, w.check
}

func start() time.Time { return fake.NewClock(0).Now() }

// shrinkFaults drops faults one at a time while the history still fails.
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

func describe(faults []fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = fmt.Sprintf("  %s at %v for %v, pick %d", faultKinds[f.kind].name, f.at, f.length, f.pick)
	}
	return strings.Join(lines, "\n")
}

// Whatever fails, singly, together and twice: no VM is overcommitted, no task
// runs in two places, evicted tasks resume once, and all accepted jobs end.
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
				rows, evicted, resumed = rows+c.rows, evicted+c.evicted, resumed+c.resumed
				if len(problems) > 0 {
					faults = shrinkFaults(seed, faults)
					problems, _ = runHistory(seed, faults)
					t.Fatalf("seed %d fails with\n%s\n%s", seed, describe(faults), strings.Join(problems, "\n"))
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
		if a.history.Sum64() != b.history.Sum64() {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}
