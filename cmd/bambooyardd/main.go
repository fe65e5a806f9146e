// Command bambooyardd is the daemon. All instances have the same role.
package main

import (
	"errors"
	"fmt"
	stdlog "log"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"github.com/bambooyard/bambooyard/internal/daemon"
	"github.com/bambooyard/bambooyard/internal/eventlog"
	"github.com/bambooyard/bambooyard/internal/node"
	"github.com/bambooyard/bambooyard/internal/process"
	"github.com/bambooyard/bambooyard/internal/settings"
	"github.com/bambooyard/bambooyard/internal/version"
	"github.com/bambooyard/bambooyard/platform"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	if platform.HasSettings() {
		os.Exit(runNode())
	}
	parsed, err := settings.Parse(os.Args[1:])
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	case parsed.ShowVersion:
		fmt.Println("bambooyardd", version.String)
		return
	case parsed.Print:
		if err := parsed.Settings.Fprint(os.Stdout); err != nil {
			os.Exit(exitFailed)
		}
		return
	}
	run(parsed.Settings)
}

// runNode runs the daemon with the settings that the platform has written, and
// returns the exit code.
func runNode() int {
	s, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	events := eventlog.NewLogfmt(os.Stdout, time.Now)
	defer events.Close()
	logger := &log.Logger{Handler: events, Level: log.InfoLevel}
	stdlog.SetFlags(0)
	stdlog.SetOutput(daemon.StdLogWriter{Log: logger.WithField("daemon", s.Name)})
	return node.Run(s, logger.WithField("daemon", s.Name))
}

// run runs the daemon until it is signalled to stop.
func run(s settings.Settings) {
	logger := &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.InfoLevel}
	stdlog.SetFlags(0)
	stdlog.SetOutput(daemon.StdLogWriter{Log: logger.WithField("daemon", s.Name)})
	process.LimitMemory(s.MemoryMB << 20)
	fx.New(
		fx.NopLogger,
		fx.StopTimeout(s.DrainDelay+2*s.DrainTimeout),
		fx.Supply(s),
		fx.Provide(func() log.Interface { return logger.WithField("daemon", s.Name) }),
		daemon.Module,
	).Run()
}
