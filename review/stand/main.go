// Command stand plays the scripts of the review: it starts the daemons as separate
// processes, stands in for the platform, the runners and the requesters, and judges the
// rule of the case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is how long a script may run.
const timeLimit = 115 * time.Second

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(s *site, trouble bool) error{
	"ends":      playEnds,
	"large-job": playLargeJob,
	"route":     playRoute,
	"unlisted":  playUnlisted,
	"cells":     playCells,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitNotRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSite(rec, filepath.Join(folder, "../.."))
	if err == nil {
		defer s.close()
		go s.endEarly()
		rec.logf("case %s, disruption %v", os.Args[1], trouble)
		err = cases[os.Args[1]](s, trouble)
	}
	if err != nil {
		rec.logf("the case cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if n := rec.breaches(); n > 0 {
		rec.logf("the rule was broken, %d times", n)
		return exitBroken
	}
	rec.logf("the rule held")
	return exitHeld
}

// endEarly ends all processes when the script is told to end or takes too long.
func (s *site) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case got := <-signals:
		s.rec.logf("the case ends early: %v", got)
	case <-time.After(timeLimit):
		s.rec.logf("the case takes too long")
	}
	s.close()
	os.Exit(exitNotRun)
}
