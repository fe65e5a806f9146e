package peer_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// listOf returns a response with one worker whose rack is given.
func listOf(rack string) *peerpb.Response {
	return &peerpb.Response{Kind: &peerpb.Response_Follow{Follow: &peerpb.FollowReply{
		Workers: []*peerpb.CellWorkers{{Workers: []*peerpb.WorkerEntry{{Id: "w", Rack: rack}}}},
	}}}
}

// Guards against callers that wait in vain: a response that cannot be encoded, or is longer
// than callers accept, was dropped, the caller lost its session, and no line told why.
func TestResponseThatCannotBeSentIsReported(t *testing.T) {
	is := is.New(t)
	handler := memory.New()
	rack := "r"
	address := serveLogged(t, func(context.Context, *peerpb.Request) *peerpb.Response { return listOf(rack) }, &log.Logger{Handler: handler})
	pool := newPool(t)
	for range 3 {
		for _, rack = range []string{"\xff", strings.Repeat("r", 4<<20)} {
			began := time.Now()
			_, err := pool.Call(t.Context(), address, requests()[0])
			var call *peer.CallError
			is.True(errors.As(err, &call))
			is.True(errors.Is(err, peer.ErrResponseNotSent))
			var refused *peer.RefusedError
			is.True(!errors.As(err, &refused)) // it is not known that the peer has done nothing
			is.True(time.Since(began) < 500*time.Millisecond)
		}
	}
	rack = "r"
	resp, err := pool.Call(t.Context(), address, requests()[0])
	is.NoErr(err)
	is.Equal(resp.GetFollow().GetWorkers()[0].GetWorkers()[0].GetRack(), "r")
	is.Equal(len(handler.Entries), 1) // the others follow within the interval of reports
	is.Equal(handler.Entries[0].Level, log.ErrorLevel)
	is.Equal(handler.Entries[0].Fields["event"], "response_not_sent")
	is.True(strings.Contains(handler.Entries[0].Fields["error"].(string), "invalid UTF-8"))
}

// Guards against a request that cannot be encoded and closes the session, with the calls of
// others that are in flight on it.
func TestRequestThatCannotBeEncodedKeepsTheSession(t *testing.T) {
	is := is.New(t)
	reached, unblock := make(chan struct{}), make(chan struct{})
	address := serve(t, func(ctx context.Context, req *peerpb.Request) *peerpb.Response {
		reached <- struct{}{}
		<-unblock
		return respond(ctx, req)
	})
	pool := newPool(t)
	done := make(chan error)
	go func() { _, err := pool.Call(context.Background(), address, requests()[0]); done <- err }()
	<-reached
	for _, session := range []string{"\xff", strings.Repeat("s", 4<<20)} {
		_, err := pool.Call(t.Context(), address, load(&peerpb.LoadReport{Session: session}))
		var call *peer.CallError
		is.True(errors.As(err, &call))
	}
	close(unblock)
	is.NoErr(<-done)
}
