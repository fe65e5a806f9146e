package main

import (
	"fmt"
	"time"
)

func step(count int, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": 500, "memMb": 256, "estimateMs": 1000}
	for k, v := range more {
		s[k] = v
	}
	return s
}

func jobOf(steps ...any) map[string]any { return map[string]any{"spec": "text", "steps": steps} }

// begin starts an installation and waits until it serves.
func (y *yard) begin(daemons, runners int, route map[string]any) error {
	if err := y.startPlatform(route); err != nil {
		return err
	}
	if err := y.addRunners(runners, resources{CPU: 64000, MemMB: 256000}); err != nil {
		return err
	}
	if err := y.addDaemons(daemons); err != nil {
		return err
	}
	if err := y.awaitReady(15 * time.Second); err != nil {
		return err
	}
	if !y.submit("00000000000000aa", jobOf(step(4, nil))) {
		return fmt.Errorf("the first job is not accepted")
	}
	if !y.awaitState("00000000000000aa", "completed", 15*time.Second) {
		return fmt.Errorf("the first job is not completed")
	}
	return nil
}

// awaitState asks for a job's state until it is the one expected.
func (y *yard) awaitState(id, state string, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for i := 0; time.Now().Before(deadline); i++ {
		if y.daemons[i%len(y.daemons)].call("GET", id, nil, callTimeout).state() == state {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// repeats submits one job that is due every five minutes for a year, and then ordinary jobs.
// Without trouble, the job is due twelve times.
func repeats(y *yard) (verdict, error) {
	if err := y.begin(4, 6, nil); err != nil {
		return verdict{}, err
	}
	times := 12
	if y.trouble {
		times = 365 * 24 * 12
	}
	scheduled := jobOf(step(6, nil))
	scheduled["startAtMs"] = time.Now().Add(2 * time.Second).UnixMilli()
	scheduled["intervalMs"] = 5 * 60 * 1000
	scheduled["repeatCount"] = times
	if !y.submit("00000000000000bb", scheduled) {
		return verdict{why: "the scheduled job is not accepted, so that it need not run"}, nil
	}
	var accepted []string
	for i := range 20 {
		id := fmt.Sprintf("%016x", 0x100+i)
		if y.daemons[i%len(y.daemons)].call("POST", id, jobOf(step(2, nil)), callTimeout).status/100 == 2 {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finishAfter)
	lost := y.stuck(accepted)
	kills := 0
	for _, n := range y.kills {
		kills += n
	}
	why := fmt.Sprintf("%d of %d accepted jobs are not completed and had nothing running for 3 s, %v after the last one; processes were over their memory %d times", lost, len(accepted), finishAfter, kills)
	return verdict{lost > 0, why}, nil
}

// Times of the checks, as the pages state them.
const (
	callTimeout = 3 * time.Second
	finishAfter = 14 * time.Second // finish_s
	idleFor     = 3 * time.Second
)

// stuck returns how many jobs are not completed and have nothing running for idleFor.
func (y *yard) stuck(ids []string) int {
	idle := map[string]bool{}
	for i, id := range ids {
		if y.daemons[i%len(y.daemons)].call("GET", id, nil, callTimeout).state() != "completed" {
			idle[id] = true
		}
	}
	for until := time.Now().Add(idleFor); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for id := range idle {
			if len(y.runningOf(id)) > 0 {
				delete(idle, id)
			}
		}
	}
	for i, id := range ids {
		if idle[id] && y.daemons[(i+1)%len(y.daemons)].call("GET", id, nil, callTimeout).state() == "completed" {
			delete(idle, id)
		}
	}
	for id := range idle {
		y.log("check: job %s is not completed and had nothing running for %v", id, idleFor)
	}
	return len(idle)
}

// Times of the case of late submissions.
const (
	patience    = 900 * time.Millisecond  // the caller leaves, as requesters who give up do
	lateBy      = 5900 * time.Millisecond // a write without an answer is done 1 to 6 s later
	cancelBound = 3 * time.Second         // cancel_ms
	// patientCallers submit jobs beside each caller who leaves, and wait for the answers, so
	// that the shares of lost writes and of leaving callers stay below those of the site.
	patientCallers = 5
	// dueAfter is when the jobs are due: over contactMs after the last late write, so that
	// all machines are in touch.
	dueAfter = 22 * time.Second
)

// lateSubmit submits jobs that are due later, leaves without an answer and cancels them at another
// daemon. The store loses its answer to each submission, and carries it out later if its condition
// still holds.
func lateSubmit(y *yard) (verdict, error) {
	if err := y.begin(3, 4, nil); err != nil {
		return verdict{}, err
	}
	acknowledged := map[string]time.Time{}
	began := time.Now()
	writesBefore, lostBefore := y.store.counts()
	for i := range 4 {
		id := fmt.Sprintf("%016x", 0x200+i)
		if y.trouble {
			y.store.setDelay(func(t txn) time.Duration {
				for _, p := range t.Puts {
					if p.Key == id {
						return lateBy
					}
				}
				return 0
			})
		}
		scheduled := jobOf(step(2, nil))
		scheduled["startAtMs"], scheduled["repeatCount"] = time.Now().Add(dueAfter).UnixMilli(), 1
		patient := make(chan bool, patientCallers)
		for k := range patientCallers {
			other := fmt.Sprintf("%016x", 0x280+i*patientCallers+k)
			go func() { patient <- y.daemons[2].call("POST", other, jobOf(step(1, nil)), callTimeout).status/100 == 2 }()
		}
		y.daemons[i%2].call("POST", id, scheduled, patience)
		for range patientCallers {
			<-patient
		}
		y.store.setDelay(func(txn) time.Duration { return 0 })
		if a := y.daemons[2].call("DELETE", id, nil, callTimeout); a.status/100 == 2 || a.status == 410 {
			acknowledged[id] = time.Now()
			y.log("caller: the cancelling of %s is acknowledged with %d", id, a.status)
		}
	}
	writes, lost := y.store.counts()
	writes, lost = writes-writesBefore, lost-lostBefore
	y.log("store: in %v, %d of %d writes got no answer", time.Since(began).Round(time.Millisecond), lost, writes)
	if len(acknowledged) == 0 {
		return verdict{}, fmt.Errorf("no cancelling was acknowledged")
	}
	time.Sleep(dueAfter + 6*time.Second)
	broken := 0
	for id, at := range acknowledged {
		for _, e := range y.eventsOf(id) {
			if e.what == "start" && e.at.Sub(at) > cancelBound {
				y.log("check: %s starts %v after the acknowledgement", e.name, e.at.Sub(at).Round(time.Millisecond))
				broken++
				break
			}
		}
	}
	return verdict{broken > 0, fmt.Sprintf("of %d jobs whose cancelling was acknowledged, %d started later than 3 s after that", len(acknowledged), broken)}, nil
}

// Times of the case of a runner that goes down and up by turns, for flapCycles periods. Its time of day
// is ahead by clockStep for clockFor.
const (
	flapPeriod = 1400 * time.Millisecond
	flapCycles = 5
	clockStep  = 2400 * time.Millisecond
	clockFor   = 6 * time.Second
)

// earlierBirth lets one of ten runners go down and up by turns, under the id that it had. Before it
// starts for the last time, its time of day, which was ahead, jumps back.
func earlierBirth(y *yard) (verdict, error) {
	if err := y.begin(3, 10, nil); err != nil {
		return verdict{}, err
	}
	r := y.runners[2]
	r.mu.Lock()
	r.sameID = true
	r.mu.Unlock()
	done := make(chan error, 1)
	if y.trouble {
		time.AfterFunc(4*time.Second, func() { done <- flap(r) })
	} else {
		done <- nil
	}
	var accepted []string
	for i := range 30 {
		id := fmt.Sprintf("%016x", 0x300+i)
		if y.daemons[i%len(y.daemons)].call("POST", id, jobOf(step(20, map[string]any{"antiAffinity": 2})), callTimeout).status/100 == 2 {
			accepted = append(accepted, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if err := <-done; err != nil {
		return verdict{}, err
	}
	time.Sleep(finishAfter)
	lost := y.stuck(accepted)
	return verdict{lost > 0, fmt.Sprintf("%d of %d accepted jobs are not completed and had nothing running for 3 s, %v after the last one", lost, len(accepted), finishAfter)}, nil
}

func flap(r *runner) error {
	setClock := func(skew time.Duration) {
		r.mu.Lock()
		r.skew = skew
		r.mu.Unlock()
		r.y.log("runner %s: its time of day jumps, and is ahead by %v", r.host, skew)
	}
	setClock(clockStep)
	time.AfterFunc(clockFor, func() { setClock(0) })
	for i := range flapCycles {
		r.crash()
		time.Sleep(flapPeriod / 2)
		if err := r.boot(); err != nil {
			return err
		}
		if i < flapCycles-1 {
			time.Sleep(flapPeriod / 2)
		}
	}
	return nil
}
