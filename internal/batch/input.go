package batch

import (
	"sort"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/place"
	"github.com/bambooyard/bambooyard/shard"
)

// site is what the document says about the shard beside its VMs.
type site struct {
	places   map[string]inventory.Place // by rack
	services map[string][]string        // sorted services with a target on each VM
	quotas   []place.Quota
}

func newSite(_ string, doc document.Document) site {
	return site{places: doc.Inventory.Places(), services: servicesByVM(doc.Inventory)}
}

// servicesByVM lists the services that have a target on each VM.
func servicesByVM(inv inventory.Inventory) map[string][]string {
	services := map[string][]string{}
	for _, s := range inv.Services {
		for _, t := range s.Targets {
			if n := len(services[t.VM]); n == 0 || services[t.VM][n-1] != s.Name {
				services[t.VM] = append(services[t.VM], s.Name)
			}
		}
	}
	for _, names := range services {
		sort.Strings(names)
	}
	return services
}

// planInput describes the shard to the planner.
func (o *owner) planInput(now time.Time) place.Input {
	in := place.Input{NowUnixMS: now.UnixMilli(), Machines: o.machines(), Quotas: o.site.quotas}
	for _, id := range o.taskIDs() {
		t := o.state.Tasks[id]
		switch {
		case t.State == charts.TaskPending:
			d := demand(t)
			d.FailedOn = o.failedOn(t)
			in.Pending = append(in.Pending, d)
		case t.Holds():
			in.Running = append(in.Running, place.Running{
				Demand:        demand(t),
				Machine:       t.VM,
				StartedUnixMS: t.StartByUnixMS - startWindow.Milliseconds(),
				Stopping:      t.State != charts.TaskRunning,

				ThrottlePerMille: o.throttled[id],
			})
		}
	}
	return in
}

// demand describes a task to the planner.
func demand(t *shard.Task) place.Demand {
	return place.Demand{
		Task:           string(t.Spec.ID),
		Job:            t.Spec.Job,
		Member:         t.Spec.Member,
		Kind:           t.Spec.Kind,
		Resources:      t.Spec.Resources,
		RunTimeMS:      t.Spec.RunTimeMS,
		DeadlineUnixMS: t.Spec.DeadlineUnixMS,
		Urgent:         t.Spec.Urgent,
		Avoid:          t.Spec.Avoid,
	}
}

// machines describes the shard's VMs to the planner, sorted by name.
func (o *owner) machines() []place.Machine {
	machines := make([]place.Machine, 0, len(o.vms))
	for name, vm := range o.vms {
		at := o.site.places[vm.Rack]
		machines = append(machines, place.Machine{
			Name:       name,
			Free:       vm.Usable().Sub(o.state.Committed[name]),
			Capacity:   vm.Usable(),
			Draining:   !o.usable(vm),
			Rack:       vm.Rack,
			DataCentre: at.DataCentre,
			Region:     at.Region,
			Services:   o.site.services[name],
		})
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	return machines
}
