package port

import (
	"context"

	"github.com/bambooyard/bambooyard/job"
)

// Jobs is the job API of a daemon, independent of the protocol that serves it.
// Errors are *verdict.RequestError. It is safe for concurrent use.
type Jobs interface {
	// Submit stores a job. It is idempotent: submitting a known job again has no
	// effect.
	Submit(ctx context.Context, spec job.Spec) error
	State(ctx context.Context, id string) (job.State, error)
	Cancel(ctx context.Context, id string) error
	// Pending returns the number of accepted jobs in a queue that have not started
	// any task.
	Pending(queue string) (int, error)
}

// Evacuation is what still runs in a data centre under evacuation, in one cell.
type Evacuation struct {
	DataCentre string `json:"dataCentre"`
	Workers    int    `json:"workers"`
	// Services are the running tasks of services, and Tasks the others.
	Services int `json:"services"`
	Tasks    int `json:"tasks"`
}

// CellState is the state of a cell as a daemon knows it.
type CellState struct {
	Number int `json:"cell"`
	// Owner is the name of the owner; empty if it is not known.
	Owner string `json:"owner"`
	// Known is set if the owner has told its state recently.
	Known       bool         `json:"known"`
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}
