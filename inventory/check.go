package inventory

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
)

// Check returns every mistake in the inventory, joined; each is a *FieldError.
func Check(inv Inventory) error {
	c := checker{racks: map[string]string{}, vms: map[string]bool{}, addresses: map[string]string{}}
	c.regions(inv.Regions)
	c.machines(inv.VMs)
	c.services(inv.Services)
	return errors.Join(c.errs...)
}

type checker struct {
	errs  []error
	racks map[string]string // rack to data centre
	vms   map[string]bool
	// addresses is by whom an address is used.
	addresses map[string]string
}

func (c *checker) add(field, value, reason string) {
	c.errs = append(c.errs, &FieldError{Field: field, Value: value, Reason: reason})
}

func (c *checker) regions(regions []Region) {
	names, centres := map[string]bool{}, map[string]bool{}
	for i, r := range regions {
		field := fmt.Sprintf("regions[%d].name", i)
		c.unique(names, field, r.Name)
		for j, dc := range r.DataCentres {
			field := fmt.Sprintf("regions[%d].data_centres[%d]", i, j)
			c.unique(centres, field+".name", dc.Name)
			for k, rack := range dc.Racks {
				if other, ok := c.racks[rack]; ok {
					c.add(fmt.Sprintf("%s.racks[%d]", field, k), rack, fmt.Sprintf("is already a rack of data centre %q", other))
				}
				c.racks[rack] = dc.Name
			}
		}
	}
}

func (c *checker) machines(vms []VM) {
	for i, v := range vms {
		field := fmt.Sprintf("vms[%d]", i)
		c.unique(c.vms, field+".name", v.Name)
		if _, ok := c.racks[v.Rack]; !ok {
			c.add(field+".rack", v.Rack, "does not exist in any data centre")
		}
		c.address(field+".worker_address", v.WorkerAddress, "the worker of VM "+v.Name)
		c.reserve(field, v)
		if v.Capacity.MilliProcessors <= 0 {
			c.add(field+".capacity.milli_processors", strconv.FormatInt(v.Capacity.MilliProcessors, 10), "must be positive")
		}
		if v.Capacity.MemoryMB <= 0 {
			c.add(field+".capacity.memory_mb", strconv.FormatInt(v.Capacity.MemoryMB, 10), "must be positive")
		}
	}
}

func (c *checker) services(services []Service) {
	names := map[string]bool{}
	for i, s := range services {
		field := fmt.Sprintf("services[%d]", i)
		c.unique(names, field+".name", s.Name)
		if len(s.Targets) == 0 {
			c.add(field+".targets", "", "must name at least one target")
		}
		for j, t := range s.Targets {
			field := fmt.Sprintf("%s.targets[%d]", field, j)
			if !c.vms[t.VM] {
				c.add(field+".vm", t.VM, "does not exist in vms")
			}
			c.address(field+".address", t.Address, "a target of service "+s.Name)
			if t.Slots <= 0 {
				c.add(field+".slots", strconv.Itoa(t.Slots), "must be positive")
			}
			if t.Connections < t.Slots {
				c.add(field+".connections", strconv.Itoa(t.Connections), "must be at least the number of slots")
			}
		}
	}
}

func (c *checker) unique(seen map[string]bool, field, name string) {
	if name == "" {
		c.add(field, name, "must not be empty")
		return
	}
	if seen[name] {
		c.add(field, name, "is used twice")
	}
	seen[name] = true
}

// reserve checks what is kept of a VM and its accelerators.
func (c *checker) reserve(field string, v VM) {
	if v.Capacity.Accelerators < 0 {
		c.add(field+".capacity.accelerators", strconv.FormatInt(v.Capacity.Accelerators, 10), "must not be negative")
	}
	if !(Resources{}).Fits(v.Reserved) {
		c.add(field+".reserved", fmt.Sprint(v.Reserved), "must not be negative")
	}
	if !v.Reserved.Fits(v.Capacity) {
		c.add(field+".reserved", fmt.Sprint(v.Reserved), "is more than the capacity")
	}
}

// address checks that value is an address which nothing else uses.
func (c *checker) address(field, value, user string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, value, "is not an IP number with a port")
		return
	}
	if other, ok := c.addresses[value]; ok {
		c.add(field, value, "is already the address of "+other)
	}
	c.addresses[value] = user
}

// CheckCommitted returns a *FieldError for every VM whose usable part is less
// than what tasks hold of it; committed is by VM name. A VM that holds tasks
// must not be left out.
func CheckCommitted(inv Inventory, committed map[string]Resources) error {
	var errs []error
	known := make(map[string]bool, len(inv.VMs))
	for i, vm := range inv.VMs {
		known[vm.Name] = true
		if held := committed[vm.Name]; !held.Fits(vm.Usable()) {
			errs = append(errs, &FieldError{
				Field:  fmt.Sprintf("inventory.vms[%d].capacity", i),
				Value:  fmt.Sprint(vm.Capacity),
				Reason: fmt.Sprintf("is below what tasks on VM %q hold besides the reserve: %v", vm.Name, held),
			})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(committed)) {
		if !known[name] && committed[name] != (Resources{}) {
			errs = append(errs, &FieldError{Field: "inventory.vms", Value: name, Reason: "is left out but holds tasks; drain it first"})
		}
	}
	return errors.Join(errs...)
}
