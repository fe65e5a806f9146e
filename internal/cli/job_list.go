package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/bambooyard/bambooyard/internal/batch"
)

type jobListCommand struct {
	tool *tool
	jobOutputOption
	Member string `long:"member" description:"list this member's jobs only"`
	After  string `long:"after" description:"continue after this position, as a former list named it"`
	Limit  int    `long:"limit" default:"100" description:"greatest number of jobs"`
}

// Execute implements flags.Commander.
func (c *jobListCommand) Execute([]string) error {
	query := url.Values{"member": {c.Member}, "after": {c.After}, "limit": {strconv.Itoa(c.Limit)}}
	var list batch.JobList
	if err := callJSON(http.MethodGet, c.tool.jobsURL()+"?"+query.Encode(), nil, nil, &list); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.tool.out, list)
	}
	w := tabwriter.NewWriter(c.tool.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "MEMBER\tKEY\tKIND\tTASKS\tURGENT\tDEADLINE\tSHARD")
	for _, j := range list.Jobs {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%s\t%s\n", j.Member, j.Key, j.Kind, j.Tasks, j.Urgent, formatDeadline(j), j.Shard)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if list.Next != "" {
		_, _ = fmt.Fprintf(c.tool.out, "more jobs follow: --after %s\n", list.Next)
	}
	return nil
}

// formatDeadline returns a job's deadline in UTC, or "none".
func formatDeadline(j batch.Job) string {
	if j.DeadlineUnixMS == 0 {
		return "none"
	}
	return time.UnixMilli(j.DeadlineUnixMS).UTC().Format(time.RFC3339)
}
