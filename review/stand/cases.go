package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	cores64  = 64_000
	memory64 = 250_000
)

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// allRunning returns the number of tasks that run.
func (f *fleet) allRunning() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runners {
		n += len(r.runs)
	}
	return n
}

// open begins an installation of daemons and runners of 64 cores with one queue, q.
func (s *site) open(daemons, runners int) error {
	for n := range runners {
		if err := s.fleet.add(n, cores64, memory64, "a"); err != nil {
			return err
		}
	}
	s.route("q", 0, 3)
	s.configure()
	if err := s.startNodes(daemons); err != nil {
		return err
	}
	if !waitFor(10*time.Second, func() bool { return s.owner() != nil }) {
		return fmt.Errorf("no daemon owns the cell")
	}
	return nil
}

// submitAll hands jobs in and fails unless all are accepted.
func (s *site) submitAll(queue string, ids []string, steps []step, sch schedule) error {
	for _, id := range ids {
		if !s.submit(queue, id, steps, sch) {
			return fmt.Errorf("job %s is not accepted", id)
		}
	}
	return nil
}

// completed reports whether the runners have done all tasks of the jobs.
func (s *site) completed(ids []string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, id := range ids {
		if j := s.fleet.jobs[id]; j.done < j.tasks() {
			return false
		}
	}
	return true
}

// idleWithTurn bounds the time for which a job may have nothing running while a task's turn
// has come and there is room.
const idleWithTurn = 3 * time.Second

// judgeLost is called after the end of the traffic. From finish on, jobs are watched until
// they are done: each that has nothing running for idleWithTurn, while there is capacity
// twice over and under half of the service's is in use, is lost.
func (s *site) judgeLost(queue string, ids []string, patience time.Duration) {
	s.rec.logf("end of the traffic; jobs are asked for from %v on", finish)
	time.Sleep(finish)
	idle := map[string]time.Time{}
	lost := map[string]bool{}
	waitFor(patience, func() bool {
		s.fleet.mu.Lock()
		roomy := s.fleet.freeCPU() > 0.5
		for _, id := range ids {
			j := s.fleet.jobs[id]
			switch {
			case !roomy || j.running > 0 || j.done >= j.tasks():
				delete(idle, id)
			case idle[id].IsZero():
				idle[id] = time.Now()
			case time.Since(idle[id]) > idleWithTurn:
				lost[id] = true
			}
		}
		s.fleet.mu.Unlock()
		return len(lost) == len(ids) || s.completed(ids)
	})
	for _, id := range ids {
		state := s.state(queue, id)
		s.fleet.mu.Lock()
		j := s.fleet.jobs[id]
		done, all, free := j.done, j.tasks(), s.fleet.freeCPU()
		s.fleet.mu.Unlock()
		s.rec.logf("job %s: %d of %d tasks done, shown as %q", id, done, all, state)
		if lost[id] && done < all {
			s.rec.breach("LOST: accepted job %s has nothing running for %v while a task's turn has come, and %.0f%% of the processors are free; it is shown as %q", id, idleWithTurn, 100*free, state)
		}
	}
}

// playEnds lets more than 500 short tasks of one runner end while their owner is away.
func playEnds(s *site, trouble bool) error {
	if err := s.open(3, 3); err != nil {
		return err
	}
	ids := []string{jobID(1), jobID(2), jobID(3)}
	if err := s.submitAll("q", ids, []step{{Count: 600, CPU: 100, MemMB: 100, EstimateMS: 1200, run: 1200 * time.Millisecond}}, schedule{}); err != nil {
		return err
	}
	waitFor(5*time.Second, func() bool { return s.fleet.allRunning() >= 1800 })
	s.rec.logf("%d tasks run", s.fleet.allRunning())
	if trouble {
		killed := s.owner()
		s.signal(killed, syscall.SIGKILL)
		time.Sleep(3 * time.Second)
		if err := s.start(killed); err != nil {
			return err
		}
	}
	waitFor(40*time.Second, func() bool { return s.completed(ids) && s.fleet.allRunning() == 0 })
	time.Sleep(2 * time.Second)
	for _, id := range ids {
		s.rec.logf("job %s is shown as %q", id, s.state("q", id))
	}
	return nil
}

