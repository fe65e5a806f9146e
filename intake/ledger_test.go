package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// at returns a time in milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const testListener = "callers"

func newTestLedger(d ListenerLimits) *Ledger { return NewLedger(Limits{testListener: d, "other": d}) }

// open opens a connection for which no other has to make way.
func open(t interface{ Fatalf(string, ...any) }, l *Ledger, ms int) *Conn {
	c, evicted := l.Open(testListener, at(ms))
	if c == nil || evicted != nil {
		t.Fatalf("not opened, or %v evicted", evicted)
	}
	return c
}

func TestIdleConnectionsMakeWayFirst(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(ListenerLimits{Connections: 4})
	served := open(t, l, 0)
	is.True(l.Enter(served, Processing, at(1)))
	is.True(l.Enter(served, Waiting, at(2)))
	silent, processing, receiving := open(t, l, 10), open(t, l, 11), open(t, l, 12)
	is.True(l.Enter(processing, Processing, at(13)))
	l.Receive(receiving, 100, at(14))
	for i, want := range []*Conn{silent, served} {
		c, evicted := l.Open(testListener, at(1000+i))
		is.Equal(evicted, want)
		is.True(want.Interrupted())
		is.True(l.Enter(c, Processing, at(1000+i)))
	}
	c, evicted := l.Open(testListener, at(2000))
	is.Equal(evicted, receiving) // the last that is not being processed
	is.True(l.Enter(c, Processing, at(2001)))
	c, evicted = l.Open(testListener, at(3000))
	is.True(c == nil)
	is.True(evicted == nil)
}

// A connection that has just begun to receive is not slow yet.
func TestNewRequestsDoNotMakeWay(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(ListenerLimits{Connections: 1})
	c := open(t, l, 0)
	l.Receive(c, 1, at(1))
	refused, _ := l.Open(testListener, at(50))
	is.True(refused == nil)
	_, evicted := l.Open(testListener, at(200))
	is.Equal(evicted, c)
}

// A crowd of bodies that stop short holds all the room. A body that arrives takes it, and one that
// needs no more than its allowance does not ask for it.
func TestStalledBodiesMakeWayForOneThatArrives(t *testing.T) {
	is := is.New(t)
	const body = 100 << 10
	l := newTestLedger(ListenerLimits{Connections: 100, SharedBytes: 10 * body})
	var crowd []*Conn
	for range 11 {
		c := open(t, l, 0)
		l.Receive(c, body, at(1))
		if _, ok := l.Hold(c, body, at(1)); ok {
			crowd = append(crowd, c)
		}
	}
	is.Equal(len(crowd), 10) // with the allowance of each, there is no room for the eleventh
	small := open(t, l, 500)
	l.Receive(small, allowance, at(500))
	interrupted, ok := l.Hold(small, allowance, at(500))
	is.True(ok)
	is.Equal(len(interrupted), 0)
	large := open(t, l, 1000)
	l.Receive(large, 4096, at(1000))
	interrupted, ok = l.Hold(large, 2*body, at(1001))
	is.True(ok)
	is.True(len(interrupted) > 0)
	_, ok = l.Hold(interrupted[0], 2*body, at(1002))
	is.True(!ok) // it has made way
	is.True(!l.Enter(interrupted[0], Processing, at(1002)))
}

// The slowest connection makes way, be it the one that asks for room.
func TestSlowestMakesWay(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(ListenerLimits{Connections: 3, SharedBytes: 100 << 10})
	fast, slow := open(t, l, 0), open(t, l, 0)
	l.Receive(fast, 60<<10, at(0))
	l.Receive(slow, 10<<10, at(0))
	_, ok := l.Hold(fast, 60<<10, at(900))
	is.True(ok)
	interrupted, ok := l.Hold(slow, 60<<10, at(1000))
	is.True(!ok)
	is.Equal(len(interrupted), 0)
	_, ok = l.Hold(slow, 40<<10, at(1000))
	is.True(ok)
	interrupted, ok = l.Hold(fast, 90<<10, at(1000))
	is.True(ok)
	is.Equal(interrupted, []*Conn{slow})
}

func TestRequestsInProgressAreBounded(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(ListenerLimits{Connections: 3, Requests: 1})
	a, b := open(t, l, 0), open(t, l, 0)
	is.True(l.Enter(a, Processing, at(1)))
	is.True(!l.Enter(b, Processing, at(2)))
	l.Close(a)
	is.True(l.Enter(b, Processing, at(3)))
}

