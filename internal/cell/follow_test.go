package cell

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/peer"
)

// Guards against SHORT: a poll that failed because another call had closed the session
// counted as a refusal, so that a slow owner was replaced without the takeover backoff.
func TestFailedPollIsNoRefusal(t *testing.T) {
	is := is.New(t)
	dial := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	call := func(err error) error { return &peer.CallError{Address: "10.0.0.1:7000", Err: err} }
	for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, yamux.ErrSessionShutdown, yamux.ErrTimeout, context.DeadlineExceeded, dial(syscall.ETIMEDOUT), dial(syscall.ECONNRESET)} {
		is.True(!isRefusal(call(err)))
	}
	for _, err := range []error{&peer.RefusedError{Reason: "not the owner"}, dial(syscall.ECONNREFUSED)} {
		is.True(isRefusal(call(err)))
	}
}
