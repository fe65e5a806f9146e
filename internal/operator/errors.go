package operator

import (
	"errors"
	"fmt"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/internal/configsync"
)

// ErrorBody is the JSON body of a refused operation.
type ErrorBody struct {
	Errors []string `json:"errors"`
}

// InvalidError reports a document that breaks a rule; nothing was changed.
type InvalidError struct{ Err error }

// Error implements error.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Err }

// NotFoundError reports a thing that does not exist.
type NotFoundError struct{ Kind, Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// fail answers with the error and the status that fits it.
func (s *Server) fail(c *gin.Context, err error) { fail(c, statusOf(err), err) }

// fail answers with the error, each mistake as a line of its own.
func fail(c *gin.Context, status int, err error) {
	c.AbortWithStatusJSON(status, ErrorBody{Errors: lines(err)})
}

// lines splits joined errors and conflicts into one line for each mistake.
func lines(err error) []string {
	var conflict *configsync.RevisionConflictError
	if errors.As(err, &conflict) {
		head := *conflict
		head.Changes = nil
		out := []string{head.Error()}
		for _, f := range conflict.Changes {
			out = append(out, f.String())
		}
		return out
	}
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		err = invalid.Err
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []string{err.Error()}
	}
	var out []string
	for _, e := range joined.Unwrap() {
		out = append(out, lines(e)...)
	}
	return out
}
