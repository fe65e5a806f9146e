package cell

import (
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/port"
)

// storeAnswered reports whether the result of a call shows that the store is
// available.
func storeAnswered(err error) bool {
	var refused *port.RefusedError
	return err == nil || errors.As(err, &refused) && refused.Reason == port.RefusedStale
}

// logStoreResult logs the first failed call to the store after a successful one,
// and the first successful call after a failed one.
func (c *Cell) logStoreResult(err error, now time.Time) {
	fields := log.Fields{"event": "store_regained"}
	if !c.storeLastContact.IsZero() {
		fields["since_ms"] = now.Sub(c.storeLastContact).Milliseconds()
	}
	if storeAnswered(err) {
		if c.storeFailing {
			c.Log.WithFields(fields).Info("the store is available again")
		}
		return
	}
	if c.storeFailing {
		fields["event"] = "store_failed"
		c.Log.WithFields(fields).WithError(err).Debug("call to the store failed")
		return
	}
	fields["event"] = "store_lost"
	c.Log.WithFields(fields).WithError(err).Warn("call to the store failed; the store counts as lost until a call succeeds")
}
