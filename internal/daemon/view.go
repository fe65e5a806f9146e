package daemon

import (
	"maps"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/route"
)

// publish builds the snapshot that traffic reads.
func (c *controller) publish(now time.Time) {
	doc := c.config.Document()
	s := &traffic.Snapshot{
		CreatedAt: now,
		Ready:     c.state == charts.DaemonReady,
		Head:      c.config.Head(),
		Document:  doc,
		Services:  map[string]*traffic.Service{},
		Members:   map[string]bool{},
		Weights:   map[string]int{},
		Session:   c.keeper.Self(),

		ValidUntil: c.keeper.Decide(now).ValidUntil,
	}
	live := c.keeper.Live(now)
	s.SweepsClaims = len(live) > 0 && live[0].ID == s.Session.ID
	if !s.Ready {
		s.Reason = "the daemon is " + string(c.state)
	}
	for _, m := range doc.Rules.Members {
		s.Members[m.Name] = true
		s.Weights[m.Name] = m.Weight
	}
	listed := c.addServices(s, doc, now)
	c.publisher.Publish(s)
	c.sender.SnapshotPublished(listed)
}

// addServices fills in the services and returns the addresses of the targets
// that are not leaving.
func (c *controller) addServices(s *traffic.Snapshot, doc document.Document, now time.Time) map[string]bool {
	rank, others := c.rank(now)
	s.Daemons = others + 1
	vms := make(map[string]inventory.VM, len(doc.Inventory.VMs))
	for _, vm := range doc.Inventory.VMs {
		vms[vm.Name] = vm
	}
	places := doc.Inventory.Locations()
	addresses, listed := map[string]bool{}, map[string]bool{}
	clear(c.loads.own)
	for _, service := range doc.Inventory.Services {
		rules, ok := doc.Rules.Service(service.Name)
		if !ok {
			continue
		}
		targets := c.serviceTargets(service, vms, places, now)
		for _, t := range targets {
			addresses[t.Address] = true
			listed[t.Address] = t.State != charts.TargetLeaving
			c.loads.own[serviceRegion{service.Name, t.Region}] += t.Usage.InFlight()
		}
		here, elsewhere := c.loads.inFlight(service.Name, c.settings.Region)
		picker := route.NewPicker(route.Options{
			Region: c.settings.Region, Rank: rank, Daemons: s.Daemons,
			PeerInFlightLocal: here, PeerInFlightRemote: elsewhere, Targets: targets,
		})
		s.Services[service.Name] = &traffic.Service{
			Rules:  rules,
			Picker: picker,
			Limit:  max(1, picker.Slots()/s.Daemons),
			Slots:  picker.Slots(),
		}
	}
	c.health.Retain(addresses)
	return listed
}

// rank returns this daemon's place among the daemons that are live or have
// reported lately, and the number of the others.
func (c *controller) rank(now time.Time) (rank, others int) {
	self := c.keeper.Self().ID
	sessions := c.otherSessions(now)
	for _, id := range sessions {
		if id < self {
			rank++
		}
	}
	return rank, len(sessions)
}

// otherSessions returns the sessions whose daemons may be serving or have
// reported lately, so that an outage of the store does not empty the list.
func (c *controller) otherSessions(now time.Time) []string {
	others := map[string]bool{}
	for _, s := range c.keeper.Peers(now) {
		others[s.ID] = true
	}
	for session, r := range c.loads.reports {
		if now.Sub(r.at) <= maxReportAge {
			others[session] = true
		}
	}
	delete(others, c.keeper.Self().ID)
	return slices.Sorted(maps.Keys(others))
}

// serviceTargets describes a service's targets and moves them through the
// target chart.
func (c *controller) serviceTargets(service inventory.Service, vms map[string]inventory.VM, places map[string]inventory.Location, now time.Time) []route.Target {
	targets := make([]route.Target, 0, len(service.Targets))
	observations := make([]route.Observation, 0, len(service.Targets))
	for _, t := range service.Targets {
		vm := vms[t.VM]
		place := places[vm.Rack]
		usage := c.loads.usage(t.Address)
		targets = append(targets, route.Target{
			VM: t.VM, Address: t.Address, Region: place.Region, DataCentre: place.DataCentre,
			Slots: t.Slots, Connections: t.Connections, Usage: usage,
		})
		if usage.Leaving() {
			c.selfReported[t.Address] = now
		}
		leaving := c.vmLeaving(vm) || c.loads.leaving(t.Address)
		observations = append(observations, route.Observation{Address: t.Address, Usage: usage, Leaving: leaving})
	}
	for i, state := range c.health.Update(observations, now) {
		targets[i].State = state
	}
	return targets
}

// vmLeaving is set as soon as the operators, the platform's list or a peer says so.
func (c *controller) vmLeaving(vm inventory.VM) bool {
	return vm.Draining || c.leaving[vm.Name] || c.loads.leaving(vm.Name)
}

// selfReportLife is how long a target's own word that it leaves is passed on.
const selfReportLife = 5 * time.Second

// addLeaving tells in a report what this daemon knows at first hand to be
// leaving. What peers said is not passed on, so that it can end.
func (c *controller) addLeaving(r *peerpb.LoadReport, now time.Time) {
	r.LeavingVms = slices.Sorted(maps.Keys(c.leaving))
	maps.DeleteFunc(c.selfReported, func(_ string, at time.Time) bool { return now.Sub(at) > selfReportLife })
	r.LeavingTargets = slices.Sorted(maps.Keys(c.selfReported))
}
