package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// The installation of playCells: eight racks of chalkwalk-yard-grown's runners and the
// smallest machines there, one of which cannot carry all runners.
const (
	cellRacks   = 8
	perRack     = 15
	cores16     = 16_000
	memory16    = 62_500
	smallShare  = 0.192
	lastingJobs = 80
	// lastingBound is how long after its last run a task that lasts may be away.
	lastingBound = 6 * time.Second
	// contact is the time after an impairment from which bounds hold.
	contact = 5 * time.Second
)

// cellMap is how the daemons divide the racks among them, as their row in the store tells.
func (s *site) cellMap() (racks map[string]int, cells int) {
	var m struct {
		Cells []any          `json:"cells"`
		Racks map[string]int `json:"racks"`
	}
	if err := json.Unmarshal(s.store.get("cellmap", "c0", "map"), &m); err != nil {
		return nil, 0
	}
	return m.Racks, len(m.Cells)
}

// playCells takes a rack away for good, while services use most of each cell.
func playCells(s *site, trouble bool) error {
	s.fleet.perRack, s.cpuShare = perRack, smallShare
	for n := range cellRacks * perRack {
		if err := s.fleet.add(n, cores16, memory16, "a"); err != nil {
			return err
		}
	}
	s.route("q", 0, 4)
	s.configure()
	if err := s.startNodes(5); err != nil {
		return err
	}
	var racks map[string]int
	if !waitFor(20*time.Second, func() bool {
		var cells int
		racks, cells = s.cellMap()
		return cells > 1
	}) {
		return fmt.Errorf("the installation is not divided into cells")
	}
	s.rec.logf("racks by cell: %v", racks)
	time.Sleep(4 * time.Second)
	for n := range lastingJobs {
		st := step{Count: 6, CPU: 3200, MemMB: 6400, EstimateMS: 270, LongRunning: true}
		if id := jobID(0x1000 + n); !s.submit("q", id, []step{st}, schedule{}) {
			return fmt.Errorf("job %s is not accepted", id)
		}
		time.Sleep(60 * time.Millisecond)
	}
	if !waitFor(20*time.Second, func() bool { return s.fleet.allRunning() == 6*lastingJobs }) {
		return fmt.Errorf("only %d of %d tasks run", s.fleet.allRunning(), 6*lastingJobs)
	}
	time.Sleep(contact)
	if trouble {
		lost := s.busiestRack()
		s.rec.logf("the runners of rack %s are lost for good", lost)
		for _, r := range s.fleet.runners {
			if r.labels[1] == lost {
				r.crash()
			}
		}
	}
	s.judgeLasting(racks, 30*time.Second)
	return nil
}

// busiestRack returns the rack with the most runs.
func (s *site) busiestRack() string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	runs, best := map[string]int{}, ""
	for _, r := range s.fleet.runners {
		rack := r.labels[1]
		if runs[rack] += len(r.runs); best == "" || runs[rack] > runs[best] {
			best = rack
		}
	}
	return best
}

// judgeLasting judges each task that lasts: it is lost if it has not run for lastingBound and
// idleWithTurn, while there is capacity for it twice over.
func (s *site) judgeLasting(racks map[string]int, d time.Duration) {
	time.Sleep(contact + idleWithTurn)
	lost := map[string]bool{}
	waitFor(d, func() bool {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		room := map[int]int{}
		total := 0
		for _, r := range s.fleet.runners {
			free := r.cpu
			for _, run := range r.runs {
				free -= run.step.CPU
			}
			if r.up {
				room[racks[r.labels[1]]] += free / 3200
				total += free / 3200
			}
		}
		for task, h := range s.fleet.tasks {
			if away := time.Since(h.lastRun); away > lastingBound+idleWithTurn && total >= 2 && !lost[task] {
				lost[task] = true
				s.rec.breach("LOST: %s is to last and has not run for %.1f s, with capacity for it: room for %d such tasks, by cell %v", task, away.Seconds(), total, room)
			}
		}
		return false
	})
	s.rec.logf("%d tasks run", s.fleet.allRunning())
}
