package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/route"
)

// newView returns what the control goroutine keeps of targets.
func newView() *controller {
	return &controller{
		loads: newLoadTable(), health: route.NewTracker(),
		leaving: map[string]bool{}, selfReported: map[string]time.Time{},
	}
}

func (c *controller) stateAt(now time.Time, draining bool) chart.State {
	vms := map[string]inventory.VM{"w1": {Name: "w1", Draining: draining}}
	service := inventory.Service{Name: "stock", Targets: []inventory.Target{{VM: "w1", Address: "a1", Slots: 8, Connections: 64}}}
	return c.serviceTargets(service, vms, nil, now)[0].State
}

// Each sign alone makes a target leave at the next view, and signs reach a
// daemon within seconds.
func TestAnySignMakesTargetLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, sign := range map[string]func(c *controller){
		"list":           func(c *controller) { c.leaving["w1"] = true },
		"own word":       func(c *controller) { c.loads.usage("a1").SetLeaving() },
		"peer on VM":     func(c *controller) { c.loads.take(reportOf(1, "w1"), now) },
		"peer on target": func(c *controller) { c.loads.take(reportOf(1, "a1"), now) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newView()
			is.Equal(c.stateAt(now, false), charts.TargetLive)
			sign(c)
			is.Equal(c.stateAt(now, false), charts.TargetLeaving)
		})
	}
	is := is.New(t)
	is.Equal(newView().stateAt(now, true), charts.TargetLeaving) // the operators' word
	is.True(vmListInterval+loadInterval+viewInterval <= 3*time.Second)
}

// Peers' words are not passed on, or two daemons would keep a word alive.
func TestOnlyFirstHandWordsArePassedOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newView()
	c.loads.take(reportOf(1, "w1"), now)
	c.loads.usage("a1").SetLeaving()
	c.leaving["w9"] = true
	c.stateAt(now, false)
	r := &peerpb.LoadReport{}
	c.addLeaving(r, now)
	is.Equal(r.GetLeavingVms(), []string{"w9"})
	is.Equal(r.GetLeavingTargets(), []string{"a1"})
	r = &peerpb.LoadReport{}
	c.addLeaving(r, now.Add(selfReportLife+time.Second))
	is.Equal(len(r.GetLeavingTargets()), 0)
}
