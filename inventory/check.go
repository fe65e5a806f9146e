package inventory

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
)

// Check returns every error in the inventory, joined; each is a *FieldError.
func Check(inv Inventory) error {
	c := checker{racks: map[string]string{}, vmNames: map[string]bool{}, addresses: map[string]string{}}
	c.checkRegions(inv.Regions)
	c.checkVMs(inv.VMs)
	c.checkServices(inv.Services)
	return errors.Join(c.errs...)
}

// checker collects the errors and the names seen so far.
type checker struct {
	errs    []error
	racks   map[string]string // rack to data centre
	vmNames map[string]bool
	// addresses maps an address to a description of its user.
	addresses map[string]string
}

func (c *checker) addError(field, value, reason string) {
	c.errs = append(c.errs, &FieldError{Field: field, Value: value, Reason: reason})
}

func (c *checker) checkRegions(regions []Region) {
	names, centres := map[string]bool{}, map[string]bool{}
	for i, r := range regions {
		field := fmt.Sprintf("regions[%d].name", i)
		c.checkName(names, field, r.Name)
		for j, dc := range r.DataCentres {
			field := fmt.Sprintf("regions[%d].data_centres[%d]", i, j)
			c.checkName(centres, field+".name", dc.Name)
			for k, rack := range dc.Racks {
				if other, ok := c.racks[rack]; ok {
					c.addError(fmt.Sprintf("%s.racks[%d]", field, k), rack, fmt.Sprintf("is already a rack of data centre %q", other))
				}
				c.racks[rack] = dc.Name
			}
		}
	}
}

func (c *checker) checkVMs(vms []VM) {
	for i, v := range vms {
		field := fmt.Sprintf("vms[%d]", i)
		c.checkName(c.vmNames, field+".name", v.Name)
		if _, ok := c.racks[v.Rack]; !ok {
			c.addError(field+".rack", v.Rack, "does not exist in any data centre")
		}
		c.checkAddress(field+".worker_address", v.WorkerAddress, "the worker of VM "+v.Name)
		c.checkReserved(field, v)
		if v.Capacity.MilliProcessors <= 0 {
			c.addError(field+".capacity.milli_processors", strconv.FormatInt(v.Capacity.MilliProcessors, 10), "must be positive")
		}
		if v.Capacity.MemoryMB <= 0 {
			c.addError(field+".capacity.memory_mb", strconv.FormatInt(v.Capacity.MemoryMB, 10), "must be positive")
		}
	}
}

func (c *checker) checkServices(services []Service) {
	names := map[string]bool{}
	for i, s := range services {
		field := fmt.Sprintf("services[%d]", i)
		c.checkName(names, field+".name", s.Name)
		if len(s.Targets) == 0 {
			c.addError(field+".targets", "", "must name at least one target")
		}
		for j, t := range s.Targets {
			field := fmt.Sprintf("%s.targets[%d]", field, j)
			if !c.vmNames[t.VM] {
				c.addError(field+".vm", t.VM, "does not exist in vms")
			}
			c.checkAddress(field+".address", t.Address, "a target of service "+s.Name)
			if t.Slots <= 0 {
				c.addError(field+".slots", strconv.Itoa(t.Slots), "must be positive")
			}
			if t.Connections < t.Slots {
				c.addError(field+".connections", strconv.Itoa(t.Connections), "must be at least the number of slots")
			}
		}
	}
}

// checkName checks that name is neither empty nor in seen, and adds it to seen.
func (c *checker) checkName(seen map[string]bool, field, name string) {
	if name == "" {
		c.addError(field, name, "must not be empty")
		return
	}
	if seen[name] {
		c.addError(field, name, "is used twice")
	}
	seen[name] = true
}

// checkReserved checks a VM's accelerators and reserved resources.
func (c *checker) checkReserved(field string, v VM) {
	if v.Capacity.Accelerators < 0 {
		c.addError(field+".capacity.accelerators", strconv.FormatInt(v.Capacity.Accelerators, 10), "must not be negative")
	}
	if !(Resources{}).Fits(v.Reserved) {
		c.addError(field+".reserved", fmt.Sprint(v.Reserved), "must not be negative")
	}
	if !v.Reserved.Fits(v.Capacity) {
		c.addError(field+".reserved", fmt.Sprint(v.Reserved), "is more than the capacity")
	}
}

// checkAddress checks that value is an IP address with a port that nothing else
// uses; owner describes its user in errors.
func (c *checker) checkAddress(field, value, owner string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addError(field, value, "is not an IP number with a port")
		return
	}
	if other, ok := c.addresses[value]; ok {
		c.addError(field, value, "is already the address of "+other)
	}
	c.addresses[value] = owner
}

// CheckCommitted returns a joined *FieldError for every VM whose usable capacity
// is below the resources committed to its tasks, and for every VM with committed
// resources that inv lacks. committed is by VM name.
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
