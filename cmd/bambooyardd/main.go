// Command bambooyardd is the daemon. All instances are alike.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"github.com/bambooyard/bambooyard/internal/daemon"
	"github.com/bambooyard/bambooyard/internal/settings"
)

// Exit codes.
const (
	exitUsage = 2
)

func main() {
	var s settings.Settings
	if _, err := flags.Parse(&s); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if err := s.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	logger := &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.InfoLevel}
	fx.New(
		fx.NopLogger,
		fx.StopTimeout(s.DrainDelay+2*s.DrainTimeout),
		fx.Supply(s),
		fx.Provide(func() log.Interface { return logger.WithField("daemon", s.Name) }),
		daemon.Module,
	).Run()
}
