package daemon

import (
	"strings"

	"github.com/apex/log"
)

// StdLogWriter is an io.Writer for the standard library's logger, which
// net/http uses. It logs each message as an event of its own.
type StdLogWriter struct{ Log log.Interface }

// Write implements io.Writer.
func (w StdLogWriter) Write(p []byte) (int, error) {
	w.Log.WithField("event", "library").Warn(strings.TrimSpace(string(p)))
	return len(p), nil
}
