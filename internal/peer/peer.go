// Package peer carries protobuf messages between daemons over yamux.
package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// Limits of the protocol between daemons.
const (
	callTimeout     = time.Second
	dialTimeout     = 500 * time.Millisecond
	maxMessageBytes = 4 << 20
)

// Handler answers the requests of other daemons. It runs on traffic goroutines.
type Handler func(ctx context.Context, req *peerpb.Request) *peerpb.Response

// Refuse returns a response that says why a request was not carried out.
func Refuse(format string, args ...any) *peerpb.Response {
	return &peerpb.Response{Kind: &peerpb.Response_Refusal{
		Refusal: &peerpb.Refusal{Reason: fmt.Sprintf(format, args...)},
	}}
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = 5 * time.Second
	c.ConnectionWriteTimeout = 2 * time.Second
	return c
}

// Server answers other daemons on a listener.
type Server struct {
	listener net.Listener
	handler  Handler
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// NewServer returns a server; Serve starts it.
func NewServer(listener net.Listener, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{listener: listener, handler: handler, ctx: ctx, cancel: cancel}
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveConn(conn) })
	}
}

// Close stops the server and waits for its goroutines.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.wg.Wait()
	return err
}

func (s *Server) serveConn(conn net.Conn) {
	session, err := yamux.Server(conn, config())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(s.ctx, func() { _ = session.Close() })
	defer stop()
	defer session.Close() //nolint:errcheck // the session is of no use any more
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveStream(stream) })
	}
}

func (s *Server) serveStream(stream net.Conn) {
	defer stream.Close() //nolint:errcheck // the answer was sent or is of no use
	_ = stream.SetDeadline(time.Now().Add(callTimeout))
	req := &peerpb.Request{}
	if err := readMessage(stream, req); err != nil {
		return
	}
	_, _ = protodelim.MarshalTo(stream, s.handler(s.ctx, req))
}

func readMessage(r io.Reader, m *peerpb.Request) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(bufio.NewReader(r), m)
}

// Pool keeps one session to each peer. It is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	sessions map[string]*yamux.Session
}

// NewPool returns a pool without sessions.
func NewPool() *Pool { return &Pool{sessions: map[string]*yamux.Session{}} }

// CallError reports a call to a peer that got no answer.
type CallError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("call to peer %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// errRefused carries a peer's refusal.
type errRefused struct{ reason string }

func (e errRefused) Error() string { return "peer refused: " + e.reason }

// Call sends a request to the peer at an IP address and port. The error is a
// *CallError; the session is dropped on failure, so that the next call uses a
// new connection.
func (p *Pool) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	session, err := p.session(ctx, address)
	if err != nil {
		return nil, &CallError{address, err}
	}
	resp, err := exchange(ctx, session, req)
	if err != nil {
		p.drop(address, session)
		return nil, &CallError{address, err}
	}
	if refusal := resp.GetRefusal(); refusal != nil {
		return nil, &CallError{address, errRefused{refusal.GetReason()}}
	}
	return resp, nil
}

func exchange(ctx context.Context, session *yamux.Session, req *peerpb.Request) (*peerpb.Response, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	defer stream.Close() //nolint:errcheck // the answer was read or is of no use
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := stream.SetDeadline(deadline); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := protodelim.MarshalTo(stream, req); err != nil {
		return nil, err
	}
	resp := &peerpb.Response{}
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return resp, opts.UnmarshalFrom(bufio.NewReader(stream), resp)
}

func (p *Pool) session(ctx context.Context, address string) (*yamux.Session, error) {
	p.mu.Lock()
	session := p.sessions[address]
	p.mu.Unlock()
	if session != nil && !session.IsClosed() {
		return session, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	session, err = yamux.Client(conn, config())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return p.keep(address, session), nil
}

// keep stores a new session, or closes it when another call was faster.
func (p *Pool) keep(address string, session *yamux.Session) *yamux.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.sessions[address]; other != nil && !other.IsClosed() {
		_ = session.Close()
		return other
	}
	p.sessions[address] = session
	return session
}

func (p *Pool) drop(address string, session *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[address] == session {
		delete(p.sessions, address)
	}
	_ = session.Close()
}

// Retain closes the sessions to all peers but the given addresses.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, session := range p.sessions {
		if !addresses[address] {
			delete(p.sessions, address)
			_ = session.Close()
		}
	}
}

// Close closes all sessions.
func (p *Pool) Close() { p.Retain(nil) }
