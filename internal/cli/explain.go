package cli

import (
	"fmt"
	"os"

	"github.com/bambooyard/bambooyard/explain"
)

type explainCommand struct {
	tool *tool
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true" description:"ID of the job"`
		Files []string `positional-arg-name:"FILE" description:"logs of all daemons; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	events, skipped, err := c.readLogs()
	if err != nil {
		return err
	}
	if err := explain.Analyse(events, c.Args.ID).Print(c.tool.out); err != nil {
		return err
	}
	if skipped > 0 {
		_, err = fmt.Fprintf(c.tool.out, "%d lines are no events and were left out\n", skipped)
	}
	return err
}

// readLogs reads the events of all files, or of the standard input without any,
// and counts the lines that are no events.
func (c *explainCommand) readLogs() (events []explain.Event, skipped int, err error) {
	if len(c.Args.Files) == 0 {
		return explain.Read(c.tool.in)
	}
	for _, name := range c.Args.Files {
		fileEvents, fileSkipped, err := readLog(name)
		if err != nil {
			return nil, 0, err
		}
		events, skipped = append(events, fileEvents...), skipped+fileSkipped
	}
	return events, skipped, nil
}

func readLog(name string) ([]explain.Event, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer file.Close() //nolint:errcheck // the file is only read
	return explain.Read(file)
}
