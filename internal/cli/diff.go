package cli

import (
	"fmt"
	"io"

	"github.com/bambooyard/bambooyard/document"
)

type diffCommand struct {
	tool *tool
	outputOption
	File string `short:"f" long:"file" required:"true" description:"document in YAML"`
	Base int64  `long:"base" default:"-1" description:"revision to compare with; the one in force if left out"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	_, doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	path := "/v1/config"
	if c.Base >= 0 {
		path = fmt.Sprintf("/v1/config?revision=%d", c.Base)
	}
	head, base, err := c.tool.fetchDocument(path)
	if err != nil {
		return err
	}
	changes := document.Diff(base, doc)
	if c.json() {
		return printJSON(c.tool.out, changes)
	}
	_, _ = fmt.Fprintf(c.tool.out, "%d changes against revision %d\n", len(changes), head.Revision)
	printChanges(c.tool.out, changes)
	return nil
}

func printChanges(out io.Writer, changes []document.Change) {
	for _, change := range changes {
		_, _ = fmt.Fprintf(out, "  %s\n", change)
	}
}
