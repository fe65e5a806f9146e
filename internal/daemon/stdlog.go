package daemon

import (
	"strings"

	"github.com/apex/log"
)

// LibraryLog is a writer for the standard library's logger, which net/http
// uses: each message becomes an event of its own.
type LibraryLog struct{ Log log.Interface }

// Write implements io.Writer.
func (w LibraryLog) Write(p []byte) (int, error) {
	w.Log.WithField("event", "library").Warn(strings.TrimSpace(string(p)))
	return len(p), nil
}
