package cell

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// configBodyTimeout is the timeout for reading a new configuration. When all
// daemons of a region read a configuration of several hundred kilobytes, the
// transfer occupies the link between regions for a second; a shorter timeout would
// only make them read it again.
const configBodyTimeout = 2500 * time.Millisecond

// pollConfig reads the configuration from the store if that is due. A follower
// reads it only when the owner's last confirmation is old, or the owner has a newer
// version.
func (c *Cell) pollConfig(now time.Time) {
	maxAge := 2 * configPoll
	if c.link.healthy(now) {
		maxAge += followWait // the owner's next reply confirms it
	}
	fresh := c.term == nil && now.Sub(c.configConfirmedAt) < maxAge && c.link.ownerConfigVersion <= c.configVersion()
	if c.configReadInFlight || fresh || now.Sub(c.configPolledAt) < configPoll || c.bodyExpected(now) {
		return
	}
	c.configReadInFlight, c.configPolledAt = true, now
	known, timeout := c.config, storeTimeout
	if c.link.ownerConfigVersion > c.configVersion() || c.config == nil {
		timeout = configBodyTimeout // a large body may be in transfer
	}
	control.Async(c.Loop, func(ctx context.Context) (*port.Config, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		config, err := c.Configs.Read(ctx, known)
		if err == nil && config != nil && config != known {
			err = compressConfig(config)
		}
		return config, err
	}, func(config *port.Config, err error) {
		c.configReadInFlight = false
		c.recordStoreResult(err, c.Now())
		if err == nil && config != nil {
			c.adopt(config, now)
			c.publish()
		}
	})
}

// adopt puts a configuration in force that was the newest at a time. A version
// older than the one in force is ignored.
func (c *Cell) adopt(config *port.Config, at time.Time) {
	switch {
	case c.config != nil && config.Version < c.config.Version:
		return
	case c.config == nil || config.Version > c.config.Version:
		c.config = config
		if c.isLead() {
			c.Log.WithFields(log.Fields{"event": "config_adopted", "version": config.Version, "routes": len(config.Routes), "bytes": len(config.Body)}).Info("configuration is in force")
		}
		if c.term != nil {
			c.term.setQueues()
			c.jobStates.notify()
		}
	case config.StoredVersion > c.config.StoredVersion:
		c.config = config // from now on, only changes are read
	}
	if at.After(c.configConfirmedAt) {
		c.configConfirmedAt = at
	}
	if c.group != nil && c.isLead() {
		c.group.shareConfig(c.config, c.configConfirmedAt)
	}
}

// queues returns the configured queues.
func (c *Cell) queues() []job.Queue {
	if c.config == nil {
		return nil
	}
	queues := make([]job.Queue, 0, len(c.config.Routes))
	for _, r := range c.config.Routes {
		queues = append(queues, r.Queue)
	}
	return queues
}

// configVersion returns the version in force, or zero if there is none.
func (c *Cell) configVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// configState returns the state of the configuration without its body.
func (c *Cell) configState() *peerpb.ConfigState {
	if c.config == nil {
		return nil
	}
	return &peerpb.ConfigState{Version: c.config.Version, AgeMs: uint64(max(0, c.Now().Sub(c.configConfirmedAt).Milliseconds()))}
}

// addBody adds the body of the configuration to its state.
func (c *Cell) addBody(s *peerpb.ConfigState, acceptsGzip bool) {
	s.StoredVersion = c.config.StoredVersion
	if acceptsGzip && c.config.GzipBody != nil {
		s.GzipBody = c.config.GzipBody
	} else {
		s.Body = c.config.Body
	}
}

// configReply returns the state of the configuration for a follower. The body is sent to one that
// cannot read it from the store, and a large one also to others, compressed, as far as the
// link of this daemon has room: sending it to all daemons at once saturates the link for seconds.
func (c *Cell) configReply(req *peerpb.FollowRequest) *peerpb.ConfigState {
	s := c.configState()
	if s == nil || !c.isLead() || req.GetConfig().GetVersion() >= c.config.Version {
		return s
	}
	if req.GetWantConfig() {
		c.addBody(s, req.GetAcceptsGzip())
		return s
	}
	if c.config.GzipBody != nil && req.GetAcceptsGzip() {
		s.GzipBytes = uint64(len(c.config.GzipBody))
		if c.bodyBudget.allows(len(c.config.GzipBody), c.linkMbps(), c.Now()) {
			c.addBody(s, true)
		} else if c.group != nil {
			s.Holder = c.group.configHolder(req, c.config.Version, c.Now())
		}
	}
	return s
}

// configToOwner returns the state of the configuration for the owner, with the body if the owner
// cannot read a newer version from the store.
func (c *Cell) configToOwner() *peerpb.ConfigState {
	s := c.configState()
	if s != nil && c.isLead() && c.link.ownerCommitStale && c.config.Version > c.link.ownerConfigVersion {
		c.addBody(s, c.link.ownerAcceptsGzip)
	}
	return s
}

// linkMbps returns the capacity of the daemon's link; zero if it is not known.
func (c *Cell) linkMbps() int64 {
	if c.group == nil {
		return 0
	}
	return c.group.options.LinkMbps
}

// receiveConfig applies another daemon's configuration state, which was the newest at a time.
// The decoded body is nil if the state has none.
func (c *Cell) receiveConfig(s *peerpb.ConfigState, body *port.Config, at time.Time) {
	switch {
	case s == nil:
	case c.config != nil && s.GetVersion() == c.config.Version:
		c.adopt(c.config, at)
	case body != nil:
		c.adopt(body, at)
	}
}
