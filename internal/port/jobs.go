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
