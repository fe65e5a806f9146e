// Package cli is the command-line tool: one file for each sub-command.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the tool.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitRefused = 3 // the daemon refused the operation
)

// tool is what every sub-command shares.
type tool struct {
	Operator string `long:"operator" env:"BAMBOOYARD_OPERATOR" default:"127.0.0.1:7101" description:"IP number and port of a daemon's operator address"`
	Caller   string `long:"caller" env:"BAMBOOYARD_CALLER" default:"127.0.0.1:7001" description:"IP number and port of a daemon's caller address"`

	in  io.Reader
	out io.Writer
}

// Run runs the tool and returns its exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	t := &tool{in: in, out: out}
	parser := flags.NewParser(t, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "bambooyard"
	if err := t.register(parser); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return exit(err, out, errOut)
}

// register adds the sub-commands.
func (t *tool) register(parser *flags.Parser) error {
	commands := []struct {
		name, short string
		command     any
	}{
		{"apply", "Put a document in force", &applyCommand{tool: t}},
		{"validate", "Check a document without a daemon", &validateCommand{tool: t}},
		{"status", "Show a daemon and its peers", &statusCommand{tool: t}},
		{"charts", "Print the state charts", &chartsCommand{tool: t}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.command); err != nil {
			return err
		}
	}
	if err := t.registerJob(parser); err != nil {
		return err
	}
	return t.registerReport(parser)
}

func exit(err error, out, errOut io.Writer) int {
	var flagsErr *flags.Error
	var refused *RefusedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, err)
		return ExitOK
	case errors.As(err, &flagsErr):
		_, _ = fmt.Fprintln(errOut, err)
		return ExitUsage
	case errors.As(err, &refused):
		_, _ = fmt.Fprintln(errOut, err)
		return ExitRefused
	default:
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
}
