package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/cli"
	"github.com/bambooyard/bambooyard/internal/configsync"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/operator"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/membership"
)

const token = "s3cret-of-the-operators"

// operatorFixture is an operator interface over a stand-in platform. Two
// simulated daemons adopt every revision at once. The "!" lines of a session
// file inject events.
type operatorFixture struct {
	t         *testing.T
	platform  *fake.Platform
	now       time.Time
	server    *httptest.Server
	revision  map[string]document.Revision
	expires   map[string]time.Time
	silent    map[string]bool // daemons that no longer write their session rows
	committed map[string]inventory.Resources

	proposals int
}

func newOperatorFixture(t *testing.T) *operatorFixture {
	f := &operatorFixture{
		t: t, platform: fake.NewPlatform(), now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		revision: map[string]document.Revision{}, expires: map[string]time.Time{}, silent: map[string]bool{}, committed: map[string]inventory.Resources{},
	}
	for _, name := range []string{"d1", "d2"} {
		f.expires[name] = f.now.Add(time.Hour)
	}
	f.writeSessions()
	publisher := traffic.NewPublisher()
	server := operator.NewServer(operator.Options{
		Table: f.platform, Objects: f.platform.Objects(), Publisher: publisher,
		Metrics: metrics.NewRegistry(), Token: token, Now: func() time.Time { return f.now },
		NewID:      func() string { f.proposals++; return fmt.Sprint("proposal-", f.proposals) },
		OnAccepted: func() { f.onAccepted(publisher) },
		Status: func(context.Context) (operator.Status, error) {
			return operator.Status{Daemon: "d1", State: "ready", Ready: true, Head: publisher.Load().Head}, nil
		},
		Targets: func(context.Context) ([]operator.Target, error) {
			return []operator.Target{{Service: "stock-check", VM: "w1", Address: "127.0.0.1:22001", State: "live", Slots: 8, InFlight: 3}}, nil
		},
		Committed: func(context.Context) (map[string]inventory.Resources, error) { return f.committed, nil },
	})
	f.server = httptest.NewServer(server.Handler())
	t.Cleanup(f.server.Close)
	return f
}

// onAccepted publishes the document in force and has the daemons with a valid
// session adopt it.
func (f *operatorFixture) onAccepted(publisher *traffic.Publisher) {
	ctx := context.Background()
	head, _, err := configsync.ReadHead(ctx, f.platform)
	if err != nil {
		return // an injected outage
	}
	_, doc, err := configsync.Store{Table: f.platform, Objects: f.platform.Objects()}.Revision(ctx, head.Revision)
	is.New(f.t).NoErr(err)
	publisher.Publish(&traffic.Snapshot{Ready: true, Head: head, Document: doc, ValidUntil: f.now.Add(time.Hour)})
	for name := range f.expires {
		if f.expires[name].After(f.now) {
			f.revision[name] = head.Revision
		}
	}
	f.writeSessions()
}

// writeSessions writes the daemons' session rows. The row of an expired session
// is written once, and not again.
func (f *operatorFixture) writeSessions() {
	for name, expires := range f.expires {
		if f.silent[name] {
			continue
		}
		f.silent[name] = expires.Before(f.now)
		s := membership.Session{ID: name, Daemon: name, Revision: f.revision[name], ExpiresUnixMS: expires.UnixMilli(), LiveSessions: 2}
		value, err := json.Marshal(s)
		is.New(f.t).NoErr(err)
		_, err = f.platform.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: platform.SessionKey(name), Value: value}}})
		is.New(f.t).NoErr(err)
	}
}

// inject executes a "!" line.
func (f *operatorFixture) inject(line string) {
	switch line {
	case "! lose d2":
		f.expires["d2"] = f.now.Add(-time.Minute)
		f.writeSessions()
	case "! lose the reply":
		f.platform.SetFaults(fake.Faults{LoseReplies: 1})
	case "! outage begins":
		f.platform.SetFaults(fake.Faults{Outage: true})
	case "! outage ends":
		f.platform.SetFaults(fake.Faults{})
	case "! tasks hold w1":
		f.committed["w1"] = inventory.Resources{MilliProcessors: 50000}
	case "! token unset":
		f.t.Setenv("BAMBOOYARD_OPERATOR_TOKEN", "wrong")
	default:
		f.t.Fatalf("event %q does not exist", line)
	}
}

// run runs one command line and returns it with its output and exit code.
func (f *operatorFixture) run(line string) string {
	var out, errOut bytes.Buffer
	args := strings.Fields(line)[2:]
	code := cli.Run(args, strings.NewReader(""), &out, &errOut)
	text := out.String() + errOut.String()
	address := strings.TrimPrefix(f.server.URL, "http://")
	text = strings.ReplaceAll(text, address, "OPERATOR")
	return fmt.Sprintf("%s\n%s(exit code %d)\n", line, text, code)
}

// The output and exit codes of the command lines in each session file must
// match the file, and must not contain the operator token. UPDATE_GOLDEN=1
// rewrites the files.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runSessionFile(t, file) })
	}
}

func runSessionFile(t *testing.T, file string) {
	is := is.New(t)
	want, err := os.ReadFile(file)
	is.NoErr(err)
	f := newOperatorFixture(t)
	t.Setenv("BAMBOOYARD_OPERATOR", strings.TrimPrefix(f.server.URL, "http://"))
	t.Setenv("BAMBOOYARD_OPERATOR_TOKEN", token)
	t.Setenv("USER", "ana")
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "! "):
			f.inject(line)
			got.WriteString(line + "\n")
		case strings.HasPrefix(line, "$ bambooyard "):
			got.WriteString(f.run(line))
		}
	}
	if os.Getenv("UPDATE_GOLDEN") != "" {
		is.NoErr(os.WriteFile(file, []byte(got.String()), 0o644))
		return
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Error(diff)
	}
	if strings.Contains(got.String(), token) {
		t.Error("the operator token was printed")
	}
}
