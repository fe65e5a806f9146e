package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/operator"
)

const (
	clientTimeout = 10 * time.Second
	maxReplyBytes = 64 << 20
	tokenEnvVar   = "BAMBOOYARD_OPERATOR_TOKEN"
)

// callOperator calls the operators' interface with the operator token, which it
// adds to header. header may be nil.
func (t *tool) callOperator(method, path string, header http.Header, body []byte, reply any) error {
	token, err := t.readToken()
	if err != nil {
		return err
	}
	if header == nil {
		header = http.Header{}
	}
	if token != "" {
		header.Set("Authorization", "Bearer "+token)
	}
	return callJSON(method, "http://"+t.Operator+path, header, body, reply)
}

// readToken returns the operator token from its file, or from the environment
// if no file is set.
func (t *tool) readToken() (string, error) {
	if t.TokenFile == "" {
		return os.Getenv(tokenEnvVar), nil
	}
	data, err := os.ReadFile(t.TokenFile)
	return strings.TrimSpace(string(data)), err
}

// currentDocument returns the head and the document in force.
func (t *tool) currentDocument() (document.Head, document.Document, error) {
	return t.fetchDocument("/v1/config")
}

// fetchDocument returns the head and the document at a path, or zero values if
// there is none.
func (t *tool) fetchDocument(path string) (document.Head, document.Document, error) {
	var c operator.Config
	if err := t.callOperator(http.MethodGet, path, nil, nil, &c); err != nil || c.Head.Revision == 0 {
		return document.Head{}, document.Document{}, err
	}
	doc, err := document.Decode([]byte(c.Body))
	return c.Head, doc, err
}

// putDocument proposes a document that is based on a revision, and returns the
// head of the new one.
func (t *tool) putDocument(body []byte, author string, basedOn document.Revision) (document.Head, error) {
	var head document.Head
	header := http.Header{operator.HeaderAuthor: {author}}
	err := t.callOperator(http.MethodPut, fmt.Sprintf("/v1/config?based_on=%d", basedOn), header, body, &head)
	return head, err
}

// readDocument reads and validates a document file. The error is an
// InvalidError if the document is invalid.
func readDocument(file string) ([]byte, document.Document, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, document.Document{}, err
	}
	doc, err := document.Decode(body)
	if err != nil {
		return nil, document.Document{}, &InvalidError{File: file, Err: err}
	}
	return body, doc, nil
}

// callJSON sends a JSON request and decodes the JSON response into reply. If
// reply is a *[]byte, it receives the raw body. The error is an
// UnreachableError if no response arrives, and a RefusedError for a status of
// 400 or above.
func callJSON(method, url string, header http.Header, body []byte, reply any) error {
	_, err := callJSONWithHeader(method, url, header, body, reply)
	return err
}

// callJSONWithHeader is callJSON that also returns the response header.
func callJSONWithHeader(method, url string, header http.Header, body []byte, reply any) (http.Header, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header
	}
	client := &http.Client{Timeout: clientTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, &UnreachableError{err}
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, decodeRefusal(resp.StatusCode, data)
	}
	if raw, ok := reply.(*[]byte); ok {
		*raw = data
		return resp.Header, nil
	}
	return resp.Header, json.Unmarshal(data, reply)
}

// decodeRefusal decodes the error body of the operators' or callers' interface.
func decodeRefusal(status int, data []byte) error {
	var body struct {
		Errors  []string `json:"errors"`
		Message string   `json:"message"`
	}
	if json.Unmarshal(data, &body) != nil {
		return &RefusedError{Status: status, Reasons: []string{string(data)}}
	}
	if body.Message != "" {
		body.Errors = append(body.Errors, body.Message)
	}
	return &RefusedError{Status: status, Reasons: body.Errors, CallerAPI: body.Message != ""}
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printTable prints a tab-separated header and rows in aligned columns.
func printTable(out io.Writer, header string, rows [][]any) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}
