package inventory

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Columns of the asset register's CSV file. Each row is one target of a service
// on a VM; a VM without services has one row with empty service columns.
const (
	ColumnVM                      = "vm"
	ColumnRegion                  = "region"
	ColumnDataCentre              = "data_centre"
	ColumnRack                    = "rack"
	ColumnWorkerAddress           = "worker_address"
	ColumnMilliProcessors         = "milli_processors"
	ColumnMemoryMB                = "memory_mb"
	ColumnAccelerators            = "accelerators"
	ColumnReservedMilliProcessors = "reserved_milli_processors"
	ColumnReservedMemoryMB        = "reserved_memory_mb"
	ColumnService                 = "service"
	ColumnTargetAddress           = "target_address"
	ColumnSlots                   = "slots"
	ColumnConnections             = "connections"
)

var columns = []string{
	ColumnVM, ColumnRegion, ColumnDataCentre, ColumnRack, ColumnWorkerAddress,
	ColumnMilliProcessors, ColumnMemoryMB, ColumnAccelerators,
	ColumnReservedMilliProcessors, ColumnReservedMemoryMB,
	ColumnService, ColumnTargetAddress, ColumnSlots, ColumnConnections,
}

// ColumnError reports a missing, unknown or duplicate column of the register.
type ColumnError struct {
	Column string
	Reason string
}

// Error implements error.
func (e *ColumnError) Error() string { return fmt.Sprintf("column %q %s", e.Column, e.Reason) }

// ReadRegister reads the asset register's CSV file, whose columns may be in any
// order. It returns the invalid fields as joined *FieldError and the invalid
// columns as joined *ColumnError; a file that is not valid CSV gives another error.
func ReadRegister(r io.Reader) (Inventory, error) {
	reader := csv.NewReader(r)
	header, err := reader.Read()
	if err != nil {
		return Inventory{}, fmt.Errorf("the register's header cannot be read: %w", err)
	}
	index, err := columnIndex(header)
	if err != nil {
		return Inventory{}, err
	}
	b := newBuilder()
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Inventory{}, fmt.Errorf("the register cannot be read: %w", err)
		}
		line, _ := reader.FieldPos(0)
		b.addRow(row{builder: b, index: index, fields: fields, line: line})
	}
	return b.inv, errors.Join(b.errs...)
}

// columnIndex returns the index of each column in the header, or joined
// *ColumnError.
func columnIndex(header []string) (map[string]int, error) {
	known := make(map[string]bool, len(columns))
	for _, c := range columns {
		known[c] = true
	}
	var errs []error
	index := make(map[string]int, len(header))
	for i, c := range header {
		if !known[c] {
			errs = append(errs, &ColumnError{c, "is not known"})
		}
		if _, duplicate := index[c]; duplicate {
			errs = append(errs, &ColumnError{c, "appears twice"})
		}
		index[c] = i
	}
	for _, c := range columns {
		if _, ok := index[c]; !ok {
			errs = append(errs, &ColumnError{c, "does not exist in the register"})
		}
	}
	return index, errors.Join(errs...)
}

// row is one row of the register after the header.
type row struct {
	builder *builder
	index   map[string]int
	fields  []string
	line    int
}

func (r row) text(column string) string { return r.fields[r.index[column]] }

// number parses a column as an integer; an empty field is zero.
func (r row) number(column string) int64 {
	text := r.text(column)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.addError(column, "is not a whole number")
	}
	return n
}

// addError records a *FieldError for a column of the row.
func (r row) addError(column, reason string) {
	r.builder.errs = append(r.builder.errs, &FieldError{Line: r.line, Field: column, Value: r.text(column), Reason: reason})
}

func (r row) vm() VM {
	return VM{
		Name:          r.text(ColumnVM),
		Rack:          r.text(ColumnRack),
		WorkerAddress: r.text(ColumnWorkerAddress),
		Capacity: Resources{
			MilliProcessors: r.number(ColumnMilliProcessors),
			MemoryMB:        r.number(ColumnMemoryMB),
			Accelerators:    r.number(ColumnAccelerators),
		},
		Reserved: Resources{
			MilliProcessors: r.number(ColumnReservedMilliProcessors),
			MemoryMB:        r.number(ColumnReservedMemoryMB),
		},
	}
}

// builder assembles an inventory row by row.
type builder struct {
	inv      Inventory
	errs     []error
	regions  map[string]int    // index in inv.Regions
	centres  map[string]string // data centre to region
	racks    map[string]string // rack to data centre
	vms      map[string]VM
	services map[string]int // index in inv.Services
}

func newBuilder() *builder {
	return &builder{
		regions: map[string]int{}, centres: map[string]string{}, racks: map[string]string{},
		vms: map[string]VM{}, services: map[string]int{},
	}
}

func (b *builder) addRow(r row) {
	b.addLocation(r)
	b.addVM(r)
	if r.text(ColumnService) != "" {
		b.addTarget(r)
	}
}

// addLocation adds the row's region, data centre and rack, and records an error
// if an earlier row put them elsewhere.
func (b *builder) addLocation(r row) {
	region, centre, rack := r.text(ColumnRegion), r.text(ColumnDataCentre), r.text(ColumnRack)
	if _, ok := b.regions[region]; !ok {
		b.regions[region] = len(b.inv.Regions)
		b.inv.Regions = append(b.inv.Regions, Region{Name: region})
	}
	current := &b.inv.Regions[b.regions[region]]
	if other, ok := b.centres[centre]; !ok {
		b.centres[centre] = region
		current.DataCentres = append(current.DataCentres, DataCentre{Name: centre})
	} else if other != region {
		r.addError(ColumnDataCentre, fmt.Sprintf("is already a data centre of region %q", other))
		return
	}
	other, ok := b.racks[rack]
	if ok && other != centre {
		r.addError(ColumnRack, fmt.Sprintf("is already a rack of data centre %q", other))
	}
	if ok {
		return
	}
	b.racks[rack] = centre
	for i := range current.DataCentres {
		if current.DataCentres[i].Name == centre {
			current.DataCentres[i].Racks = append(current.DataCentres[i].Racks, rack)
		}
	}
}

// addVM adds the row's VM, or checks that it equals the VM of an earlier row.
func (b *builder) addVM(r row) {
	vm := r.vm()
	earlier, ok := b.vms[vm.Name]
	if !ok {
		b.vms[vm.Name] = vm
		b.inv.VMs = append(b.inv.VMs, vm)
		return
	}
	if earlier != vm {
		r.addError(ColumnVM, "is described otherwise in an earlier row")
	}
}

// addTarget adds the row's target to its service.
func (b *builder) addTarget(r row) {
	name := r.text(ColumnService)
	if _, ok := b.services[name]; !ok {
		b.services[name] = len(b.inv.Services)
		b.inv.Services = append(b.inv.Services, Service{Name: name})
	}
	s := &b.inv.Services[b.services[name]]
	s.Targets = append(s.Targets, Target{
		VM: r.text(ColumnVM), Address: r.text(ColumnTargetAddress),
		Slots: int(r.number(ColumnSlots)), Connections: int(r.number(ColumnConnections)),
	})
}

// KeepDraining returns inv with the Draining marks of before, because the
// register does not contain them. It does not change its arguments.
func KeepDraining(inv, before Inventory) Inventory {
	old := before.ByName()
	vms := append([]VM(nil), inv.VMs...)
	for i := range vms {
		vms[i].Draining = old[vms[i].Name].Draining
	}
	inv.VMs = vms
	return inv
}
