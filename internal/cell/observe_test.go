package cell

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/internal/port"
)

// newLoggedCell returns a Cell that is not started, and the handler that receives
// its events at the level that a daemon prints.
func newLoggedCell() (*Cell, *memory.Handler) {
	h := memory.New()
	return New(Options{Log: &log.Logger{Handler: h, Level: log.InfoLevel}, Now: time.Now}), h
}

// eventNames returns the names of the events that a handler has received.
func eventNames(h *memory.Handler) []string {
	names := []string{}
	for _, e := range h.Entries {
		names = append(names, e.Fields.Get("event").(string))
	}
	return names
}

func TestStoreIsNotRegainedAfterAPauseWithoutCalls(t *testing.T) {
	is := is.New(t)
	c, h := newLoggedCell()
	start := time.Now()
	c.recordStoreResult(nil, start)
	c.recordStoreResult(nil, start.Add(healthyOwnerPoll))
	c.recordStoreResult(&port.RefusedError{Reason: port.RefusedStale}, start.Add(2*healthyOwnerPoll))
	is.Equal(eventNames(h), []string{})
}

func TestLossOfTheStoreIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	c, h := newLoggedCell()
	start := time.Now()
	failed := &port.UnansweredError{Op: "range", Err: errors.New("timeout")}
	c.recordStoreResult(nil, start)
	for i := range 5 {
		c.recordStoreResult(failed, start.Add(time.Duration(i+1)*time.Second))
	}
	is.Equal(eventNames(h), []string{"store_lost"})
	is.Equal(h.Entries[0].Fields.Get("since_ms"), int64(1000))
	c.recordStoreResult(nil, start.Add(6*time.Second))
	c.recordStoreResult(nil, start.Add(7*time.Second))
	is.Equal(eventNames(h), []string{"store_lost", "store_regained"})
	is.Equal(h.Entries[1].Fields.Get("since_ms"), int64(6000))
}

func TestOwnershipGauges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 130, 2, 2, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		cl.submit(first, cl.spec(2))
		time.Sleep(3 * time.Second)
		m := cl.daemons[first].cell.instruments
		is.Equal([]int64{m.owner.Value(), m.loaded.Value(), m.recovered.Value(), m.epoch.Value()}, []int64{1, 1, 1, 1})
		is.Equal([]int64{m.recoveryReadLatency.Count(), m.recoveryLatency.Count(), m.termsUnrecovered.Count()}, []int64{1, 1, 0})
		is.True(m.listingLatency.Count() > 0)
		is.True(m.listingsSent.Count() >= m.listingLatency.Count())
		is.Equal(m.listingsFailed.Count(), int64(0))
		for _, name := range cl.names() {
			if name != first {
				follower := cl.daemons[name].cell.instruments
				is.Equal([]int64{follower.owner.Value(), follower.loaded.Value(), follower.recovered.Value(), follower.epoch.Value()}, []int64{0, 0, 0, 1})
			}
		}
	})
}

func TestTermThatEndsBeforeItHasRecoveredIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 131, 1, 2, halfSecond, nil)
		defer cl.stopAll()
		d := cl.daemons["d0"]
		d.workersUnreachable.Store(true)
		cl.awaitOwner()
		time.Sleep(2 * time.Second)
		is.NoErr(d.loop.Do(t.Context(), func() { d.cell.loseOwnership("test") }))
		m := d.cell.instruments
		is.Equal([]int64{m.owner.Value(), m.recovered.Value(), m.recoveryLatency.Count(), m.termsUnrecovered.Count()}, []int64{0, 0, 0, 1})
		is.True(m.listingsFailed.Count() > 0)
	})
}

func TestTickLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 132, 1, 1, halfSecond, nil)
		defer cl.stopAll()
		d := cl.daemons["d0"]
		time.Sleep(time.Second)
		is.Equal(d.cell.instruments.tickLag.Max(), int64(0))
		busy := 400 * time.Millisecond
		d.loop.Post(func() { time.Sleep(busy) })
		time.Sleep(time.Second)
		is.True(d.cell.instruments.tickLag.Max() >= (busy - 2*tickInterval).Milliseconds())
	})
}

func TestDepthAnswersAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, _ := newLoggedCell()
		age := c.instruments.registry.Get("cell.depth_age_ms").(metrics.Gauge)
		_, err := c.Pending("batch")
		is.True(err != nil)
		is.Equal(age.Value(), int64(unknownAge))
		c.jobStates.confirm(time.Now(), map[string]int{"batch": 3}, time.Now())
		time.Sleep(200 * time.Millisecond)
		n, err := c.Pending("batch")
		is.NoErr(err)
		is.Equal(n, 3)
		is.Equal(age.Value(), int64(200))
		is.Equal([]int64{c.instruments.depthsAnswered.Count(), c.instruments.depthsRefused.Count()}, []int64{1, 1})
	})
}

func TestDepthAnswersAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := memory.New()
		c := New(Options{Log: &log.Logger{Handler: h, Level: log.DebugLevel}, Now: time.Now})
		c.owner.Epoch = 7
		c.publish()
		c.jobStates.confirm(time.Now(), map[string]int{"batch": 3}, time.Now())
		time.Sleep(200 * time.Millisecond)
		_, err := c.Pending("batch")
		is.NoErr(err)
		time.Sleep(depthTTL)
		_, err = c.Pending("batch")
		is.True(err != nil)
		is.Equal(eventNames(h), []string{"depth_answered", "depth_refused"})
		answered, refused := h.Entries[0], h.Entries[1]
		is.Equal([]log.Level{answered.Level, refused.Level}, []log.Level{log.DebugLevel, log.InfoLevel})
		is.Equal(answered.Fields.Get("pending"), 3)
		is.Equal(answered.Fields.Get("epoch"), int64(7))
		is.Equal(answered.Fields.Get("age_ms"), int64(200))
		is.Equal(refused.Fields.Get("age_ms"), (depthTTL + 200*time.Millisecond).Milliseconds())
	})
}

// TestAcquisitionLogsItsReason checks what a daemon logs when it replaces an owner,
// by the fault of that owner.
func TestAcquisitionLogsItsReason(t *testing.T) {
	faults := []struct {
		reason string
		inject func(cl *cluster, owner string)
	}{
		{reasonReleased, func(cl *cluster, owner string) { _ = cl.daemons[owner].cell.Release(cl.t.Context()) }},
		{reasonOwnerUnreachable, func(cl *cluster, owner string) { cl.kill(owner) }},
		{reasonOwnerCannotCommit, func(cl *cluster, owner string) { cl.daemons[owner].storeUnreachable.Store(true) }},
	}
	for _, fault := range faults {
		t.Run(fault.reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(t, 133, 1, 1, halfSecond, nil)
				defer cl.stopAll()
				h := memory.New()
				cl.logTo = h
				cl.awaitOwner()
				cl.start("d1")
				time.Sleep(2 * time.Second)
				fault.inject(cl, "d0")
				time.Sleep(8 * time.Second)
				is.Equal(cl.owner(), "d1")
				cl.stopAll() // the handler may be read once no daemon logs
				begin := findEvent(h, "acquire_begin")
				is.True(begin != nil)
				is.Equal(begin.Fields.Get("reason"), fault.reason)
				is.Equal(begin.Fields.Get("previous"), "d0")
				is.Equal(begin.Fields.Get("previous_epoch"), int64(1))
				is.True(begin.Fields.Get("replied_ms").(int64) < (8 * time.Second).Milliseconds())
				if fault.reason != reasonReleased {
					is.True(begin.Fields.Get("unchanged_ms").(int64) >= staleAfter.Milliseconds())
				}
			})
		})
	}
}

func TestAcquisitionOfAnUnownedCellLogsItsReason(t *testing.T) {
	is := is.New(t)
	c, h := newLoggedCell()
	c.logAcquisition(time.Now())
	c.ownerVersion, c.owner.Name, c.Self.Name = 1, "d0", "d0"
	c.logAcquisition(time.Now())
	is.Equal(h.Entries[0].Fields.Get("reason"), reasonNoOwner)
	is.Equal(h.Entries[1].Fields.Get("reason"), reasonOwnEarlierBoot)
	is.Equal(h.Entries[1].Fields.Get("replied_ms"), nil)
}

// findEvent returns the first event with a name that a handler has received, or
// nil.
func findEvent(h *memory.Handler, name string) *log.Entry {
	for _, e := range h.Entries {
		if e.Fields.Get("event") == name {
			return e
		}
	}
	return nil
}
