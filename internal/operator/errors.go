package operator

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/internal/configsync"
	"github.com/bambooyard/bambooyard/verdict"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Errors []string `json:"errors"`
}

// InvalidError reports an invalid document. Nothing was changed.
type InvalidError struct{ Err error }

// Error implements error.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the validation error.
func (e *InvalidError) Unwrap() error { return e.Err }

// TooLargeError reports a document that takes more memory to decode than the daemon has for it. Nothing
// was changed.
type TooLargeError struct{ NeedBytes, MaxBytes int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the document takes about %d MB to decode, and the daemon has %d MB for it", e.NeedBytes>>20, e.MaxBytes>>20)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Kind, Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// respondError answers with an error and its status code.
func (s *Server) respondError(c *gin.Context, err error) {
	var refused *verdict.RequestError
	if errors.As(err, &refused) && refused.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(refused.RetryAfterSeconds()))
	}
	abortWithError(c, statusCode(err), err)
}

// abortWithError answers with a status and the messages of an error.
func abortWithError(c *gin.Context, status int, err error) {
	c.AbortWithStatusJSON(status, ErrorBody{Errors: errorMessages(err)})
}

// errorMessages returns the message of each joined error, and for a conflict one
// message for the conflict and one for each change.
func errorMessages(err error) []string {
	var conflict *configsync.RevisionConflictError
	if errors.As(err, &conflict) {
		summary := *conflict
		summary.Changes = nil
		out := []string{summary.Error()}
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
		out = append(out, errorMessages(e)...)
	}
	return out
}
