//go:build review3

// Command stand3 plays the scripts of the third review: it stands in for the
// platform, the runners and the clients, and starts the project's daemons.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(rec *record, binary, dir string, trouble bool) (int, error){
	"removed-route":    removedRoute,
	"config-storm":     configStorm,
	"restarted-runner": restartedRunner,
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("daemon", "target/bambooyardd", "the daemon's program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *binary, *path))
}

func play(name, binary, path string) int {
	fn := cases[name]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return cannotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	code, err := fn(rec, binary, dir, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		return cannotRun
	case code == broken:
		rec.add("BROKEN")
	default:
		rec.add("held")
	}
	return code
}
