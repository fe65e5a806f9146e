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
	fresh := c.term == nil && now.Sub(c.configConfirmedAt) < 2*configPoll && c.link.ownerConfigVersion <= c.configVersion()
	if c.configReadInFlight || fresh || now.Sub(c.configPolledAt) < configPoll {
		return
	}
	c.configReadInFlight, c.configPolledAt = true, now
	known, timeout := c.config, storeTimeout
	if c.link.ownerConfigVersion > c.configVersion() {
		timeout = configBodyTimeout // the store is available, and a large body may be in transfer
	}
	control.Async(c.Loop, func(ctx context.Context) (*port.Config, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return c.Configs.Read(ctx, known)
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
			c.Log.WithFields(log.Fields{"event": "config_adopted", "version": config.Version, "routes": len(config.Routes)}).Info("configuration is in force")
		}
		if c.term != nil {
			c.term.setQueues()
			c.jobStates.notify()
		}
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

// configState returns the state of the configuration for a daemon that has the
// version known. The body is sent only to a daemon that cannot read it from the
// store: bodies are large, and sending them to every daemon at once saturates the
// sender's link for seconds.
func (c *Cell) configState(known int64, wanted bool) *peerpb.ConfigState {
	if c.config == nil {
		return nil
	}
	s := &peerpb.ConfigState{Version: c.config.Version, AgeMs: uint64(max(0, c.Now().Sub(c.configConfirmedAt).Milliseconds()))}
	if wanted && c.config.Version > known {
		s.Body = c.config.Body
	}
	return s
}

// receiveConfig applies another daemon's configuration state, which was the newest
// at a time.
func (c *Cell) receiveConfig(s *peerpb.ConfigState, at time.Time) {
	if s == nil {
		return
	}
	if c.config != nil && s.GetVersion() == c.config.Version {
		c.adopt(c.config, at)
		return
	}
	if len(s.GetBody()) == 0 {
		return
	}
	config, err := c.Configs.Decode(s.GetBody())
	if err != nil {
		c.Log.WithFields(log.Fields{"event": "config_unreadable", "version": s.GetVersion()}).WithError(err).Warn("cannot decode the configuration from another daemon")
		return
	}
	c.adopt(config, at)
}
