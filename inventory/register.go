package inventory

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Columns of the asset register's CSV. There is one row for each VM and
// service, or one for a VM without services, whose service columns are empty.
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

// ColumnError reports a column that the register lacks or does not know.
type ColumnError struct {
	Column string
	Reason string
}

// Error implements error.
func (e *ColumnError) Error() string { return fmt.Sprintf("column %q %s", e.Column, e.Reason) }

// ReadRegister reads the asset register's CSV, in any order of its columns. It
// returns every mistake, joined; each names line, column and value.
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
		b.add(row{builder: b, index: index, fields: fields, line: line})
	}
	return b.inv, errors.Join(b.errs...)
}

// columnIndex returns where each column stands.
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
		if _, twice := index[c]; twice {
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

// row is one line of the register.
type row struct {
	builder *builder
	index   map[string]int
	fields  []string
	line    int
}

func (r row) text(column string) string { return r.fields[r.index[column]] }

// number reads a whole number; an empty field is zero.
func (r row) number(column string) int64 {
	text := r.text(column)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.fail(column, "is not a whole number")
	}
	return n
}

func (r row) fail(column, reason string) {
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

// builder puts an inventory together row by row.
type builder struct {
	inv      Inventory
	errs     []error
	regions  map[string]int    // place in inv.Regions
	centres  map[string]string // data centre to region
	racks    map[string]string // rack to data centre
	vms      map[string]VM
	services map[string]int // place in inv.Services
}

func newBuilder() *builder {
	return &builder{
		regions: map[string]int{}, centres: map[string]string{}, racks: map[string]string{},
		vms: map[string]VM{}, services: map[string]int{},
	}
}

func (b *builder) add(r row) {
	b.place(r)
	b.machine(r)
	if r.text(ColumnService) != "" {
		b.target(r)
	}
}

// place adds the row's region, data centre and rack.
func (b *builder) place(r row) {
	region, centre, rack := r.text(ColumnRegion), r.text(ColumnDataCentre), r.text(ColumnRack)
	if _, ok := b.regions[region]; !ok {
		b.regions[region] = len(b.inv.Regions)
		b.inv.Regions = append(b.inv.Regions, Region{Name: region})
	}
	in := &b.inv.Regions[b.regions[region]]
	if other, ok := b.centres[centre]; !ok {
		b.centres[centre] = region
		in.DataCentres = append(in.DataCentres, DataCentre{Name: centre})
	} else if other != region {
		r.fail(ColumnDataCentre, fmt.Sprintf("is already a data centre of region %q", other))
		return
	}
	other, ok := b.racks[rack]
	if ok && other != centre {
		r.fail(ColumnRack, fmt.Sprintf("is already a rack of data centre %q", other))
	}
	if ok {
		return
	}
	b.racks[rack] = centre
	for i := range in.DataCentres {
		if in.DataCentres[i].Name == centre {
			in.DataCentres[i].Racks = append(in.DataCentres[i].Racks, rack)
		}
	}
}

// machine adds the row's VM, or checks that an earlier row said the same of it.
func (b *builder) machine(r row) {
	vm := r.vm()
	before, ok := b.vms[vm.Name]
	if !ok {
		b.vms[vm.Name] = vm
		b.inv.VMs = append(b.inv.VMs, vm)
		return
	}
	if before != vm {
		r.fail(ColumnVM, "is described otherwise in an earlier row")
	}
}

func (b *builder) target(r row) {
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

// KeepDraining marks the VMs of inv that drain in before, since the register
// does not know of it.
func KeepDraining(inv, before Inventory) Inventory {
	old := before.ByName()
	vms := append([]VM(nil), inv.VMs...)
	for i := range vms {
		vms[i].Draining = old[vms[i].Name].Draining
	}
	inv.VMs = vms
	return inv
}
