package cli

import (
	"net/http"
	"time"

	"github.com/bambooyard/bambooyard/document"
)

type historyCommand struct {
	tool *tool
	outputOption
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	var heads []document.Head
	if err := c.tool.callOperator(http.MethodGet, "/v1/config/history", nil, nil, &heads); err != nil {
		return err
	}
	if c.json() {
		return printJSON(c.tool.out, heads)
	}
	var rows [][]any
	for _, h := range heads {
		at := time.UnixMilli(h.AcceptedUnixMS).UTC().Format(time.RFC3339)
		rows = append(rows, []any{h.Revision, at, h.Author, h.Digest})
	}
	return printTable(c.tool.out, "REVISION\tACCEPTED\tAUTHOR\tDIGEST", rows)
}
