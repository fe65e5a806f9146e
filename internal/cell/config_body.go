package cell

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

const (
	// largeConfigBytes is the size from which configurations are compressed, and sent by the
	// owner: if each daemon read such a body from the store, the transfers could saturate the link
	// between two regions, so that they time out and are repeated.
	largeConfigBytes = 64 << 10
	// configBodyWait is how long a follower waits for a large body from other daemons before it
	// reads the store. It leaves time for that within the 3 s of the platform.
	configBodyWait = 1200 * time.Millisecond
	// maxHolderLooks bounds the daemons that are looked at for one that has a body.
	maxHolderLooks = 64
	// maxConfigBytes bounds a body that is decompressed.
	maxConfigBytes = 64 << 20
	// configLinkShare is the part of its link, in percent, that an owner uses for bodies.
	configLinkShare = 25
	// defaultLinkMbps is used if the link's capacity is not known.
	defaultLinkMbps = 10
)

// compressConfig adds the compressed body to a configuration that is not shared yet. It takes several
// milliseconds, and must not be called on the control loop.
func compressConfig(config *port.Config) error {
	if len(config.Body) < largeConfigBytes || config.GzipBody != nil {
		return nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err == nil {
		_, err = w.Write(config.Body)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return fmt.Errorf("cannot compress the configuration: %w", err)
	}
	config.GzipBody = b.Bytes()
	return nil
}

// decodeConfig decodes the body that another daemon has sent, and returns nil if there is none or it
// is not valid. It takes several milliseconds, and must not be called on the control loop.
func (c *Cell) decodeConfig(s *peerpb.ConfigState) *port.Config {
	if len(s.GetBody()) == 0 && len(s.GetGzipBody()) == 0 {
		return nil
	}
	config, err := c.decodeBody(s)
	if err != nil {
		c.Log.WithFields(log.Fields{"event": "config_unreadable", "version": s.GetVersion()}).WithError(err).Warn("cannot decode the configuration from another daemon")
		return nil
	}
	config.GzipBody, config.StoredVersion = s.GetGzipBody(), s.GetStoredVersion()
	return config
}

func (c *Cell) decodeBody(s *peerpb.ConfigState) (*port.Config, error) {
	body := s.GetBody()
	if len(s.GetGzipBody()) > 0 {
		r, err := gzip.NewReader(bytes.NewReader(s.GetGzipBody()))
		if err == nil {
			body, err = io.ReadAll(io.LimitReader(r, maxConfigBytes))
		}
		if err != nil {
			return nil, fmt.Errorf("cannot decompress the configuration: %w", err)
		}
	}
	return c.Configs.Decode(body)
}

// bodyExpected reports whether other daemons are expected to send a large newer configuration.
func (c *Cell) bodyExpected(now time.Time) bool {
	l := &c.link
	behind := c.term == nil && l.healthy(now) && l.configBodyLarge && l.ownerConfigVersion > c.configVersion()
	return behind && now.Sub(l.behindSince) < configBodyWait
}

// fetchConfig reads a newer configuration from another daemon.
func (c *Cell) fetchConfig(holder string) {
	if c.configFetchInFlight {
		return
	}
	c.configFetchInFlight = true
	sentAt, suspended := c.Now(), c.suspendedFor
	req := &peerpb.Request{Kind: &peerpb.Request_Config{Config: &peerpb.ConfigRequest{KnownVersion: c.configVersion()}}}
	type fetched struct {
		state *peerpb.ConfigState
		body  *port.Config
	}
	control.Async(c.Loop, func(ctx context.Context) (fetched, error) {
		ctx, cancel := context.WithTimeout(ctx, followTimeout)
		defer cancel()
		resp, err := c.Peers.Call(ctx, holder, req)
		return fetched{resp.GetConfig(), c.decodeConfig(resp.GetConfig())}, err
	}, func(f fetched, err error) {
		c.configFetchInFlight = false
		if err == nil {
			confirmedAt := sentAt.Add(-c.suspendedSince(suspended)).Add(-milliseconds(f.state.GetAgeMs()))
			c.receiveConfig(f.state, f.body, confirmedAt)
			c.publish()
		}
	})
}

// handleConfig sends another daemon the configuration.
func (c *Cell) handleConfig(ctx context.Context, req *peerpb.ConfigRequest) *peerpb.Response {
	var s *peerpb.ConfigState
	err := c.Loop.Do(ctx, func() {
		if c.configVersion() > req.GetKnownVersion() && c.bodyBudget.allows(len(c.config.GzipBody), c.linkMbps(), c.Now()) {
			s = c.configState()
			c.addBody(s, true)
		}
	})
	if err != nil || s == nil {
		return peer.Refuse("there is no newer configuration, or no room to send it")
	}
	return &peerpb.Response{Kind: &peerpb.Response_Config{Config: s}}
}

// configHolder returns the address of a daemon that has a version of the configuration, preferably in
// the region of the daemon that asks, or "".
func (g *Group) configHolder(req *peerpb.FollowRequest, version int64, now time.Time) string {
	region, looked, holder := g.options.RegionOf(req.GetDataCentre()), 0, ""
	for name, d := range g.daemons { // in random order
		if looked++; looked > maxHolderLooks {
			break
		}
		if d.configVersion != version || name == req.GetSender() || d.Stopping || now.Sub(d.seenAt) > linkTimeout {
			continue
		}
		if holder = d.Address; d.Region == region {
			break
		}
	}
	return holder
}

// bodyBudget limits the bodies that an owner sends unasked, so that its link has room for leases
// and listings. It belongs to the control loop.
type bodyBudget struct {
	second time.Time
	sent   int
}

// allows reports whether a body may be sent now, and counts it.
func (b *bodyBudget) allows(size int, linkMbps int64, now time.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second, b.sent = now, 0
	}
	if linkMbps == 0 {
		linkMbps = defaultLinkMbps
	}
	const bytesPerSecond = 1_000_000 / 8
	if b.sent > 0 && int64(b.sent+size) > linkMbps*bytesPerSecond*configLinkShare/100 {
		return false
	}
	b.sent += size
	return true
}
