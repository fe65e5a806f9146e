package entry

import (
	"io"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/internal/target"
	"github.com/bambooyard/bambooyard/verdict"
)

const (
	// maxBufferedAnswer bounds the answers that are read whole before the first
	// byte goes to the caller.
	maxBufferedAnswer = 64 << 10
	// writeGrace is how long past its deadline a slow caller may take its answer.
	writeGrace = 5 * time.Second
)

// answer is a target's answer: its begin, and the rest if it is a large one.
type answer struct {
	status int
	header http.Header
	begin  []byte
	// complete is set when begin is the whole body.
	complete bool
	rest     io.ReadCloser
	// end frees the target.
	end func()
}

// close gives up what has not been read of the answer.
func (a *answer) close() {
	_ = a.rest.Close()
	a.end()
}

// receive reads the begin of a target's answer. An answer whose end could not
// be told from its being cut off counts as cut off.
func receive(method string, resp *http.Response, limit int64, end func()) (*answer, error) {
	a := &answer{status: resp.StatusCode, header: answerHeader(resp.Header), rest: resp.Body, end: end}
	if !endIsKnown(method, resp) {
		a.close()
		return nil, truncated(nil)
	}
	var err error
	a.begin, a.complete, err = target.ReadAll(resp.Body, limit)
	if err != nil {
		a.close()
		return nil, truncated(err)
	}
	return a, nil
}

func endIsKnown(method string, resp *http.Response) bool {
	bodiless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	return bodiless || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

func truncated(err error) error {
	return &verdict.RequestError{
		Code: verdict.CodeTruncated, Message: "the target's answer broke off", Status: http.StatusBadGateway, Err: err,
	}
}

// answerHeader leaves out what belongs to one connection and what only a
// daemon may say.
func answerHeader(h http.Header) http.Header {
	out := forwarded(h)
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			delete(out, name)
		}
	}
	return out
}

func sortedNames(h http.Header) []string {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// abortedError reports an answer that broke off after its begin was passed on.
// The caller's connection is closed, so that it cannot take it for complete.
type abortedError struct{ err error }

// Error implements error.
func (e *abortedError) Error() string { return "the answer broke off on its way: " + e.err.Error() }

// Unwrap returns the cause.
func (e *abortedError) Unwrap() error { return e.err }

// passOn writes an answer to the caller. The outcome of a request that must
// run at most once is kept before that.
func (s *Server) passOn(c *gin.Context, q call, a *answer, o *once) error {
	header := c.Writer.Header()
	for name, values := range a.header {
		header[name] = values
	}
	header.Set(verdict.Header, verdict.Ran.String())
	if o != nil && !o.keep(a.status, a.header, a.begin, a.complete) {
		header.Set(HeaderOutcomeKept, "false")
	}
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(q.deadline.Add(writeGrace))
	c.Writer.WriteHeader(a.status)
	if _, err := c.Writer.Write(a.begin); err != nil {
		return &abortedError{err}
	}
	if a.complete {
		return nil
	}
	// The copy holds one buffer: a slow caller slows the target down.
	if _, err := io.Copy(c.Writer, a.rest); err != nil {
		return &abortedError{err}
	}
	return nil
}
