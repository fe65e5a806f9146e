//go:build review3

package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// finishTime is how long accepted work may take once all is calm: finish_s, and the 3 s for which
// a job may have nothing running.
const finishTime = 18 * time.Second

// jobOf returns the body of a job of one step.
func jobOf(count, cpu, estimateMS int, extra string) string {
	return fmt.Sprintf(`{"spec":"review","steps":[{"count":%d,"cpu":%d,"memMb":1000,"estimateMs":%d%s}]}`, count, cpu, estimateMS, extra)
}

// removedRoute removes the routes of jobs just after these were accepted, and kills all
// daemons once the change is confirmed. The second step of each job has not started by then.
func removedRoute(rec *record, binary, dir string, trouble bool) (int, error) {
	const (
		daemons = 3
		tasks   = 3
		body    = `{"spec":"review","steps":[{"count":2,"cpu":1000,"memMb":1000,"estimateMs":2000},{"count":1,"cpu":1000,"memMb":1000,"estimateMs":2000,"after":[0]}]}`
	)
	work := func(string) time.Duration { return 2 * time.Second }
	s, err := startSite(rec, binary, dir, trouble, 8, daemons, work, "scans", "extra0", "extra1", "extra2")
	if err != nil {
		return cannotRun, err
	}
	defer s.stop()
	answers := make(chan int, daemons)
	id := func(n int) string { return fmt.Sprintf("%016x", 0xb0+n) }
	for n := range daemons {
		go func() {
			status, _ := s.do(n, "POST", fmt.Sprintf("/extra%d/%s", n, id(n)), body)
			answers <- status
		}()
	}
	for range daemons {
		if status := <-answers; status/100 != 2 {
			return cannotRun, errors.New("a job was not accepted")
		}
	}
	s.config("scans")
	if trouble {
		if err := s.killAll(1200 * time.Millisecond); err != nil {
			return cannotRun, err
		}
		if !waitFor(20*time.Second, s.allReady) {
			return cannotRun, errors.New("the daemons are not ready after the kill")
		}
	}
	rec.add("the daemons are ready")
	lost := 0
	time.Sleep(finishTime)
	for n := range daemons {
		rec.add("job %s of route extra%d: %d of %d tasks done", id(n), n, s.fleet.done(id(n)), tasks)
		if s.fleet.done(id(n)) < tasks {
			lost++
		}
	}
	s.logs("cell_recovered", "job_known", "config_adopted", "job_final")
	rec.add("%d of %d accepted jobs have not run to their end", lost, daemons)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// configStorm adds a route with each of some versions of the config that come in quick
// succession, removes it with the next, and hands in a job on each route at each daemon.
func configStorm(rec *record, binary, dir string, trouble bool) (int, error) {
	const (
		changes = 12
		gap     = 330 * time.Millisecond
		retry   = 40 * time.Millisecond
		calm    = 4 * time.Second // over configApplyMs
		tasks   = 2
		daemons = 5
	)
	s, err := startSite(rec, binary, dir, trouble, 8, daemons, func(string) time.Duration { return 300 * time.Millisecond }, "scans")
	if err != nil {
		return cannotRun, err
	}
	defer s.stop()
	between, rounds := gap, changes
	if !trouble {
		between, rounds = calm, 3
	}
	accepted := map[string]string{}
	for round := range rounds {
		queue := fmt.Sprintf("extra%d", round)
		s.config("scans", queue)
		until := time.Now().Add(between)
		for time.Now().Before(until) {
			for n := range daemons {
				id := fmt.Sprintf("%016x", 0xd000+16*round+n)
				if accepted[id] != "" {
					continue
				}
				if status, _ := s.do(n, "POST", "/"+queue+"/"+id, jobOf(tasks, 1000, 300, "")); status/100 == 2 {
					accepted[id] = queue
				}
			}
			time.Sleep(retry)
		}
	}
	s.config("scans")
	if len(accepted) == 0 {
		return cannotRun, errors.New("no job was accepted")
	}
	rec.add("the traffic has ended; %d jobs were accepted", len(accepted))
	time.Sleep(finishTime)
	lost := 0
	for _, id := range slices.Sorted(maps.Keys(accepted)) {
		if done := s.fleet.done(id); done < tasks {
			lost++
			rec.add("job %s of route %s was accepted, and %d of its tasks are done; %d runs", id, accepted[id], done, len(s.fleet.runsOf(id)))
		}
	}
	s.logs("config_adopted", "cell_recovered")
	rec.add("%d of %d accepted jobs have not run", lost, len(accepted))
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// restartedRunner crashes runners, one at a time, that start again under their IDs after a short
// time, while the platform answers calls for the list of machines late.
func restartedRunner(rec *record, binary, dir string, trouble bool) (int, error) {
	const (
		rounds = 11
		apart  = 9 * time.Second
		late   = 200 * time.Millisecond
		down   = 660 * time.Millisecond
		long   = 6 * time.Second
		short  = time.Second
		vary   = 1500 // ms
	)
	work := func(task string) time.Duration {
		if task[0] == 'a' {
			return long
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(task)) // it never fails
		return short + time.Duration(h.Sum32()%vary)*time.Millisecond
	}
	sameID = true
	s, err := startSite(rec, binary, dir, trouble, 8, 3, work, "scans")
	if err != nil {
		return cannotRun, err
	}
	defer s.stop()
	s.fleet.setTaskCPU(8000)
	for round := range rounds {
		begun, job := time.Now(), fmt.Sprintf("a%015x", round)
		if !s.submit("scans", job, jobOf(2, 8000, 6000, "")) {
			return cannotRun, errors.New("a job was not accepted")
		}
		for n := range 7 { // keeps the other runners full
			if !s.submit("scans", fmt.Sprintf("%016x", 0xf00+16*round+n), jobOf(6, 8000, 1700, "")) {
				return cannotRun, errors.New("a job was not accepted")
			}
		}
		if !waitFor(5*time.Second, func() bool { return s.fleet.running(job+".0.0.0") != nil }) {
			return cannotRun, errors.New("the task was not started")
		}
		time.Sleep(1600 * time.Millisecond)
		if r := s.fleet.runners[s.fleet.running(job+".0.0.0").runner]; trouble {
			s.fleet.setLate(late)
			r.crash()
			time.Sleep(down)
			if err := r.restart(); err != nil {
				return cannotRun, err
			}
			time.Sleep(time.Second)
			s.fleet.setLate(0)
		}
		time.Sleep(time.Until(begun.Add(apart)))
	}
	pairs := s.fleet.overlaps()
	for _, p := range pairs {
		for _, r := range p {
			rec.add("TWICE %s: run %d on runner %d from %.3f to %.3f: %s", r.task, r.attempt, r.runner, rec.at(r.from), rec.at(r.to), r.how)
		}
	}
	s.logs("task_lost", "worker_gone")
	if len(pairs) > 0 {
		return broken, nil
	}
	return held, nil
}
