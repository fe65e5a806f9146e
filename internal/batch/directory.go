package batch

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/place"
)

// Directory determines which shards of a document could run a job. It is built once
// for each document, is immutable and safe for concurrent use.
type Directory struct {
	locationByRack map[string]inventory.Location
	servicesByVM   map[string][]string // sorted services with a target on each VM
	services       map[string]bool
	machines       []place.Machine
	quotas         []place.Quota // of the members, over all shards
	shards         []shardInfo
}

// shardInfo describes a shard without its running tasks.
type shardInfo struct {
	name     string
	machines []place.Machine
	quotas   []place.Quota // the shard's parts of the members' quotas
	capacity int64         // in thousandths of a processor
}

// NewDirectory builds the directory of a document.
func NewDirectory(doc document.Document) *Directory {
	d := &Directory{
		locationByRack: doc.Inventory.Locations(),
		servicesByVM:   servicesByVM(doc.Inventory),
		services:       map[string]bool{},
	}
	for _, s := range doc.Inventory.Services {
		d.services[s.Name] = true
	}
	for _, m := range doc.Rules.Members {
		if m.QuotaMilliProcessors > 0 {
			d.quotas = append(d.quotas, place.Quota{Member: m.Name, MilliProcessors: m.QuotaMilliProcessors})
		}
	}
	shardIndex := map[string]int{}
	for _, name := range ShardNames(doc.Inventory) {
		shardIndex[name] = len(d.shards)
		d.shards = append(d.shards, shardInfo{name: name})
	}
	for _, vm := range doc.Inventory.VMs {
		m := d.describe(vm)
		s := &d.shards[shardIndex[vm.Rack]]
		s.machines = append(s.machines, m)
		s.capacity += m.Capacity.MilliProcessors
		d.machines = append(d.machines, m)
	}
	d.divideQuotas()
	for i := range d.shards {
		d.shards[i].machines = place.DistinctMachines(d.shards[i].machines)
	}
	d.machines = place.DistinctMachines(d.machines)
	return d
}

// describe returns the planner's view of a VM without tasks.
func (d *Directory) describe(vm inventory.VM) place.Machine {
	location := d.locationByRack[vm.Rack]
	return place.Machine{
		Name:       vm.Name,
		Free:       vm.Usable(),
		Capacity:   vm.Usable(),
		Draining:   vm.Draining,
		Rack:       vm.Rack,
		DataCentre: location.DataCentre,
		Region:     location.Region,
		Services:   d.servicesByVM[vm.Name],
	}
}

// servicesByVM returns the sorted names of the services that have a target on each
// VM.
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

// divideQuotas sets each shard's parts of the members' quotas.
func (d *Directory) divideQuotas() {
	capacities := make([]place.ShardCapacity, len(d.shards))
	for i, s := range d.shards {
		c := place.ShardCapacity{Shard: s.name, MilliProcessors: s.capacity}
		for _, m := range s.machines {
			c.LargestMilliProcessors = max(c.LargestMilliProcessors, m.Capacity.MilliProcessors)
		}
		capacities[i] = c
	}
	for _, q := range d.quotas {
		parts := place.DivideQuota(q.Member, q.MilliProcessors, capacities)
		for i := range d.shards {
			part := place.Quota{Member: q.Member, MilliProcessors: parts[d.shards[i].name]}
			d.shards[i].quotas = append(d.shards[i].quotas, part)
		}
	}
}

// quotasOf returns a shard's parts of the members' quotas, or nil if the shard is
// not in the document.
func (d *Directory) quotasOf(name string) []place.Quota {
	i := sort.Search(len(d.shards), func(i int) bool { return d.shards[i].name >= name })
	if i == len(d.shards) || d.shards[i].name != name {
		return nil
	}
	return d.shards[i].quotas
}

// Feasible returns the shards that could run the job's tasks if no other task ran.
// The error is an *inventory.FieldError if no shard could.
func (d *Directory) Feasible(job Job) ([]string, error) {
	for i, service := range job.Avoid {
		if !d.services[service] {
			return nil, &inventory.FieldError{Field: fmt.Sprintf("avoid[%d]", i), Value: service, Reason: "does not exist in the inventory's services"}
		}
	}
	want := place.Demand{Member: job.Member, Resources: job.Resources, Avoid: job.Avoid}
	if err := place.CheckFeasible(want, d.machines, d.quotas); err != nil {
		return nil, err
	}
	var names []string
	for i := range d.shards {
		if place.CheckFeasible(want, d.shards[i].machines, d.shards[i].quotas) == nil {
			names = append(names, d.shards[i].name)
		}
	}
	if len(names) == 0 && len(d.shards) > 0 {
		return nil, &inventory.FieldError{
			Field: "resources.milli_processors", Value: strconv.FormatInt(job.Resources.MilliProcessors, 10),
			Reason: fmt.Sprintf("is more than the part of member %q's quota in any rack with a VM that is large enough", job.Member),
		}
	}
	return names, nil
}
