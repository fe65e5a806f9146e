package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// countingListener counts the bytes read and written on all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkReportExchange measures a load report and its reply between two
// daemons with two services in two regions. It reports the bytes on the wire,
// including yamux framing.
func BenchmarkReportExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	bytes := &atomic.Int64{}
	server := peer.NewServer(countingListener{l, bytes}, respond, &log.Logger{Handler: discard.Default})
	go server.Serve()
	defer server.Close()
	pool := peer.NewPool()
	defer pool.Close()
	report := &peerpb.LoadReport{Session: "d1-FMAXFWV2DFDKN5HCRPYJVV3NGY", Sequence: 1000, Revision: 100, Daemons: 8}
	for _, service := range []string{"stock-check", "reorder"} {
		for _, region := range []string{"hobart", "launceston"} {
			report.Services = append(report.Services, &peerpb.ServiceLoad{Service: service, Region: region, InFlight: 30})
		}
	}
	for b.Loop() {
		if _, err := pool.Call(context.Background(), l.Addr().String(), load(report)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}
