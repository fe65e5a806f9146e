package cli

import (
	"fmt"
	"net/http"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/operator"
)

type rollbackCommand struct {
	tool *tool
	changeOption
	To int64 `long:"to" required:"true" description:"revision whose document is put in force again"`
}

// Execute implements flags.Commander.
func (c *rollbackCommand) Execute([]string) error {
	current, _, err := c.tool.currentDocument()
	if err != nil {
		return err
	}
	var head document.Head
	path := fmt.Sprintf("/v1/config/rollback?to=%d&based_on=%d", c.To, current.Revision)
	header := http.Header{operator.HeaderAuthor: {c.Author}}
	if err := c.tool.callOperator(http.MethodPost, path, header, nil, &head); err != nil {
		return err
	}
	return c.tool.reportAccepted(c.changeOption, head)
}
