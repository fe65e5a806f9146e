package place

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/bambooyard/bambooyard/inventory"
)

// CheckFeasible returns nil if a task could run on one of the machines with
// nothing else running. The error is an *inventory.FieldError that names the
// field of the job that prevents it. Machines of unknown capacity are assumed
// to be large enough, and draining ones count, since they may accept work
// again.
func CheckFeasible(d Demand, machines []Machine, quotas []Quota) error {
	for _, q := range quotas {
		if q.Member == d.Member && q.MilliProcessors < d.Resources.MilliProcessors {
			return &inventory.FieldError{
				Field: "resources.milli_processors", Value: strconv.FormatInt(d.Resources.MilliProcessors, 10),
				Reason: fmt.Sprintf("is more than the quota of member %q allows here (%d)", d.Member, q.MilliProcessors),
			}
		}
	}
	if len(machines) == 0 {
		return nil
	}
	fits, avoided := false, ""
	for i := range machines {
		m := &machines[i]
		if m.Capacity != (inventory.Resources{}) && !d.Resources.Fits(m.Capacity) {
			continue
		}
		fits = true
		service := firstCommon(d.Avoid, m.Services)
		if service == "" {
			return nil
		}
		avoided = service
	}
	if fits {
		return &inventory.FieldError{
			Field: "avoid", Value: strings.Join(d.Avoid, ","),
			Reason: fmt.Sprintf("leaves no VM that is large enough: each has a target of these services, such as %q", avoided),
		}
	}
	return capacityError(d.Resources, machines)
}

// firstCommon returns the first name of a that b also contains, or "".
func firstCommon(a, b []string) string {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return x
			}
		}
	}
	return ""
}

// capacityError returns the error that names the dimension in which no machine
// is large enough.
func capacityError(r inventory.Resources, machines []Machine) error {
	var largest inventory.Resources
	for i := range machines {
		largest = maxResources(largest, machines[i].Capacity)
	}
	dimensions := []struct {
		field         string
		want, largest int64
	}{
		{"resources.accelerators", r.Accelerators, largest.Accelerators},
		{"resources.milli_processors", r.MilliProcessors, largest.MilliProcessors},
		{"resources.memory_mb", r.MemoryMB, largest.MemoryMB},
	}
	for _, d := range dimensions {
		if d.want > d.largest {
			return &inventory.FieldError{
				Field: d.field, Value: strconv.FormatInt(d.want, 10),
				Reason: fmt.Sprintf("is more than any VM can give to a task (%d)", d.largest),
			}
		}
	}
	return &inventory.FieldError{
		Field:  "resources",
		Value:  fmt.Sprintf("%d milli_processors, %d memory_mb, %d accelerators", r.MilliProcessors, r.MemoryMB, r.Accelerators),
		Reason: "is more than any one VM can give, though each amount alone is not",
	}
}

func maxResources(a, b inventory.Resources) inventory.Resources {
	return inventory.Resources{
		MilliProcessors: max(a.MilliProcessors, b.MilliProcessors),
		MemoryMB:        max(a.MemoryMB, b.MemoryMB),
		Accelerators:    max(a.Accelerators, b.Accelerators),
	}
}

func minResources(a, b inventory.Resources) inventory.Resources {
	return inventory.Resources{
		MilliProcessors: min(a.MilliProcessors, b.MilliProcessors),
		MemoryMB:        min(a.MemoryMB, b.MemoryMB),
		Accelerators:    min(a.Accelerators, b.Accelerators),
	}
}

// reject returns the pending tasks that can never run in the shard, and the
// rest. Each distinct capacity and set of services is checked once for each
// distinct demand.
func reject(in *Input) (rejected []Rejection, feasible []Demand) {
	shapes := DistinctMachines(in.Machines)
	results := map[feasibilityKey]error{}
	feasible = make([]Demand, 0, len(in.Pending))
	for _, d := range in.Pending {
		key := feasibilityKey{d.Member, strings.Join(d.Avoid, ","), d.Resources}
		err, ok := results[key]
		if !ok {
			err = CheckFeasible(d, shapes, in.Quotas)
			results[key] = err
		}
		if err != nil {
			rejected = append(rejected, Rejection{Task: d.Task, Reason: err.Error()})
			continue
		}
		feasible = append(feasible, d)
	}
	return rejected, feasible
}

// feasibilityKey is the properties of a demand that CheckFeasible uses.
type feasibilityKey struct {
	member, avoid string
	resources     inventory.Resources
}

// DistinctMachines returns one machine for each distinct capacity and set of
// services, which are all that CheckFeasible uses.
func DistinctMachines(machines []Machine) []Machine {
	type shape struct {
		capacity inventory.Resources
		services string
	}
	seen := map[shape]bool{}
	var shapes []Machine
	for i := range machines {
		key := shape{machines[i].Capacity, strings.Join(machines[i].Services, ",")}
		if !seen[key] {
			seen[key] = true
			shapes = append(shapes, machines[i])
		}
	}
	return shapes
}