// The listeners of a process do not share their limits.
func TestListenersDoNotMakeWayForEachOther(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(ListenerLimits{Connections: 1, SharedBytes: 1 << 10})
	c := open(t, l, 0)
	l.Receive(c, 1, at(0))
	_, ok := l.Hold(c, allowance+1<<10, at(0))
	is.True(ok)
	other, evicted := l.Open("other", at(1000))
	is.True(other != nil && evicted == nil)
	l.Receive(other, 1, at(1000))
	interrupted, ok := l.Hold(other, allowance+1<<10, at(1000))
	is.True(ok)
	is.Equal(len(interrupted), 0)
}

func TestLimitsFollowTheMachine(t *testing.T) {
	is := is.New(t)
	shares := map[string]Share{testListener: {Sockets: 0.5, Requests: 0.1, ConnectionMemory: 0.1, RequestMemory: 0.1}}
	is.Equal(LimitsFor(320<<20, 10200, shares)[testListener], ListenerLimits{Connections: 1024, Requests: 1000, SharedBytes: 32 << 20})
	is.Equal(LimitsFor(320<<20, 1200, shares)[testListener].Connections, 500)
	is.Equal(LimitsFor(1<<20, 100, shares)[testListener].Connections, minConnections)
}

func TestProcessingBytes(t *testing.T) {
	is := is.New(t)
	d := ListenerLimits{SharedBytes: 1000}
	is.Equal(d.ProcessingBytes(100, 4), int64(400))
	is.Equal(d.ProcessingBytes(200, 4), int64(500))
	is.Equal(d.ProcessingBytes(900, 4), int64(900))
}

// Whatever clients do, no limit is exceeded and no request in progress makes way.
func TestLedgerKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := ListenerLimits{
			Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Requests: rapid.IntRange(0, 3).Draw(t, "requests"),
			SharedBytes: int64(rapid.IntRange(0, 40<<10).Draw(t, "shared")),
		}
		l := newTestLedger(limits)
		var conns []*Conn
		now := 0
		made := func(way *Conn) {
			if way != nil && way.phase == Processing {
				t.Fatalf("a request in progress made way")
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 200).Draw(t, "ms")
			operation := rapid.IntRange(0, 5).Draw(t, "operation")
			if operation == 0 || len(conns) == 0 {
				c, evicted := l.Open(testListener, at(now))
				made(evicted)
				if c != nil {
					conns = append(conns, c)
				}
			} else {
				c := rapid.SampledFrom(conns).Draw(t, "conn")
				step(t, l, c, operation, now, made)
			}
			checkLedger(t, l, limits)
		}
	})
}

func step(t *rapid.T, l *Ledger, c *Conn, operation, now int, made func(*Conn)) {
	switch operation {
	case 1:
		l.Close(c)
	case 2:
		l.Enter(c, Phase(rapid.IntRange(0, 3).Draw(t, "phase")), at(now))
	case 3:
		l.Receive(c, int64(rapid.IntRange(0, 10000).Draw(t, "received")), at(now))
	default:
		before := c.held
		interrupted, ok := l.Hold(c, int64(rapid.IntRange(0, 60<<10).Draw(t, "held")), at(now))
		for _, way := range interrupted {
			made(way)
		}
		if !ok && !c.interrupted && c.held != before {
			t.Fatalf("a refused connection holds %d, not %d bytes", c.held, before)
		}
	}
}

func checkLedger(t *rapid.T, l *Ledger, limits ListenerLimits) {
	d := l.listeners[testListener]
	shared, processing := int64(0), 0
	for c := range d.conns {
		shared += beyondAllowance(c.held)
		if c.phase == Processing {
			processing++
		}
	}
	switch {
	case len(d.conns) > limits.Connections:
		t.Fatalf("%d connections, more than %d", len(d.conns), limits.Connections)
	case shared != d.shared || shared > limits.SharedBytes:
		t.Fatalf("%d bytes are held, %d are counted, the limit is %d", shared, d.shared, limits.SharedBytes)
	case processing != d.processing || limits.Requests > 0 && processing > limits.Requests:
		t.Fatalf("%d requests in progress, %d are counted, the limit is %d", processing, d.processing, limits.Requests)
	}
}
