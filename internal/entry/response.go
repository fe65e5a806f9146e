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
	// maxBufferedBody is the number of body bytes that are read before the first
	// byte is written to the caller; a longer body is streamed from there on. For a
	// request with an idempotency key, maxStoredBody applies instead.
	maxBufferedBody = 64 << 10
	// writeGrace is how long past its deadline a slow caller may read its response.
	writeGrace = 5 * time.Second
)

// response is a target's response. Its owner must call close.
type response struct {
	status int
	header http.Header
	// prefix is the buffered start of the body.
	prefix []byte
	// complete is set when prefix is the whole body.
	complete bool
	rest     io.ReadCloser
	// release releases the resources of the send; called once, by close.
	release func()
}

// close discards the unread rest of the body and releases the send.
func (r *response) close() {
	_ = r.rest.Close()
	r.release()
}

// readResponse reads up to limit bytes of a target's response. A response that
// is not self-delimited counts as truncated, because its end looks the same as
// a lost connection.
func readResponse(method string, upstream *http.Response, limit int64, release func()) (*response, error) {
	resp := &response{status: upstream.StatusCode, header: responseHeader(upstream.Header), rest: upstream.Body, release: release}
	if !selfDelimited(method, upstream) {
		resp.close()
		return nil, truncatedError(nil)
	}
	var err error
	resp.prefix, resp.complete, err = target.ReadAll(upstream.Body, limit)
	if err != nil {
		resp.close()
		return nil, truncatedError(err)
	}
	return resp, nil
}

// selfDelimited reports whether the end of the body is known without the
// connection being closed.
func selfDelimited(method string, upstream *http.Response) bool {
	bodiless := method == http.MethodHead || upstream.StatusCode == http.StatusNoContent || upstream.StatusCode == http.StatusNotModified
	return bodiless || upstream.ContentLength >= 0 || slices.Contains(upstream.TransferEncoding, "chunked")
}

func truncatedError(err error) error {
	return &verdict.RequestError{
		Code: verdict.CodeTruncated, Message: "the target's answer broke off", Status: http.StatusBadGateway, Err: err,
	}
}

// responseHeader returns a copy of a target's header without hop-by-hop fields
// and without the Bambooyard- fields that only a daemon may set.
func responseHeader(h http.Header) http.Header {
	out := forwardedHeader(h)
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			delete(out, name)
		}
	}
	return out
}

func sortedHeaderNames(h http.Header) []string {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// abortedError reports a response that failed after its status was written. The
// caller's connection is then closed, so that the caller cannot take the
// response for complete.
type abortedError struct{ err error }

// Error implements error.
func (e *abortedError) Error() string { return "response interrupted: " + e.err.Error() }

// Unwrap returns the cause.
func (e *abortedError) Unwrap() error { return e.err }

// writeResponse writes a response to the caller. The outcome of a keyed request
// is stored first. The error is an *abortedError.
func (s *Server) writeResponse(c *gin.Context, req request, resp *response, keyed *keyedRequest) error {
	header := c.Writer.Header()
	for name, values := range resp.header {
		header[name] = values
	}
	header.Set(verdict.Header, verdict.Ran.String())
	if keyed != nil && !keyed.storeOutcome(resp.status, resp.header, resp.prefix, resp.complete) {
		header.Set(HeaderOutcomeKept, "false")
	}
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(req.deadline.Add(writeGrace))
	c.Writer.WriteHeader(resp.status)
	if _, err := c.Writer.Write(resp.prefix); err != nil {
		return &abortedError{err}
	}
	if resp.complete {
		return nil
	}
	// The copy holds one buffer, so a slow caller exerts backpressure on the target.
	if _, err := io.Copy(c.Writer, resp.rest); err != nil {
		return &abortedError{err}
	}
	return nil
}
