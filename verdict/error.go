package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Code classifies a refused or failed request. Codes are part of the public API and
// never change their meaning.
type Code string

// Codes of refusals and failures.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnknownService   Code = "unknown_service"
	CodeUnknownMember    Code = "unknown_member"
	CodeBadDeadline      Code = "bad_deadline"
	CodeTooLarge         Code = "too_large"
	CodeKeyRequired      Code = "idempotency_key_required"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeKeyInProgress    Code = "idempotency_key_in_progress"
	CodeOverloaded       Code = "overloaded"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeNoTarget         Code = "no_target"
	CodeTargetFailed     Code = "target_failed"
	CodeTruncated        Code = "truncated_answer"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeNotReady         Code = "not_ready"
	CodeConflict         Code = "conflict"
	CodeNotFound         Code = "not_found"
	CodeUnauthorized     Code = "unauthorized"
	CodeAnswerNotKept    Code = "answer_not_kept"
	CodeInternal         Code = "internal"
)

// RequestError is the error of one request. It carries everything that the
// caller's error body shows.
type RequestError struct {
	// Code classifies the error.
	Code Code
	// Message describes the error for the caller, with the field and its value.
	Message string
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is how long the caller must wait before a retry; zero omits the
	// header.
	RetryAfter time.Duration
	// Err is the cause, or nil. It is logged and never sent to callers.
	Err error
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Verdict)
	}
	return fmt.Sprintf("%s: %s (%s): %v", e.Code, e.Message, e.Verdict, e.Err)
}

// RetryAfterSeconds returns RetryAfter in the whole seconds of the HTTP header,
// rounded up.
func (e *RequestError) RetryAfterSeconds() int {
	return int((e.RetryAfter + time.Second - 1) / time.Second)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// Refuse returns an error for a request of which no byte reached a target.
func Refuse(code Code, status int, retryAfter time.Duration, format string, args ...any) *RequestError {
	return &RequestError{
		Code:       code,
		Message:    fmt.Sprintf(format, args...),
		Verdict:    NotRun,
		Status:     status,
		RetryAfter: retryAfter,
	}
}

// AsRequestError returns the RequestError in err's chain, or else wraps err in an
// internal error with the HTTP status, which does not show its cause to callers.
func AsRequestError(err error, status int) *RequestError {
	var e *RequestError
	if errors.As(err, &e) {
		return e
	}
	return &RequestError{Code: CodeInternal, Message: "internal error", Status: status, Err: err}
}

// Of returns the verdict of the RequestError in err's chain, or MayHaveRun if there
// is none.
func Of(err error) Verdict {
	var e *RequestError
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
