package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	clientTimeout = 10 * time.Second
	maxReplyBytes = 64 << 20
)

// RefusedError reports an operation that the daemon refused.
type RefusedError struct {
	Status  int
	Reasons []string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused (status %d):\n  %s", e.Status, strings.Join(e.Reasons, "\n  "))
}

// call sends a JSON request and decodes the JSON answer into reply.
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
		return nil, fmt.Errorf("no daemon answers (is the address right?): %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, refusal(resp.StatusCode, data)
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
		return &RefusedError{status, []string{string(data)}}
	}
	if body.Message != "" {
		body.Errors = append(body.Errors, body.Message)
	}
	return &RefusedError{status, body.Errors}
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
