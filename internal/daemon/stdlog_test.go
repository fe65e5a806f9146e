package daemon

import (
	"bytes"
	stdlog "log"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/matryer/is"
)

func TestLibraryMessagesAreEvents(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := stdlog.New(StdLogWriter{&log.Logger{Handler: logfmt.New(&out), Level: log.InfoLevel}}, "", 0)
	logger.Print("Unsolicited response")
	is.True(strings.Contains(out.String(), `level=warn message="Unsolicited response" event=library`))
	is.Equal(strings.Count(out.String(), "\n"), 1)
}
