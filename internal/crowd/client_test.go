package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// sendTimeout bounds how long one client of a crowd sends.
const sendTimeout = 8 * time.Second

// holdTime is how long the clients of a crowd stay connected after all have sent what they send.
const holdTime = time.Second

// client sends what the n-th client of a crowd sends on its connection. It returns early when the
// connection is closed.
type client func(w io.Writer, n int)

// runCrowd connects size clients to address. When all have sent what they send, it calls during
// and closes the connections.
func runCrowd(t *testing.T, address string, size int, send client, during func()) {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	var wg sync.WaitGroup
	for n := range size {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return // a refused connection is allowed
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(conn, n)
		})
	}
	wg.Wait()
	time.Sleep(holdTime)
	during()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// header returns a request header. fields are whole lines without their ends.
func header(method, path, host string, fields ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: " + host}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// shortBy is how many bytes of its body a client withholds.
const shortBy = 32

// announced sends a body with its length but for the last bytes, in equal pieces with pauses.
func announced(head func(n int, fields ...string) string, body []byte, pieces int, pause time.Duration) client {
	return func(w io.Writer, n int) {
		_, _ = io.WriteString(w, head(n, fmt.Sprintf("Content-Length: %d", len(body))))
		rest := body[:len(body)-shortBy]
		size := (len(rest) + pieces - 1) / pieces
		for len(rest) > 0 {
			if _, err := w.Write(rest[:min(size, len(rest))]); err != nil {
				return
			}
			rest = rest[min(size, len(rest)):]
			time.Sleep(pause)
		}
	}
}

// chunked sends a body but for the last bytes in chunks of a size.
func chunked(head func(n int, fields ...string) string, body []byte, size int) client {
	encoded := chunks(body[:len(body)-shortBy], size)
	return func(w io.Writer, n int) {
		_, _ = io.WriteString(w, head(n, "Transfer-Encoding: chunked"))
		_, _ = w.Write(encoded)
	}
}

// chunks encodes a body in chunks of a size, without the end of the body.
func chunks(body []byte, size int) []byte {
	var encoded bytes.Buffer
	for len(body) > 0 {
		chunk := body[:min(size, len(body))]
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(chunk), chunk)
		body = body[len(chunk):]
	}
	return encoded.Bytes()
}

// whole sends complete requests, each on its own connection.
func whole(head func(n int, fields ...string) string, body func(n int) []byte) client {
	return func(w io.Writer, n int) {
		b := body(n)
		_, _ = w.Write(append([]byte(head(n, fmt.Sprintf("Content-Length: %d", len(b)))), b...))
	}
}

// overLimit sends bytes without end, with an announced length far over any limit or with none.
func overLimit(head func(n int, fields ...string) string, announce bool) client {
	piece := bytes.Repeat([]byte(" "), 64<<10)
	const pieces = 256 // 16 MB a client
	return func(w io.Writer, n int) {
		if announce {
			_, _ = io.WriteString(w, head(n, fmt.Sprintf("Content-Length: %d", 1<<40)))
		} else {
			_, _ = io.WriteString(w, head(n, "Transfer-Encoding: chunked"))
		}
		for range pieces {
			data := piece
			if !announce {
				data = chunks(piece, len(piece))
			}
			if _, err := w.Write(data); err != nil {
				return
			}
		}
	}
}

// largeHeader sends one header field of size bytes without its end.
func largeHeader(head func(n int, fields ...string) string, size int) client {
	return func(w io.Writer, n int) {
		_, _ = io.WriteString(w, strings.TrimSuffix(head(n, "X-Fill: "+strings.Repeat("x", size)), "\r\n\r\n"))
	}
}

// manyFields sends header fields with names as short as they can be, size bytes in all, and not
// the end of the header.
func manyFields(head func(n int, fields ...string) string, size int) client {
	fields := shortFields(size)
	return func(w io.Writer, n int) {
		_, _ = io.WriteString(w, strings.TrimSuffix(head(n, "X: x"), "\r\n")+fields)
	}
}

// pipelinedFields sends a complete request and, with it, the beginning of another as manyFields
// does.
func pipelinedFields(request string, size int) client {
	data := request + strings.TrimSuffix(request, "\r\n") + shortFields(size)
	return func(w io.Writer, _ int) { _, _ = io.WriteString(w, data) }
}

// shortFields returns header fields with names as short as they can be, size bytes in all.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "%c%c:\r\n", letters[i/len(letters)%len(letters)], letters[i%len(letters)])
	}
	return fields.String()
}

// silent connects and sends nothing.
func silent(io.Writer, int) {}

// pipelined sends requests without end and never reads a response.
func pipelined(request string) client {
	const requests = 20000
	batch := strings.Repeat(request, 20)
	return func(w io.Writer, _ int) {
		for range requests / 20 {
			if _, err := io.WriteString(w, batch); err != nil {
				return
			}
		}
	}
}

// ordinaryAttempts is how often an ordinary caller sends its request: a refused or lost one is
// sent again.
const (
	ordinaryAttempts = 50
	ordinaryPause    = 200 * time.Millisecond
	ordinaryTimeout  = 10 * time.Second
)

// ordinary sends a request as an ordinary caller does until it is answered with 200.
func ordinary(t *testing.T, method, url, host string, body []byte) {
	t.Helper()
	last := "nothing"
	for range ordinaryAttempts {
		status, text := exchange(method, url, host, body)
		if status == http.StatusOK {
			return
		}
		last = fmt.Sprintf("%d %s", status, text)
		time.Sleep(ordinaryPause)
	}
	t.Errorf("%s %s is not answered with 200; the last response: %s", method, url, last)
}

// exchange sends one request on a connection of its own. Without a response the status is 0.
func exchange(method, url, host string, body []byte) (status int, text string) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Close = true
	return do(req)
}

func do(req *http.Request) (status int, text string) {
	client := http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}
