package port

import (
	"context"

	"github.com/bambooyard/bambooyard/job"
)

// Jobs is what a daemon offers to callers, whatever the interface that they use.
// Errors are *verdict.RequestError. It is safe for concurrent use.
type Jobs interface {
	// Submit stores a job. Submitting one again that is known changes nothing.
	Submit(ctx context.Context, spec job.Spec) error
	State(ctx context.Context, id string) (job.State, error)
	Cancel(ctx context.Context, id string) error
	// Pending returns the number of a queue's accepted jobs of which no task has
	// started.
	Pending(queue string) (int, error)
}
