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

// newTargetController returns a controller with only the state that determines
// the states of targets.
func newTargetController() *controller {
	return &controller{
		loadTable: newLoadTable(), health: route.NewTracker(),
		leavingVMs: map[string]bool{}, selfReported: map[string]time.Time{},
	}
}

// targetState returns the state of a target on VM w1 after one update.
func (c *controller) targetState(now time.Time, draining bool) chart.State {
	vms := map[string]inventory.VM{"w1": {Name: "w1", Draining: draining}}
	service := inventory.Service{Name: "stock", Targets: []inventory.Target{{VM: "w1", Address: "a1", Slots: 8, Connections: 64}}}
	return c.serviceTargets(service, vms, nil, now)[0].State
}

// Each source alone, whether the platform, the target, a peer or the operators,
// must make a target leaving at the next snapshot. The intervals of the VM
// list, the load reports and the snapshots bound the delay to three seconds.
func TestAnySingleSourceMakesTargetLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, setLeaving := range map[string]func(c *controller){
		"list":           func(c *controller) { c.leavingVMs["w1"] = true },
		"own response":   func(c *controller) { c.loadTable.usage("a1").SetLeaving() },
		"peer on VM":     func(c *controller) { c.loadTable.record(newLoadReport(1, "w1"), now) },
		"peer on target": func(c *controller) { c.loadTable.record(newLoadReport(1, "a1"), now) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTargetController()
			is.Equal(c.targetState(now, false), charts.TargetLive)
			setLeaving(c)
			is.Equal(c.targetState(now, false), charts.TargetLeaving)
		})
	}
	is := is.New(t)
	is.Equal(newTargetController().targetState(now, true), charts.TargetLeaving) // drained by the operators
	is.True(vmListInterval+loadInterval+refreshInterval <= 3*time.Second)
}

// Leaving notices of peers must not be forwarded, because two daemons would
// keep a notice alive between them. A target's own notice ends after
// selfReportTTL.
func TestPeersLeavingNoticesAreNotForwarded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newTargetController()
	c.loadTable.record(newLoadReport(1, "w1"), now)
	c.loadTable.usage("a1").SetLeaving()
	c.leavingVMs["w9"] = true
	c.targetState(now, false)
	r := &peerpb.LoadReport{}
	c.addLeaving(r, now)
	is.Equal(r.GetLeavingVms(), []string{"w9"})
	is.Equal(r.GetLeavingTargets(), []string{"a1"})
	r = &peerpb.LoadReport{}
	c.addLeaving(r, now.Add(selfReportTTL+time.Second))
	is.Equal(len(r.GetLeavingTargets()), 0)
}
