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

// publish builds and publishes the snapshot that the traffic goroutines read.
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
		Session:   c.sessions.Self(),

		ValidUntil: c.sessions.Decide(now).ValidUntil,
	}
	live := c.sessions.Live(now)
	s.CollectsClaims = len(live) > 0 && live[0].ID == s.Session.ID
	if !s.Ready {
		s.Reason = "the daemon is " + string(c.state)
	}
	for _, m := range doc.Rules.Members {
		s.Members[m.Name] = true
		s.Weights[m.Name] = m.Weight
	}
	routable := c.addServices(s, doc, now)
	c.publisher.Publish(s)
	c.sender.SnapshotPublished(routable)
}

// addServices adds the services to a snapshot. It returns the addresses of their
// targets; the value is false for those that are leaving.
func (c *controller) addServices(s *traffic.Snapshot, doc document.Document, now time.Time) map[string]bool {
	rank, peers := c.rank(now)
	s.Daemons = peers + 1
	vms := make(map[string]inventory.VM, len(doc.Inventory.VMs))
	for _, vm := range doc.Inventory.VMs {
		vms[vm.Name] = vm
	}
	locations := doc.Inventory.Locations()
	addresses, routable := map[string]bool{}, map[string]bool{}
	clear(c.loadTable.ownInFlight)
	for _, service := range doc.Inventory.Services {
		rules, ok := doc.Rules.Service(service.Name)
		if !ok {
			continue
		}
		targets := c.serviceTargets(service, vms, locations, now)
		for _, t := range targets {
			addresses[t.Address] = true
			routable[t.Address] = t.State != charts.TargetLeaving
			c.loadTable.ownInFlight[serviceRegion{service.Name, t.Region}] += t.Usage.InFlight()
		}
		local, remote := c.loadTable.peersInFlight(service.Name, c.settings.Region)
		picker := route.NewPicker(route.Options{
			Region: c.settings.Region, Rank: rank, Daemons: s.Daemons,
			PeerInFlightLocal: local, PeerInFlightRemote: remote, Targets: targets,
		})
		s.Services[service.Name] = &traffic.Service{
			Rules:  rules,
			Picker: picker,
			Limit:  max(1, picker.Slots()/s.Daemons),
			Slots:  picker.Slots(),
		}
	}
	c.health.Retain(addresses)
	return routable
}

// rank returns this daemon's index in the order of session IDs among the
// daemons that may be serving or have reported within maxReportAge, and the
// number of the others.
func (c *controller) rank(now time.Time) (rank, peers int) {
	self := c.sessions.Self().ID
	sessions := c.otherSessions(now)
	for _, id := range sessions {
		if id < self {
			rank++
		}
	}
	return rank, len(sessions)
}

// otherSessions returns the IDs of the other daemons' sessions, sorted. It
// includes daemons that are known only from a load report within maxReportAge, so
// that an outage of the store does not empty the list.
func (c *controller) otherSessions(now time.Time) []string {
	others := map[string]bool{}
	for _, s := range c.sessions.Peers(now) {
		others[s.ID] = true
	}
	for session, r := range c.loadTable.reports {
		if now.Sub(r.at) <= maxReportAge {
			others[session] = true
		}
	}
	delete(others, c.sessions.Self().ID)
	return slices.Sorted(maps.Keys(others))
}

// serviceTargets returns a service's targets and updates their states in the
// health tracker.
func (c *controller) serviceTargets(service inventory.Service, vms map[string]inventory.VM, locations map[string]inventory.Location, now time.Time) []route.Target {
	targets := make([]route.Target, 0, len(service.Targets))
	observations := make([]route.Observation, 0, len(service.Targets))
	for _, t := range service.Targets {
		vm := vms[t.VM]
		location := locations[vm.Rack]
		usage := c.loadTable.usage(t.Address)
		targets = append(targets, route.Target{
			VM: t.VM, Address: t.Address, Region: location.Region, DataCentre: location.DataCentre,
			Slots: t.Slots, Connections: t.Connections, Usage: usage,
		})
		if usage.Leaving() {
			c.selfReported[t.Address] = now
		}
		leaving := c.vmLeaving(vm) || c.loadTable.leaving(t.Address)
		observations = append(observations, route.Observation{Address: t.Address, Usage: usage, Leaving: leaving})
	}
	for i, state := range c.health.Update(observations, now) {
		targets[i].State = state
	}
	return targets
}

// vmLeaving reports whether the operators drain a VM, or the platform's list or
// a peer reports it as leaving.
func (c *controller) vmLeaving(vm inventory.VM) bool {
	return vm.Draining || c.leavingVMs[vm.Name] || c.loadTable.leaving(vm.Name)
}

// selfReportTTL is how long a target's own announcement that it leaves is
// forwarded to the peers.
const selfReportTTL = 5 * time.Second

// addLeaving adds to a report the leaving VMs and targets that this daemon
// learned of from the platform and the targets themselves. Notices of peers are
// not forwarded: two daemons would keep a notice alive between them.
func (c *controller) addLeaving(r *peerpb.LoadReport, now time.Time) {
	r.LeavingVms = slices.Sorted(maps.Keys(c.leavingVMs))
	maps.DeleteFunc(c.selfReported, func(_ string, at time.Time) bool { return now.Sub(at) > selfReportTTL })
	r.LeavingTargets = slices.Sorted(maps.Keys(c.selfReported))
}
