package main

import (
	"fmt"
	"syscall"
	"time"
)

// Times of an outage of the store, as in the site files, and of the restart at its end.
const (
	outage     = 4500 * time.Millisecond
	killBefore = 100 * time.Millisecond
	killedFor  = 500 * time.Millisecond
)

// playUnlisted starts tasks just before an owner notices an outage of the store, and restarts
// all daemons at its end, while the entry of the runner of these tasks is not back yet.
func playUnlisted(s *site, trouble bool) error {
	if err := s.open(3, 3); err != nil {
		return err
	}
	s.fleet.runners[2].backAfter = 1800 * time.Millisecond
	filler := []step{{Count: 2, CPU: 50_000, MemMB: 1024, EstimateMS: 5500, run: 5500 * time.Millisecond}}
	first := step{Count: 1, CPU: 1000, MemMB: 512, EstimateMS: 1500, run: 1500 * time.Millisecond}
	second := step{Count: 2, CPU: 20_000, MemMB: 1024, EstimateMS: 9000, After: []int{0}, run: 9 * time.Second}
	ids := []string{jobID(0xa0), jobID(0xa1)}
	if !s.submit("q", ids[0], filler, schedule{}) || !s.submit("q", ids[1], []step{first, second}, schedule{}) {
		return fmt.Errorf("a job is not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		s.store.setDown(true)
		time.Sleep(outage - killBefore)
		for _, nd := range s.nodes {
			s.signal(nd, syscall.SIGKILL)
		}
		time.Sleep(killBefore)
		s.store.setDown(false)
		time.Sleep(killedFor - killBefore)
		for _, nd := range s.nodes {
			if err := s.start(nd); err != nil {
				return err
			}
		}
	}
	waitFor(40*time.Second, func() bool { return s.completed(ids) && s.fleet.allRunning() == 0 })
	time.Sleep(2 * time.Second)
	for _, id := range ids {
		s.rec.logf("job %s is shown as %q", id, s.state("q", id))
	}
	return nil
}
