package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
)

var update = flag.Bool("update", false, "write the answers into the golden files")

// TestSessions replays the HTTP transcripts in testdata and compares every
// response. Lines that begin with ">" are requests, those with "<" are expected
// responses, and those with "@" are directives:
//
//	@ daemon N                        sends the next requests to daemon N
//	@ outage on|off                   makes every platform operation fail
//	@ lose-replies N                  drops the replies of the next N transactions
//	@ ready on|off                    sets whether the daemons are ready
//	@ released SERVICE KEY            waits until the key's claim is deleted
//	@ runs KEY                        prints how many requests with the key have run
//	@ requests                        prints how many requests reached the target
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	if err != nil || len(files) == 0 {
		t.Fatal("no transcripts in testdata", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".session"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &session{t: t, c: newCluster(t, serveFaults)}
			got := s.replay(string(want))
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); diff != "" {
				t.Errorf("%s (-want +got):\n%s", file, diff)
			}
		})
	}
}

// serveFaults injects faults at the target by path: a platform outage while the
// request runs, responses that are not self-delimited or break off, and header
// fields that a target may not set.
func serveFaults(c *cluster, w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/outage":
		c.platform.SetFaults(fake.Faults{Outage: true})
		return false
	case "/endless":
		return writeRaw(w, "HTTP/1.1 200 OK\r\n\r\nhalf of it")
	case "/chunks":
		const chunk = 100_000
		return writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)))
	case "/forge":
		return writeRaw(w, "HTTP/1.1 201 Created\r\nBambooyard-Verdict: not-run\r\nBambooyard-Replayed: true\r\nConnection: X-Private\r\n"+
			"X-Private: 1\r\nLocation: /orders/1\r\nContent-Length: 0\r\n\r\n")
	default:
		return false
	}
}

func writeRaw(w http.ResponseWriter, text string) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
	return true
}

type session struct {
	t      *testing.T
	c      *cluster
	daemon int
	out    strings.Builder
}

func (s *session) replay(text string) string {
	var request []string
	sendPending := func() {
		if request != nil {
			s.send(request)
			request = nil
		}
	}
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "<") {
			continue // replaced by the actual response
		}
		if !strings.HasPrefix(line, ">") {
			sendPending()
		}
		switch {
		case strings.HasPrefix(line, "@ runs "):
			key := strings.Fields(line)[2]
			line = fmt.Sprintf("@ runs %s = %d", key, s.c.runner.Runs(key))
		case strings.HasPrefix(line, "@ requests"):
			line = fmt.Sprintf("@ requests = %d", s.c.runner.Requests())
		}
		fmt.Fprintln(&s.out, line)
		switch {
		case strings.HasPrefix(line, ">"):
			request = append(request, strings.TrimPrefix(strings.TrimPrefix(line, ">"), " "))
		case strings.HasPrefix(line, "@"):
			s.runDirective(strings.Fields(line)[1:])
		}
	}
	sendPending()
	return s.out.String()
}

func (s *session) runDirective(words []string) {
	number := func() int {
		n, err := strconv.Atoi(words[1])
		if err != nil {
			s.t.Fatal(words, err)
		}
		return n
	}
	switch words[0] {
	case "daemon":
		s.daemon = number() - 1
	case "outage":
		s.c.platform.SetFaults(fake.Faults{Outage: words[1] == "on"})
	case "lose-replies":
		s.c.platform.SetFaults(fake.Faults{LoseReplies: number()})
	case "ready":
		for i := range s.c.daemons {
			p := s.c.daemons[i].publisher
			next := *p.Load()
			next.Ready, next.Reason = words[1] == "on", "the daemon is draining"
			p.Publish(&next)
		}
	case "released":
		key := platform.ClaimKey("conservators", words[1], words[2])
		for {
			rows, err := s.c.platform.Get(context.Background(), key)
			if err == nil && rows[0].Version == 0 {
				return
			}
			runtime.Gosched()
		}
	case "runs", "requests":
	default:
		s.t.Fatalf("unknown directive %q", words)
	}
}

var (
	placeholder = regexp.MustCompile(`\[(\d+) bytes\]`)
	requestID   = regexp.MustCompile(`[A-Z2-7]{26}`)
	address     = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// send writes the request byte for byte and prints the response. Each
// "[N bytes]" in the request is replaced by N bytes.
func (s *session) send(lines []string) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.c.daemons[s.daemon].http.URL, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	defer conn.Close()
	head, body, _ := strings.Cut(strings.Join(lines, "\r\n"), "\r\n\r\n")
	expand := func(text string) string {
		return placeholder.ReplaceAllStringFunc(text, func(m string) string {
			n, _ := strconv.Atoi(placeholder.FindStringSubmatch(m)[1])
			return strings.Repeat("x", n)
		})
	}
	head, body = expand(head), expand(body)
	if !strings.Contains(head, "Transfer-Encoding") && !strings.Contains(head, "Content-Length") {
		head += fmt.Sprintf("\r\nContent-Length: %d", len(body))
	}
	go func() {
		_, _ = io.WriteString(conn, head+"\r\nHost: entry\r\nConnection: close\r\n\r\n"+body)
	}()
	method, _, _ := strings.Cut(lines[0], " ")
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		s.t.Fatal(lines[0], err)
	}
	s.print(resp)
}

func (s *session) print(resp *http.Response) {
	data, err := io.ReadAll(resp.Body)
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s\n", resp.Proto, resp.Status)
	names := make([]string, 0, len(resp.Header))
	for name := range resp.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, v := range resp.Header[name] {
			if name == "Date" {
				v = "DATE"
			}
			fmt.Fprintf(&out, "%s: %s\n", name, v)
		}
	}
	fmt.Fprintln(&out)
	switch {
	case err != nil:
		fmt.Fprintf(&out, "[cut off: %v]\n", err)
	case len(data) > 4096:
		fmt.Fprintf(&out, "[%d bytes]\n", len(data))
	case len(data) > 0:
		fmt.Fprintf(&out, "%s\n", strings.TrimSuffix(string(data), "\n"))
	}
	text := address.ReplaceAllString(requestID.ReplaceAllString(out.String(), "ID"), "ADDRESS")
	for line := range strings.Lines(text) {
		s.out.WriteString(strings.TrimRight("< "+strings.TrimSuffix(line, "\n"), " ") + "\n")
	}
}
