package cli

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/bambooyard/bambooyard/document"
)

// RefusedError reports an operation that the daemon refused.
type RefusedError struct {
	Status  int
	Reasons []string
	// CallerAPI is set if the callers' interface refused, not the operators'.
	CallerAPI bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused (status %d):\n  %s", e.Status, strings.Join(e.Reasons, "\n  "))
}

// InvalidError reports an invalid document or register file.
type InvalidError struct {
	File string
	Err  error
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is not valid:\n  %s", e.File, strings.ReplaceAll(strings.TrimSpace(e.Err.Error()), "\n", "\n  "))
}

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Err }

// UnreachableError reports that a daemon did not respond.
type UnreachableError struct{ Err error }

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("no daemon answers: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// NotInForceError reports a revision that was accepted but not in force before
// the timeout.
type NotInForceError struct {
	Revision      document.Revision
	Pending, Lost []string
}

// Error implements error.
func (e *NotInForceError) Error() string {
	var parts []string
	if len(e.Pending) > 0 {
		parts = append(parts, "not yet adopted by "+strings.Join(e.Pending, ", "))
	}
	if len(e.Lost) > 0 {
		parts = append(parts, "lost daemons may still serve: "+strings.Join(e.Lost, ", "))
	}
	if len(parts) == 0 {
		parts = append(parts, "no daemon has a session")
	}
	return fmt.Sprintf("revision %d is accepted but not in force: %s", e.Revision, strings.Join(parts, "; "))
}

// exitCodeAndHint returns the exit code of an error, and a hint for the
// operator that may be empty.
func exitCodeAndHint(err error) (code int, hint string) {
	var flagsErr *flags.Error
	var refused *RefusedError
	var invalid *InvalidError
	var unreachable *UnreachableError
	var notInForce *NotInForceError
	switch {
	case errors.As(err, &flagsErr):
		return ExitUsage, "see bambooyard --help"
	case errors.As(err, &invalid):
		return ExitInvalid, "correct the file; nothing was changed"
	case errors.As(err, &notInForce):
		return ExitNotInForce, "see bambooyard status; bambooyard forget a lost daemon once it is known to be stopped"
	case errors.As(err, &unreachable):
		return ExitFailed, "check --operator and --caller, or ask another daemon"
	case errors.As(err, &refused) && refused.CallerAPI:
		return ExitRefused, ""
	case errors.As(err, &refused):
		return refusalCodeAndHint(refused.Status)
	default:
		return ExitFailed, ""
	}
}

// refusalCodeAndHint is exitCodeAndHint for a refusal by the operators'
// interface.
func refusalCodeAndHint(status int) (code int, hint string) {
	switch status {
	case http.StatusConflict:
		return ExitConflict, "look at the change with bambooyard diff, then apply again"
	case http.StatusUnauthorized:
		return ExitRefused, "set BAMBOOYARD_OPERATOR_TOKEN or --operator-token-file"
	case http.StatusUnprocessableEntity:
		return ExitInvalid, "correct the document; nothing was changed"
	case http.StatusServiceUnavailable:
		return ExitRefused, "see bambooyard history for what was accepted, then try again"
	default:
		return ExitRefused, ""
	}
}
