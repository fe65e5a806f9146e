// Package inventory describes the VMs, racks, data centres, regions and services
// of an installation, validates such a description, and reads it from the asset
// register.
package inventory

import "fmt"

// Inventory lists the hardware and services of an installation.
type Inventory struct {
	Regions  []Region  `yaml:"regions" json:"regions"`
	VMs      []VM      `yaml:"vms" json:"vms"`
	Services []Service `yaml:"services" json:"services"`
}

// Region is a group of data centres connected by low-latency links.
type Region struct {
	Name        string       `yaml:"name" json:"name"`
	DataCentres []DataCentre `yaml:"data_centres" json:"data_centres"`
}

// DataCentre is a group of racks.
type DataCentre struct {
	Name  string   `yaml:"name" json:"name"`
	Racks []string `yaml:"racks" json:"racks"`
}

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// MilliProcessors is in thousandths of a processor.
	MilliProcessors int64 `yaml:"milli_processors" json:"milli_processors"`
	// MemoryMB is in units of 1,000,000 bytes.
	MemoryMB int64 `yaml:"memory_mb" json:"memory_mb"`
	// Accelerators is a count of whole devices.
	Accelerators int64 `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
}

// VM is one worker machine.
type VM struct {
	Name string `yaml:"name" json:"name"`
	Rack string `yaml:"rack" json:"rack"`
	// WorkerAddress is the IP address and port of the VM's worker.
	WorkerAddress string    `yaml:"worker_address" json:"worker_address"`
	Capacity      Resources `yaml:"capacity" json:"capacity"`
	// Reserved is the part of Capacity that is kept for latency-critical
	// services and never assigned to batch tasks.
	Reserved Resources `yaml:"reserved,omitempty" json:"reserved,omitempty"`
	// Draining is set when the VM must receive no new work.
	Draining bool `yaml:"draining,omitempty" json:"draining,omitempty"`
}

// Service is a latency-critical service.
type Service struct {
	Name    string   `yaml:"name" json:"name"`
	Targets []Target `yaml:"targets" json:"targets"`
}

// Target is one runner of a service on a VM.
type Target struct {
	VM string `yaml:"vm" json:"vm"`
	// Address is the IP address and port of the runner.
	Address string `yaml:"address" json:"address"`
	// Slots is the number of requests that the runner processes concurrently.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is the number of open connections that the runner accepts.
	Connections int `yaml:"connections" json:"connections"`
}

// Location is the region, data centre and rack of a VM.
type Location struct {
	Region, DataCentre, Rack string
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliProcessors + o.MilliProcessors, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference of two amounts.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliProcessors - o.MilliProcessors, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliProcessors <= o.MilliProcessors && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Usable returns the capacity that batch tasks may use.
func (v VM) Usable() Resources { return v.Capacity.Sub(v.Reserved) }

// ByName returns the VMs by name.
func (inv Inventory) ByName() map[string]VM {
	vms := make(map[string]VM, len(inv.VMs))
	for _, vm := range inv.VMs {
		vms[vm.Name] = vm
	}
	return vms
}

// Locations returns the location of each rack, by rack name.
func (inv Inventory) Locations() map[string]Location {
	locations := make(map[string]Location)
	for _, r := range inv.Regions {
		for _, dc := range r.DataCentres {
			for _, rack := range dc.Racks {
				locations[rack] = Location{Region: r.Name, DataCentre: dc.Name, Rack: rack}
			}
		}
	}
	return locations
}

// FieldError reports an invalid value of a field of a document or register.
type FieldError struct {
	// Line is the field's line in the file, or zero if it is unknown.
	Line int
	// Field is the path of the field, such as `vms[3].rack`, or the column of
	// the register.
	Field string
	// Value is the value as written.
	Value string
	// Reason completes the sentence that begins with the field and its value.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	text := fmt.Sprintf("field %s: value %q %s", e.Field, e.Value, e.Reason)
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %s", e.Line, text)
	}
	return text
}
