package peer_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

var update = flag.Bool("update", false, "write the golden file anew")

const golden = "testdata/session.golden"

// transcript records messages as JSON and in the wire format.
type transcript struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (t *transcript) add(direction string, m proto.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	text, _ := protojson.Marshal(m)
	var compact bytes.Buffer
	_ = json.Compact(&compact, text)
	wire, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	fmt.Fprintf(&t.text, "%s %s\n  %d bytes %s\n", direction, compact.String(), len(wire), hex.EncodeToString(wire))
}

func load(r *peerpb.LoadReport) *peerpb.Request {
	return &peerpb.Request{Kind: &peerpb.Request_Load{Load: r}}
}

// requests returns one request of each kind that respond distinguishes: load
// reports without and with a wanted link rate, a job request, and a request of
// unknown kind.
func requests() []*peerpb.Request {
	return []*peerpb.Request{
		load(&peerpb.LoadReport{Session: "d1-A", Sequence: 1, Revision: 4, Daemons: 2}),
		load(&peerpb.LoadReport{
			Session: "d1-A", Sequence: 2, Revision: 5, Daemons: 2, LeavingVms: []string{"w003"}, LeavingTargets: []string{"127.0.0.1:22007"},
			Services: []*peerpb.ServiceLoad{{Service: "stock-check", Region: "hobart", InFlight: 41}},
			Wanted:   []*peerpb.LinkRate{{From: "hobart", To: "launceston", BytesPerSecond: 900_000}},
		}),
		{Kind: &peerpb.Request_Job{Job: &peerpb.JobRequest{Shard: "hobart-1-r1", Job: "state-library:reconcile-1", Cancel: true}}},
		{},
	}
}

func respond(_ context.Context, req *peerpb.Request) *peerpb.Response {
	switch kind := req.GetKind().(type) {
	case *peerpb.Request_Load:
		reply := &peerpb.LoadReply{Session: "d2-B", Revision: 5, Daemons: 2}
		for _, w := range kind.Load.GetWanted() {
			reply.Lent = append(reply.Lent, &peerpb.LinkRate{From: w.GetFrom(), To: w.GetTo(), BytesPerSecond: 675_000})
		}
		return &peerpb.Response{Kind: &peerpb.Response_Load{Load: reply}}
	case *peerpb.Request_Job:
		return &peerpb.Response{Kind: &peerpb.Response_Job{Job: &peerpb.JobReply{
			Tasks: []*peerpb.JobTask{{Id: kind.Job.GetJob() + "/0", State: "cancelling", Vm: "w001", Attempt: 1}},
		}}}
	}
	return peer.Refuse("request kind %T is not known", req.GetKind())
}

func serve(t *testing.T, h peer.Handler) string {
	return serveLogged(t, h, &log.Logger{Handler: memory.New()})
}

func serveLogged(t *testing.T, h peer.Handler, logger log.Interface) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(l, h, logger)
	go s.Serve()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func newPool(t *testing.T) *peer.Pool {
	p := peer.NewPool()
	t.Cleanup(p.Close)
	return p
}

// Compares the messages of a session, as JSON and as encoded bytes, with the
// golden file, so that no change of the wire format goes unnoticed.
func TestSessionGolden(t *testing.T) {
	is := is.New(t)
	record := &transcript{}
	address := serve(t, func(ctx context.Context, req *peerpb.Request) *peerpb.Response {
		record.add(">", req)
		resp := respond(ctx, req)
		record.add("<", resp)
		return resp
	})
	pool := newPool(t)
	for i, req := range requests() {
		_, err := pool.Call(context.Background(), address, req)
		is.Equal(err != nil, i == 3) // the unknown request is refused
	}
	got := record.text.String()
	if *update {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(golden, []byte(got), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	if d := cmp.Diff(string(want), got); d != "" {
		t.Fatal(d)
	}
}

// A peer that does not respond must block only the call that waits for it, and
// the next call to it must use a new session.
func TestUnresponsivePeerBlocksOnlyItsOwnCall(t *testing.T) {
	is := is.New(t)
	reached := make(chan struct{}, 1)
	unblock := make(chan struct{})
	var blocked atomic.Bool
	unresponsive := serve(t, func(ctx context.Context, req *peerpb.Request) *peerpb.Response {
		if !blocked.Swap(true) {
			reached <- struct{}{}
			<-unblock
		}
		return respond(ctx, req)
	})
	defer close(unblock)
	responsive := serve(t, respond)
	pool := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { _, err := pool.Call(ctx, unresponsive, requests()[0]); done <- err }()
	<-reached
	_, err := pool.Call(context.Background(), responsive, requests()[0])
	is.NoErr(err)
	cancel()
	var call *peer.CallError
	is.True(errors.As(<-done, &call))
	is.Equal(call.Address, unresponsive)
	_, err = pool.Call(context.Background(), unresponsive, requests()[1])
	is.NoErr(err)
}
