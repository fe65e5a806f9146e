// Package gate bounds what a process holds for its clients: it counts the connections of all
// listeners and the bytes of the requests that they send, and closes or refuses those that the
// limits have no room for. The decisions are those of package intake.
package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/bambooyard/bambooyard/intake"
)

// Gate applies intake.Limits to the servers of a process. It is safe for concurrent use. A nil Gate
// has no limits.
type Gate struct {
	limits      intake.Limits
	log         log.Interface
	now         func() time.Time
	instruments *instruments
	// decoding has an element for each request that is being decoded.
	decoding chan struct{}
	// largeDecoding has an element for each document that takes much memory while it is decoded.
	largeDecoding chan struct{}

	mu     sync.Mutex
	ledger *intake.Ledger
	// conns holds the connections that the ledger counts.
	conns map[*intake.Conn]*conn
}

// Requests that are decoded at the same time. Decoding uses the processor only, so that more of them
// would take more memory and not less time.
const (
	maxDecoding      = 2
	maxLargeDecoding = 1
)

// New returns a Gate with its metrics in registry.
func New(limits intake.Limits, registry metrics.Registry, logger log.Interface) (*Gate, error) {
	g := &Gate{
		limits: limits, log: logger, now: time.Now, ledger: intake.NewLedger(limits),
		decoding: make(chan struct{}, maxDecoding), largeDecoding: make(chan struct{}, maxLargeDecoding),
		conns: map[*intake.Conn]*conn{},
	}
	var err error
	g.instruments, err = newInstruments(registry, g, limits)
	return g, err
}

// Listen listens at a TCP address. Its connections count as those of the listener
// with a name in the limits.
func (g *Gate) Listen(address, name string) (net.Listener, error) {
	if g == nil {
		return net.Listen("tcp", address)
	}
	config := net.ListenConfig{}
	if bytes := g.limits[name].ReceiveBuffer; bytes > 0 {
		// Accepted sockets inherit the size. Without it, more bytes wait; that is no reason not to listen.
		config.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
			})
		}
	}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, gate: g, name: name}, nil
}

// listener accepts connections as long as its limits allow it, and closes others.
type listener struct {
	net.Listener
	gate *Gate
	name string
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.gate.open(c, l.name); admitted != nil {
			return admitted, nil
		}
		_ = c.Close()
	}
}

// open returns the counted connection, or nil if it must be closed.
func (g *Gate) open(c net.Conn, listener string) *conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	counted, evicted := g.ledger.Open(listener, g.now())
	if evicted != nil {
		g.report(evictedConnection, listener)
		victim := g.conns[evicted]
		delete(g.conns, evicted)
		_ = victim.Conn.Close()
	}
	if counted == nil {
		g.report(rejectedConnection, listener)
		return nil
	}
	admitted := &conn{Conn: c, gate: g, counted: counted, listener: listener}
	g.conns[counted] = admitted
	return admitted
}

// Server returns an HTTP server whose listeners must be those of Listen.
func (g *Gate) Server(h http.Handler) *http.Server {
	if g == nil {
		return &http.Server{Handler: h}
	}
	return &http.Server{
		Handler:     handler{next: h},
		ConnContext: withConn,
		ConnState:   connStateChanged,
	}
}

type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		c.carriesHTTP.Store(true)
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request, or nil if it is not counted.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// connStateChanged is called when a server has sent a response and waits for the next request.
func connStateChanged(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.waitForRequest()
	}
}

// handler counts the requests in progress.
type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	defer c.endRequest()
	if c.beginRequest() {
		h.next.ServeHTTP(w, r)
	} else {
		c.refuse(w)
	}
	if c.unread {
		c.endRequest() // while it lingers, the connection may make way for others
		c.linger(w, r)
	}
}
