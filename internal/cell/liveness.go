package cell

import (
	"time"

	"github.com/apex/log"
)

// Times of looking after silent workers.
const (
	// suspectAfter is how long a worker must be silent before the list of
	// machines is asked; it is above a lost answer's repetition.
	suspectAfter = 400 * time.Millisecond
	suspectPoll  = 500 * time.Millisecond
	// absentReads is how many readings in a row must lack a worker: the list may
	// lag behind.
	absentReads = 2
)

// suspects keeps count of the readings of the machine list that lacked a worker.
type suspects struct {
	busy   bool
	at     time.Time
	absent map[string]int
}

// pollSuspects asks the list of machines about workers that are silent: a
// machine that is not up runs nothing, whatever lease its worker had.
func (t *tenure) pollSuspects(now time.Time) {
	s := &t.suspects
	if t.c.Machines == nil || s.busy || now.Sub(s.at) < suspectPoll {
		return
	}
	silent := t.engine.UnresponsiveFor(now, suspectAfter)
	if len(silent) == 0 {
		clear(s.absent)
		return
	}
	s.busy, s.at = true, now
	do(t, storeTimeout, t.c.Machines.Alive, func(alive map[string]bool, err error) {
		s.busy = false
		if err != nil {
			t.log.WithField("event", "machines_unread").WithError(err).Debug("leases decide")
			return
		}
		before := s.absent
		s.absent = map[string]int{}
		for _, id := range silent {
			t.suspect(id, before[id], alive[id])
		}
	})
}

// suspect takes in one reading about a silent worker that the readings before
// lacked a number of times.
func (t *tenure) suspect(id string, absent int, alive bool) {
	if alive {
		return
	}
	if absent+1 < absentReads {
		t.suspects.absent[id] = absent + 1
		return
	}
	t.log.WithFields(log.Fields{"event": "worker_gone", "worker": id}).Warn("its machine is not up")
	t.engine.HandleReplacement(id, t.c.Now())
	t.kick()
}
