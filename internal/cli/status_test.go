package cli_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/cli"
	"github.com/bambooyard/bambooyard/internal/jobapi"
	"github.com/bambooyard/bambooyard/internal/port"
)

// unused is an address at which nothing listens.
const unused = "127.0.0.1:1"

// Guards against operators who do not see what still runs in a data centre that they have
// evacuated, because daemons on the users' platform have no operator address.
func TestStatusShowsEvacuations(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(jobapi.New(jobapi.Options{
		Cells: func(context.Context) ([]port.CellState, error) {
			return []port.CellState{
				{Owner: "d1", Known: true, Evacuations: []port.Evacuation{{DataCentre: "a", Workers: 24, Services: 12, Tasks: 3}, {DataCentre: "b", Workers: 2}}},
				{Number: 1, Owner: "d2", Known: true},
				{Number: 2, Owner: "d3"},
			}, nil
		},
		Log: &log.Logger{Handler: discard.New()},
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	jobs := strings.TrimPrefix(server.URL, "http://")
	is.Equal(cli.Run([]string{"--operator", unused, "--jobs", jobs, "status"}, nil, &out, &errOut), cli.ExitOK)
	is.Equal(out.String(), `CELL  OWNER  EVACUATED  WORKERS  SERVICE TASKS  OTHER TASKS
0     d1     a          24       12             3
0     d1     b          2        0              0
1     d2     none
2     d3     not known
`)
	is.Equal(errOut.String(), "")
	out.Reset()
	is.Equal(cli.Run([]string{"--operator", unused, "--jobs", jobs, "status", "--output", "json"}, nil, &out, &errOut), cli.ExitOK)
	is.True(strings.Contains(out.String(), `"dataCentre": "a"`))
	is.Equal(cli.Run([]string{"--operator", unused, "--jobs", unused, "status"}, nil, &out, &errOut), cli.ExitFailed)
}
