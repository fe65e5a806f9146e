// Package inventory describes the VMs, racks, data centres, regions and
// services that the operators run, and checks such a description.
package inventory

import "fmt"

// Inventory is what the operators' asset register lists.
type Inventory struct {
	Regions  []Region  `yaml:"regions" json:"regions"`
	VMs      []VM      `yaml:"vms" json:"vms"`
	Services []Service `yaml:"services" json:"services"`
}

// Region is a group of data centres joined by short links.
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
	// Reserved is kept for the VM's quick services and never given to batch tasks.
	Reserved Resources `yaml:"reserved,omitempty" json:"reserved,omitempty"`
	// Draining is set when the VM is to receive no new work.
	Draining bool `yaml:"draining,omitempty" json:"draining,omitempty"`
}

// Service is a quick service that callers may reach.
type Service struct {
	Name    string   `yaml:"name" json:"name"`
	Targets []Target `yaml:"targets" json:"targets"`
}

// Target is one runner of a service on a VM.
type Target struct {
	VM string `yaml:"vm" json:"vm"`
	// Address is the IP address and port of the runner.
	Address string `yaml:"address" json:"address"`
	// Slots is how many requests the runner works on at a time.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is how many open connections the runner accepts.
	Connections int `yaml:"connections" json:"connections"`
}

// Location is where a VM stands.
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

// Usable is what batch tasks may take of a VM.
func (v VM) Usable() Resources { return v.Capacity.Sub(v.Reserved) }

// ByName returns the VMs by name.
func (inv Inventory) ByName() map[string]VM {
	vms := make(map[string]VM, len(inv.VMs))
	for _, vm := range inv.VMs {
		vms[vm.Name] = vm
	}
	return vms
}

// Locations returns where each rack stands, by rack name.
func (inv Inventory) Locations() map[string]Location {
	places := make(map[string]Location)
	for _, r := range inv.Regions {
		for _, dc := range r.DataCentres {
			for _, rack := range dc.Racks {
				places[rack] = Location{Region: r.Name, DataCentre: dc.Name, Rack: rack}
			}
		}
	}
	return places
}

// FieldError reports a field of a document whose value is not allowed.
type FieldError struct {
	// Line is the field's line in the file, or zero if there is no file.
	Line int
	// Field is the path of the field, such as `vms[3].rack`.
	Field string
	// Value is the value as written.
	Value string
	// Reason says what is wrong with it.
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
