package daemon

import (
	"time"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/route"
)

// publish builds the snapshot that traffic reads.
func (c *controller) publish(now time.Time) {
	doc := c.config.Document()
	s := &traffic.Snapshot{
		At:       now,
		Ready:    c.state == charts.DaemonReady,
		Head:     c.config.Head(),
		Document: doc,
		Services: map[string]*traffic.Service{},
		Members:  map[string]bool{},
		Weights:  map[string]int{},
		Session:  c.keeper.Self(),

		ValidUntil: c.keeper.Decide(now).ValidUntil,
	}
	live := c.keeper.Live(now)
	s.Daemons = max(1, len(c.keeper.Peers(now)))
	s.Sweeps = len(live) > 0 && live[0].ID == s.Session.ID
	if !s.Ready {
		s.Reason = "the daemon is " + string(c.state)
	}
	for _, m := range doc.Rules.Members {
		s.Members[m.Name] = true
		s.Weights[m.Name] = m.Weight
	}
	c.addServices(s, doc, now)
	c.publisher.Publish(s)
}

func (c *controller) addServices(s *traffic.Snapshot, doc document.Document, now time.Time) {
	vms := make(map[string]inventory.VM, len(doc.Inventory.VMs))
	for _, vm := range doc.Inventory.VMs {
		vms[vm.Name] = vm
	}
	places := doc.Inventory.Places()
	for _, service := range doc.Inventory.Services {
		rules, ok := doc.Rules.Service(service.Name)
		if !ok {
			continue
		}
		slots := 0
		targets := make([]route.Target, 0, len(service.Targets))
		for _, t := range service.Targets {
			slots += t.Slots
			vm := vms[t.VM]
			place := places[vm.Rack]
			peers, age := c.loads.inFlight(t.Address, now)
			targets = append(targets, route.Target{
				VM: t.VM, Address: t.Address, Region: place.Region, DataCentre: place.DataCentre,
				Slots: t.Slots, Connections: t.Connections,
				State:        c.targetState(vm),
				Usage:        c.loads.usage(t.Address),
				PeerInFlight: peers,
				PeerAge:      age,
			})
		}
		s.Services[service.Name] = &traffic.Service{
			Rules:  rules,
			Picker: route.NewPicker(c.settings.Region, targets),
			Limit:  max(1, slots/s.Daemons),
			Slots:  slots,
		}
	}
}

// targetState is leaving as soon as anyone says so.
func (c *controller) targetState(vm inventory.VM) chart.State {
	if vm.Draining || c.leaving[vm.Name] || c.loads.leaving(vm.Name) {
		return charts.TargetLeaving
	}
	return charts.TargetLive
}
