// Package cli implements the command-line tool, one file for each sub-command.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/bambooyard/bambooyard/internal/settings"
	"github.com/bambooyard/bambooyard/internal/version"
)

// Exit codes of the tool.
const (
	ExitOK         = 0
	ExitFailed     = 1 // no daemon answered, a file could not be read, or another error
	ExitUsage      = 2 // the command line is invalid
	ExitRefused    = 3 // the daemon refused the operation
	ExitInvalid    = 4 // the document or register is invalid
	ExitConflict   = 5 // another operator changed the configuration first
	ExitNotInForce = 6 // the revision was accepted but not in force before the timeout
)

// tool holds the global options and the streams that all sub-commands share.
type tool struct {
	Operator  string       `long:"operator" env:"BAMBOOYARD_OPERATOR" default:"127.0.0.1:7101" description:"IP number and port of a daemon's operator address"`
	Caller    string       `long:"caller" env:"BAMBOOYARD_CALLER" default:"127.0.0.1:7001" description:"IP number and port of a daemon's caller address"`
	Jobs      string       `long:"jobs" env:"BAMBOOYARD_JOBS" default:"127.0.0.1:7402" description:"IP number and port of a daemon's job interface"`
	TokenFile string       `long:"operator-token-file" env:"BAMBOOYARD_OPERATOR_TOKEN_FILE" description:"file that holds the operator token; BAMBOOYARD_OPERATOR_TOKEN may hold the token itself"`
	Version   func() error `long:"version" description:"print the version"`

	in  io.Reader
	out io.Writer
}

// outputOption is the output format, shared by the commands that print data.
type outputOption struct {
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

func (o outputOption) json() bool { return o.Output == "json" }

// Run parses the arguments, executes the sub-command and returns the exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	t := &tool{in: in, out: out, Version: showVersion}
	parser := flags.NewParser(t, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "bambooyard"
	parser.LongDescription = "Drives bambooyard: documents of inventory and rules, jobs, and reports."
	if err := t.register(parser); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	parser.CommandHandler = t.execute
	_, err := parser.ParseArgs(args)
	return reportError(err, out, errOut)
}

// execute validates the addresses and runs the command. Host names are refused.
func (t *tool) execute(command flags.Commander, args []string) error {
	err := errors.Join(
		settings.CheckAddress("operator", t.Operator),
		settings.CheckAddress("caller", t.Caller),
		settings.CheckAddress("jobs", t.Jobs),
	)
	if err != nil {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: err.Error()}
	}
	if command == nil {
		return nil
	}
	return command.Execute(args)
}

// showVersion ends the parsing with the version as the message.
func showVersion() error {
	return &flags.Error{Type: flags.ErrHelp, Message: "bambooyard " + version.String}
}

// subCommand is a command with its help texts.
type subCommand struct {
	name, short, long string
	command           any
}

// register adds all sub-commands to the parser.
func (t *tool) register(parser *flags.Parser) error {
	commands := []subCommand{
		{"apply", "Put a document in force", "Checks the document, makes it the next revision, and with --wait waits until it is in force.", &applyCommand{tool: t}},
		{"charts", "Print the state charts", "", &chartsCommand{tool: t}},
		{"completion", "Print a completion script for bash", "Use it with: source <(bambooyard completion)", &completionCommand{tool: t}},
		{"diff", "Show what a document would change", "", &diffCommand{tool: t}},
		{"drain", "Let a VM receive no new work", "Makes a new revision in which the VM drains, or with --undo does not.", &drainCommand{tool: t}},
		{"explain", "Tell a job's story from the logs", "Reads the logs of all daemons, prints what concerns the job in order, and what is likely to be the cause.", &explainCommand{tool: t}},
		{"forget", "Declare a lost daemon to be gone", "Ends the lost sessions of a daemon that is known to be stopped, so that no revision waits for it.", &forgetCommand{tool: t}},
		{"history", "List the accepted revisions", "", &historyCommand{tool: t}},
		{"rollback", "Put an earlier document in force", "Makes the document of an earlier revision the next revision.", &rollbackCommand{tool: t}},
		{"status", "Show a daemon and its peers", "On the users' platform, where daemons have no operator address, it asks the job interface and shows the cells, and which data centres are under evacuation.", &statusCommand{tool: t}},
		{"targets", "List the targets of all services", "", &targetsCommand{tool: t}},
		{"validate", "Check a document without a daemon", "", &validateCommand{tool: t}},
		{"workers", "List the VMs", "", &workersCommand{tool: t}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return err
		}
	}
	if err := t.registerInventory(parser); err != nil {
		return err
	}
	if err := t.registerJob(parser); err != nil {
		return err
	}
	return t.registerReport(parser)
}

// reportError prints an error with a hint and returns the exit code. A request
// for help is printed to out and is no error.
func reportError(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, err)
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, err)
	code, hint := exitCodeAndHint(err)
	if hint != "" {
		_, _ = fmt.Fprintln(errOut, "next:", hint)
	}
	return code
}
