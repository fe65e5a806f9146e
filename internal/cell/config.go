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

// bodyTimeout is how long a new configuration may take to arrive. When all
// daemons of a region read one of some hundred kilobytes, it takes a second of
// the link between regions; giving up earlier would only make them read it again.
const bodyTimeout = 2500 * time.Millisecond

// pollConfig reads the configuration from the store. A follower reads it only
// when the owner's word on it is old, or names a newer version.
func (c *Cell) pollConfig(now time.Time) {
	fresh := c.tenure == nil && now.Sub(c.configAt) < 2*configPoll && c.link.ownerVersion <= c.configVersion()
	if c.configBusy || fresh || now.Sub(c.configRead) < configPoll {
		return
	}
	c.configBusy, c.configRead = true, now
	known, timeout := c.config, storeTimeout
	if c.link.ownerVersion > c.configVersion() {
		timeout = bodyTimeout // the store answers, and a body may be on its way
	}
	control.Async(c.Loop, func(ctx context.Context) (*port.Config, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return c.Configs.Read(ctx, known)
	}, func(config *port.Config, err error) {
		c.configBusy = false
		c.storeAnswered(err, c.Now())
		if err == nil && config != nil {
			c.adopt(config, now)
			c.publish()
		}
	})
}

// adopt takes in a configuration that was known to be the newest at a time. An
// older version than the one in force is never adopted.
func (c *Cell) adopt(config *port.Config, at time.Time) {
	switch {
	case c.config != nil && config.Version < c.config.Version:
		return
	case c.config == nil || config.Version > c.config.Version:
		c.config = config
		c.Log.WithFields(log.Fields{"event": "config_adopted", "version": config.Version, "routes": len(config.Routes)}).Info("configuration in force")
		if c.tenure != nil {
			c.tenure.setQueues()
			c.news.wake()
		}
	}
	if at.After(c.configAt) {
		c.configAt = at
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

// configVersion returns the version in force, zero before there is one.
func (c *Cell) configVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// configState describes the configuration to a daemon that has a version. The
// body goes only to one that does not reach the store: bodies are large, and
// sent to every daemon at once they fill the sender's link for seconds.
func (c *Cell) configState(known int64, wanted bool) *peerpb.ConfigState {
	if c.config == nil {
		return nil
	}
	s := &peerpb.ConfigState{Version: c.config.Version, AgeMs: uint64(max(0, c.Now().Sub(c.configAt).Milliseconds()))}
	if wanted && c.config.Version > known {
		s.Body = c.config.Body
	}
	return s
}

// learnConfig takes in another daemon's configuration, which was the newest at
// a time.
func (c *Cell) learnConfig(s *peerpb.ConfigState, at time.Time) {
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
		c.Log.WithFields(log.Fields{"event": "config_unreadable", "version": s.GetVersion()}).WithError(err).Warn("passed on by another daemon")
		return
	}
	c.adopt(config, at)
}
