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
	tokenVariable = "BAMBOOYARD_OPERATOR_TOKEN"
)

// ask sends a request with the operator token to the operator address.
func (t *tool) ask(method, path string, header http.Header, body []byte, reply any) error {
	token, err := t.token()
	if err != nil {
		return err
	}
	if header == nil {
		header = http.Header{}
	}
	if token != "" {
		header.Set("Authorization", "Bearer "+token)
	}
	return call(method, "http://"+t.Operator+path, header, body, reply)
}

// token reads the operator token from the environment or from its file.
func (t *tool) token() (string, error) {
	if t.TokenFile == "" {
		return os.Getenv(tokenVariable), nil
	}
	data, err := os.ReadFile(t.TokenFile)
	return strings.TrimSpace(string(data)), err
}

// current returns the document in force and its head.
func (t *tool) current() (document.Head, document.Document, error) {
	return t.fetch("/v1/config")
}

// fetch returns the document at a path; without one, its zero value.
func (t *tool) fetch(path string) (document.Head, document.Document, error) {
	var c operator.Config
	if err := t.ask(http.MethodGet, path, nil, nil, &c); err != nil || c.Head.Revision == 0 {
		return document.Head{}, document.Document{}, err
	}
	doc, err := document.Decode([]byte(c.Body))
	return c.Head, doc, err
}

// put proposes a document based on a revision.
func (t *tool) put(body []byte, author string, based document.Revision) (document.Head, error) {
	var head document.Head
	header := http.Header{operator.HeaderAuthor: {author}}
	err := t.ask(http.MethodPut, fmt.Sprintf("/v1/config?based_on=%d", based), header, body, &head)
	return head, err
}

// readDocument reads and checks a document's file.
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

// call sends a JSON request and decodes the JSON answer into reply, or keeps it
// as it is if reply is a *[]byte.
func call(method, url string, header http.Header, body []byte, reply any) error {
	_, err := callWithHeader(method, url, header, body, reply)
	return err
}

// callWithHeader is call that returns the answer's header as well.
func callWithHeader(method, url string, header http.Header, body []byte, reply any) (http.Header, error) {
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
	defer resp.Body.Close() //nolint:errcheck // the body was read
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, refusal(resp.StatusCode, data)
	}
	if raw, ok := reply.(*[]byte); ok {
		*raw = data
		return resp.Header, nil
	}
	return resp.Header, json.Unmarshal(data, reply)
}

// refusal reads the error body of either interface.
func refusal(status int, data []byte) error {
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

// printTable prints rows under a header, in aligned columns.
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
