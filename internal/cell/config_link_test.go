package cell

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooyard/bambooyard/cellmap"
)

// regionLink is the link to another region, which transfers messages in their order.
type regionLink struct {
	bytesPerSecond int

	mu     sync.Mutex
	freeAt time.Time
	sent   int
}

// transfer waits until a message has been transferred. What was sent to a receiver that does not
// wait any more occupies the link all the same.
func (l *regionLink) transfer(ctx context.Context, size int) error {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.sent += size
	l.freeAt = l.freeAt.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	return sleep(ctx, wait+60*time.Millisecond)
}

func (l *regionLink) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// transfer waits until a message between the store and the daemon has been transferred.
func (d *daemon) transfer(ctx context.Context, size int) error {
	if link := d.link.Load(); link != nil {
		return link.transfer(ctx, size)
	}
	return nil
}

// transferBetween waits until a message between two daemons has been transferred.
func transferBetween(ctx context.Context, a, b *daemon, size int) error {
	if a.link.Load() == b.link.Load() {
		return nil
	}
	if a.link.Load() == nil {
		a = b
	}
	return a.transfer(ctx, size)
}

// padConfig returns the encoded configuration of a version in its full size. Its routes resemble
// each other, as those of an operator do.
func padConfig(version []byte, size int) []byte {
	var b bytes.Buffer
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, `{"name":"idle-%06d","host":"q%x.example","pathPrefix":"/v1/jobs/%d/","timeoutMs":3000,"service":"pool"}`, n, uint32(n)*2654435761, n)
	}
	return append(append(b.Bytes(), '\n'), version...)
}

// Guards against a region that stays unready because its daemons repeat transfers of a large
// configuration, which saturate the link between regions (issue 38, inc1).
func TestLargeConfigurationReachesARegionOverANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newDividedCluster(t, 205, 16, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitCells()
		time.Sleep(3 * time.Second)
		region := cl.ownerOf(cellmap.Lead).group.options.Region
		var far []string
		for _, name := range cl.names() {
			if cl.daemons[name].group.options.Region != region {
				far = append(far, name)
			}
		}
		// 20 daemons share 60 Mbit/s in the case reported; here there are eight.
		link := &regionLink{bytesPerSecond: 3 << 20}
		for _, name := range far {
			cl.daemons[name].link.Store(link)
		}
		for _, size := range []int64{430 << 10, 860 << 10} {
			cl.configBytes.Store(size)
			version, sent := 1+cl.configChanges.Add(1), link.total()
			time.Sleep(3 * time.Second) // the bound of the platform for a change to be in force
			for _, name := range cl.names() {
				if v := cl.daemons[name].cell.View(); v.Config.Version != version {
					t.Errorf("%s has version %d of the configuration after 3 s, want %d", name, v.Config.Version, version)
				}
			}
			t.Logf("version %d: %d bytes to the region in 3 s", version, link.total()-sent)
			time.Sleep(10 * time.Second)
			for _, name := range cl.names() {
				if age := time.Since(cl.daemons[name].cell.View().ConfigConfirmedAt); age > 2*time.Second {
					t.Errorf("%s has confirmed the configuration %s ago", name, age)
				}
			}
			t.Logf("version %d: %d bytes to the region in 13 s", version, link.total()-sent)
		}
		for _, name := range far {
			cl.kill(name)
			cl.start(name)
			cl.daemons[name].link.Store(link)
		}
		time.Sleep(4 * time.Second)
		for _, name := range far {
			if v := cl.daemons[name].cell.View(); v.Config == nil || time.Since(v.ConfigConfirmedAt) > 2*time.Second {
				t.Errorf("%s is not ready 4 s after its restart", name)
			}
		}
	})
}
