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

// follow sends a daemon the poll of a follower with version 1 of the
// configuration.
func (cl *cluster) follow(name string, wantConfig bool) *peerpb.FollowReply {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return cl.daemons[name].cell.Handle(ctx, &peerpb.Request{Kind: &peerpb.Request_Follow{Follow: &peerpb.FollowRequest{
		Config: &peerpb.ConfigState{Version: 1}, WaitMs: 50, WantConfig: wantConfig,
	}}}).GetFollow()
}

// A configuration of thousands of queues takes several hundred kilobytes. If the
// owner sent it to every follower at once, it would saturate the owner's link for
// seconds, and the leases of workers would expire in the meantime.
func TestLargeConfigurationsAreReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 200, 3, 2, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(time.Second)
		large := &port.Config{Version: 2, Body: make([]byte, 300<<10)}
		for n := range 2000 {
			large.Routes = append(large.Routes, port.Route{Queue: job.Queue{Name: fmt.Sprintf("q%d", n), Pool: "pool"}})
		}
		cell := cl.daemons[owner].cell
		is.NoErr(cell.Loop.Do(context.Background(), func() { cell.adopt(large, time.Now()) }))
		time.Sleep(time.Second)
		reply := cl.follow(owner, false)
		is.Equal(reply.GetConfig().GetVersion(), int64(2))
		is.Equal(len(reply.GetConfig().GetBody()), 0)
		is.Equal(len(reply.GetDepths()), 0) // no job waits in any queue
		is.Equal(len(cl.follow(owner, true).GetConfig().GetBody()), len(large.Body))
	})
}

// A follower that cannot reach the store receives a new configuration from the
// owner.
func TestConfigurationReachesADaemonThatIsCutOffFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 201, 3, 2, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		var cut string
		for _, name := range cl.names() {
			if name != owner {
				cut = name
			}
		}
		time.Sleep(time.Second)
		cl.daemons[cut].storeUnreachable.Store(true)
		cl.configChanges.Add(1)
		time.Sleep(3 * time.Second)
		is.Equal(cl.daemons[cut].cell.View().Config.Version, int64(2))
		is.True(time.Since(cl.daemons[cut].cell.View().ConfigConfirmedAt) < 3*time.Second)
	})
}
