package cli

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/bambooyard/bambooyard/internal/operator"
)

type forgetCommand struct {
	tool *tool
	outputOption
	Args struct {
		Daemon string `positional-arg-name:"DAEMON" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *forgetCommand) Execute([]string) error {
	var f operator.ForgetResult
	path := "/v1/daemons/" + url.PathEscape(c.Args.Daemon) + "/forget"
	if err := c.tool.callOperator(http.MethodPost, path, nil, nil, &f); err != nil {
		return err
	}
	if c.json() {
		return printJSON(c.tool.out, f)
	}
	_, _ = fmt.Fprintf(c.tool.out, "lost sessions of daemon %s ended: %d\n", f.Daemon, f.Sessions)
	return nil
}
