// Command stand2 runs a case of the second review: it starts the daemons, stands in for the
// platform, the runners and the callers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	why    string
}

var cases = map[string]func(y *yard) (verdict, error){
	"repeats":       repeats,
	"late-submit":   lateSubmit,
	"earlier-birth": earlierBirth,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER, in the repository's root")
		return exitCannotRun
	}
	y, err := newYard(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer y.record.Close()
	defer y.close()
	go y.closeEarly()
	y.log("case %s, with the disruption: %v", os.Args[1], y.trouble)
	v, err := cases[os.Args[1]](y)
	switch {
	case err != nil:
		y.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	case v.broken:
		y.log("broken: %s", v.why)
		fmt.Println("broken:", v.why)
		return exitBroken
	}
	y.log("held: %s", v.why)
	fmt.Println("held:", v.why)
	return exitHeld
}

// longestCase is how long a case may run.
const longestCase = 115 * time.Second

// closeEarly ends all daemons and this process if it is told to stop, or runs for too long.
func (y *yard) closeEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-stop:
	case <-time.After(longestCase):
	}
	y.close()
	os.Exit(exitCannotRun)
}