// ackTime is how long the ends that runners list may not be taken note of.
const ackTime = 5 * time.Second

// playLargeJob hands in a job of the largest size of ledger-recon in large/tagsa-yard-large.toml.
func playLargeJob(s *site, trouble bool) error {
	if err := s.open(3, 12); err != nil {
		return err
	}
	width := 160
	if !trouble {
		width = 16
	}
	var steps []step
	for n := range 5 {
		st := step{Count: width, CPU: 500, MemMB: 256, EstimateMS: 4000, Checkpointing: true, run: 4 * time.Second}
		if n > 0 {
			st.After = []int{n - 1}
		}
		steps = append(steps, st)
	}
	small := []step{{Count: 6, CPU: 1000, MemMB: 512, EstimateMS: 500, run: 500 * time.Millisecond}}
	before := []string{jobID(0x10), jobID(0x11)}
	if err := s.submitAll("q", before, small, schedule{}); err != nil {
		return err
	}
	if !waitFor(10*time.Second, func() bool { return s.completed(before) }) {
		return fmt.Errorf("the first jobs are not done")
	}
	if err := s.submitAll("q", []string{jobID(0x20)}, steps, schedule{times: 6, intervalMS: 4500}); err != nil {
		return err
	}
	time.Sleep(16 * time.Second)
	var ids []string
	for n := range 6 {
		if id := jobID(0x30 + n); s.submit("q", id, small, schedule{}) {
			ids = append(ids, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.rec.logf("end of the traffic")
	time.Sleep(finish)
	s.judgeAcks(ids)
	return nil
}

// judgeAcks judges that the ends that runners list are taken note of, and tells the states
// of jobs.
func (s *site) judgeAcks(ids []string) {
	s.fleet.mu.Lock()
	listed, late := 0, 0
	for _, r := range s.fleet.runners {
		listed += int(r.ends)
		for _, e := range r.ended {
			if time.Since(e.at) > ackTime {
				late++
			}
		}
	}
	s.fleet.mu.Unlock()
	s.rec.logf("%d of %d ends have not been taken note of for %v", late, listed, ackTime)
	open := 0
	for _, id := range ids {
		state := s.state("q", id)
		s.fleet.mu.Lock()
		j := s.fleet.jobs[id]
		s.rec.logf("accepted job %s: %d of %d tasks done, the last %.1f s ago, in %d runs; it is shown as %q", id, j.done, j.tasks(), time.Since(j.doneAt).Seconds(), j.doneRuns, state)
		s.fleet.mu.Unlock()
		if state != "completed" {
			open++
		}
	}
	if 5*late > listed {
		s.rec.breach("Acks: more than a fifth of the ends that runners list are not taken note of; %d of %d accepted jobs are not shown as completed", open, len(ids))
	}
}

// playRoute removes a queue that has an open job, and restarts the owner.
func playRoute(s *site, trouble bool) error {
	s.route("p", 2, 3)
	if err := s.open(3, 3); err != nil {
		return err
	}
	st := step{Count: 4, CPU: 2000, MemMB: 1024, EstimateMS: 4000, run: 4 * time.Second}
	second, third := st, st
	second.After, third.After = []int{0}, []int{1}
	ids := []string{jobID(0x40), jobID(0x41)}
	if err := s.submitAll("p", ids, []step{st, second, third}, schedule{}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	s.dropRoute("p")
	s.configure()
	time.Sleep(configApply)
	if trouble {
		killed := s.owner()
		s.signal(killed, syscall.SIGKILL)
		time.Sleep(3 * time.Second)
		if err := s.start(killed); err != nil {
			return err
		}
	}
	s.judgeLost("p", ids, 20*time.Second)
	return nil
}
