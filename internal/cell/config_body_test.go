package cell

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

func TestBodyBudgetLeavesRoomOnTheLink(t *testing.T) {
	is := is.New(t)
	var b bodyBudget
	now := time.Unix(100, 0)
	const mbps, body = 10, 100_000 // a quarter of the link is 312,500 bytes per second
	for n := range 4 {
		is.Equal(b.allows(body, mbps, now), n < 3)
	}
	is.True(!b.allows(body, mbps, now.Add(900*time.Millisecond)))
	is.True(b.allows(10*body, mbps, now.Add(time.Second))) // the first one, whatever its size
	is.True(!b.allows(1, mbps, now.Add(time.Second)))
}

// A daemon of an earlier version does not read compressed bodies, and one whose configuration is
// not older gets none.
func TestConfigurationIsCompressedForThoseThatReadIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 206, 2, 2, halfSecond, nil)
		defer cl.stopAll()
		d := cl.daemons[cl.awaitOwner()]
		time.Sleep(time.Second)
		cl.configBytes.Store(300 << 10)
		version := 1 + cl.configChanges.Add(1)
		time.Sleep(2 * time.Second)

		is.Equal(len(cl.follow(d.name, false).GetConfig().GetGzipBody()), 0)
		raw := cl.follow(d.name, true).GetConfig()
		is.Equal(len(raw.GetGzipBody()), 0)
		ask := func(known int64) *peerpb.Response {
			return d.cell.Handle(context.Background(), &peerpb.Request{Kind: &peerpb.Request_Config{Config: &peerpb.ConfigRequest{KnownVersion: known}}})
		}
		state := ask(version - 1).GetConfig()
		is.True(len(state.GetGzipBody()) > 0 && len(state.GetGzipBody()) < len(raw.GetBody())/4)
		config := d.cell.decodeConfig(state)
		is.True(bytes.Equal(config.Body, raw.GetBody()))
		is.True(ask(version).GetRefusal() != nil)

		is.True(d.cell.decodeConfig(&peerpb.ConfigState{GzipBody: []byte("no gzip")}) == nil)
	})
}

func TestSmallConfigurationsAreNotCompressed(t *testing.T) {
	is := is.New(t)
	small := &port.Config{Body: make([]byte, largeConfigBytes-1)}
	is.NoErr(compressConfig(small))
	is.True(small.GzipBody == nil)
}

func TestConfigHolderIsPreferablyInTheRegion(t *testing.T) {
	is := is.New(t)
	g := &Group{options: GroupOptions{RegionOf: func(dataCentre string) string { return dataCentre }}, daemons: map[string]followingDaemon{}}
	now := time.Unix(100, 0)
	add := func(name, region string, version int64, seenAt time.Time) {
		g.daemons[name] = followingDaemon{cellmap.Daemon{Name: name, Address: name, Region: region}, seenAt, version}
	}
	ask := func() string {
		return g.configHolder(&peerpb.FollowRequest{Sender: "asks", DataCentre: "west"}, 7, now)
	}
	add("asks", "west", 7, now)
	add("behind", "west", 6, now)
	add("silent", "west", 7, now.Add(-linkTimeout-1))
	is.Equal(ask(), "")
	add("far", "east", 7, now)
	is.Equal(ask(), "far")
	add("near", "west", 7, now)
	is.Equal(ask(), "near")
}
