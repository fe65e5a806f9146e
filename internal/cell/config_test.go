package cell

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// follow asks a daemon for its news, as a follower that has version 1 would.
func (w *world) follow(name string, wantConfig bool) *peerpb.FollowReply {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return w.daemons[name].cell.Handle(ctx, &peerpb.Request{Kind: &peerpb.Request_Follow{Follow: &peerpb.FollowRequest{
		Config: &peerpb.ConfigState{Version: 1}, WaitMs: 50, WantConfig: wantConfig,
	}}}).GetFollow()
}

// A configuration of thousands of queues is some hundred kilobytes: sent by the
// owner to every follower at once it would fill the owner's link for seconds,
// and workers' leases would run out meanwhile.
func TestLargeConfigurationsAreReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 200, 3, 2, halfSecond, nil)
		defer w.stopAll()
		owner := w.awaitOwner()
		time.Sleep(time.Second)
		large := &port.Config{Version: 2, Body: make([]byte, 300<<10)}
		for n := range 2000 {
			large.Routes = append(large.Routes, port.Route{Queue: job.Queue{Name: fmt.Sprintf("q%d", n), Pool: "pool"}})
		}
		cell := w.daemons[owner].cell
		is.NoErr(cell.Loop.Do(context.Background(), func() { cell.adopt(large, time.Now()) }))
		time.Sleep(time.Second)
		reply := w.follow(owner, false)
		is.Equal(reply.GetConfig().GetVersion(), int64(2))
		is.Equal(len(reply.GetConfig().GetBody()), 0)
		is.Equal(len(reply.GetDepths()), 0) // nothing waits in any queue
		is.Equal(len(w.follow(owner, true).GetConfig().GetBody()), len(large.Body))
	})
}

// A follower that does not reach the store gets a new configuration from the
// owner.
func TestConfigurationReachesADaemonThatIsCutOffFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 201, 3, 2, halfSecond, nil)
		defer w.stopAll()
		owner := w.awaitOwner()
		var cut string
		for _, name := range w.names() {
			if name != owner {
				cut = name
			}
		}
		time.Sleep(time.Second)
		w.daemons[cut].cutStore.Store(true)
		w.configChanges.Add(1)
		time.Sleep(3 * time.Second)
		is.Equal(w.daemons[cut].cell.View().Config.Version, int64(2))
		is.True(time.Since(w.daemons[cut].cell.View().ConfigConfirmedAt) < 3*time.Second)
	})
}
