// Package peer implements request-response calls between daemons: length-delimited
// protobuf messages, one yamux stream for each call.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/hashicorp/yamux"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// Limits of the protocol between daemons.
const (
	// callTimeout bounds a call on an open session, on both sides.
	callTimeout = time.Second
	dialTimeout = 500 * time.Millisecond
	// streamCloseTimeout bounds how long a stream stays half closed. Until then it keeps what it
	// receives.
	streamCloseTimeout = 5 * time.Second
)

// Handler handles a request of another daemon. It is called on a goroutine for
// each stream, so it must be safe for concurrent use. ctx ends when the server is
// closed.
type Handler func(ctx context.Context, req *peerpb.Request) *peerpb.Response

// Refuse returns a response that refuses a request with a reason.
func Refuse(format string, args ...any) *peerpb.Response {
	return &peerpb.Response{Kind: &peerpb.Response_Refusal{
		Refusal: &peerpb.Refusal{Reason: fmt.Sprintf(format, args...)},
	}}
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = 5 * time.Second
	c.ConnectionWriteTimeout = 2 * time.Second
	c.StreamCloseTimeout = streamCloseTimeout
	return c
}

// Server serves the requests of other daemons on a listener.
type Server struct {
	listener net.Listener
	handler  Handler
	ctx      context.Context
	cancel   context.CancelFunc
	log      log.Interface
	wg       sync.WaitGroup

	mu sync.Mutex
	// unsent counts the responses that could not be encoded.
	unsent           int
	unsentReportedAt time.Time
}

// NewServer returns a server; Serve starts it.
func NewServer(listener net.Listener, handler Handler, logger log.Interface) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{listener: listener, handler: handler, ctx: ctx, cancel: cancel, log: logger}
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

// Close stops the server, closes its sessions and waits for running handlers.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.wg.Wait()
	return err
}

func (s *Server) serveConn(conn net.Conn) {
	account := accountOf(conn)
	frames := newFrameCounter(conn, account)
	session, err := yamux.Server(frames, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(s.ctx, func() { _ = session.Close() })
	defer stop()
	defer session.Close() //nolint:errcheck // the session has failed or is already closed
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Go(func() {
			defer frames.release(stream.StreamID())
			s.serveStream(session, stream, account)
		})
	}
}

// serveStream serves one request. It closes the session of a peer that sends anything but one message
// in time: a closed stream would keep what is still received for it.
func (s *Server) serveStream(session *yamux.Session, stream net.Conn, account Account) {
	defer stream.Close() //nolint:errcheck // the response was written or has failed
	if !account.Hold(streamBytes) {
		_ = session.Close()
		return
	}
	defer account.Hold(-streamBytes)
	_ = stream.SetDeadline(time.Now().Add(callTimeout))
	req := &peerpb.Request{}
	held, err := readRequest(stream, req, account)
	defer account.Hold(-held)
	if err != nil {
		_ = session.Close()
		return
	}
	account.Used()
	if _, err := stream.Write(s.encodeResponse(s.handler(s.ctx, req))); err != nil {
		return
	}
	if n, _ := stream.Read(make([]byte, 1)); n > 0 {
		_ = session.Close()
	}
}

// Pool holds one yamux session for each peer address. It is safe for concurrent
// use.
type Pool struct {
	mu       sync.Mutex
	sessions map[string]*yamux.Session
}

// NewPool returns a pool without sessions.
func NewPool() *Pool { return &Pool{sessions: map[string]*yamux.Session{}} }

// CallError reports a failed or refused call to a peer.
type CallError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("call to peer %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// RefusedError reports that the peer refused the request.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "peer refused: " + e.Reason }

// Call sends a request to the peer at address (IP and port) and waits for the
// response until ctx ends, at most callTimeout once a session is open. The error
// is a *CallError. A call that gets no response closes the session, so that the
// next call opens a new connection.
func (p *Pool) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	data, err := encode(req)
	if err != nil {
		return nil, &CallError{address, err} // the session stays open for other calls
	}
	session, err := p.session(ctx, address)
	if err != nil {
		return nil, &CallError{address, err}
	}
	resp, err := exchange(ctx, session, data)
	if err != nil {
		p.drop(address, session)
		return nil, &CallError{address, err}
	}
	if refusal := resp.GetRefusal(); refusal != nil {
		return nil, &CallError{address, refusalError(refusal)}
	}
	return resp, nil
}

func exchange(ctx context.Context, session *yamux.Session, request []byte) (*peerpb.Response, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	defer stream.Close() //nolint:errcheck // the response was read or has failed
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := stream.SetDeadline(deadline); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := stream.Write(request); err != nil {
		return nil, err
	}
	resp := &peerpb.Response{}
	return resp, decode(stream, resp)
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
	session, err = yamux.Client(conn, yamuxConfig())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return p.addSession(address, session), nil
}

// addSession adds a new session to the pool. If a concurrent call has added one
// already, it closes the new session and returns that one.
func (p *Pool) addSession(address string, session *yamux.Session) *yamux.Session {
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

// Retain closes the sessions to all peers except those at the given addresses.
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
