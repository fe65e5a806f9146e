package inventory_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/inventory"
)

const header = "vm,region,data_centre,rack,worker_address,milli_processors,memory_mb,accelerators,reserved_milli_processors,reserved_memory_mb,service,target_address,slots,connections\n"

func TestRegisterNamesLineColumnAndValue(t *testing.T) {
	for _, c := range []struct{ rows, want string }{
		{"w1,hobart,h1,r1,127.0.0.1:1,64000,250000,many,0,0,,,,\n", `line 2: field accelerators: value "many" is not a whole number`},
		{"w1,hobart,h1,r1,127.0.0.1:1,1,1,,,,,,,\nw2,hobart,h2,r1,127.0.0.1:2,1,1,,,,,,,\n", `line 3: field rack: value "r1" is already a rack of data centre "h1"`},
		{"w1,hobart,h1,r1,127.0.0.1:1,1,1,,,,,,,\nw2,perth,h1,r2,127.0.0.1:2,1,1,,,,,,,\n", `line 3: field data_centre: value "h1" is already a data centre of region "hobart"`},
		{"w1,hobart,h1,r1,127.0.0.1:1,1,1,,,,,,,\nw1,hobart,h1,r1,127.0.0.1:1,2,1,,,,,,,\n", `line 3: field vm: value "w1" is described otherwise in an earlier row`},
		{"w1,hobart\n", "the register cannot be read: record on line 2: wrong number of fields"},
	} {
		_, err := inventory.ReadRegister(strings.NewReader(header + c.rows))
		if err == nil || err.Error() != c.want {
			t.Errorf("got %v, want %s", err, c.want)
		}
	}
	_, err := inventory.ReadRegister(strings.NewReader(strings.Replace(header, "rack", "shelf", 1)))
	is.New(t).Equal(err.Error(), "column \"shelf\" is not known\ncolumn \"rack\" does not exist in the register")
}

// TestRegisterRoundTrip writes a random number of VMs as a register, reads it and
// compares the inventory.
func TestRegisterRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "VMs")
		var b strings.Builder
		b.WriteString(header)
		for i := range n {
			dc := i % 3
			fmt.Fprintf(&b, "w%d,region-%d,dc-%d,dc-%d-rack-%d,127.0.0.1:%d,%d,100,0,0,0,s%d,127.0.0.1:%d,8,64\n",
				i, dc%2, dc, dc, i%2, 1000+i, 100+i, i%2, 2000+i)
		}
		inv, err := inventory.ReadRegister(strings.NewReader(b.String()))
		if err != nil {
			t.Fatal(err)
		}
		if err := inventory.Check(inv); err != nil {
			t.Fatal(err)
		}
		if len(inv.VMs) != n || len(inv.Locations()) != len(racksOf(inv)) {
			t.Fatalf("%d VMs and %d racks", len(inv.VMs), len(inv.Locations()))
		}
		for i, vm := range inv.VMs {
			if vm.Capacity.MilliProcessors != int64(100+i) {
				t.Fatalf("VM %s has %d", vm.Name, vm.Capacity.MilliProcessors)
			}
		}
	})
}

func racksOf(inv inventory.Inventory) map[string]bool {
	racks := map[string]bool{}
	for _, vm := range inv.VMs {
		racks[vm.Rack] = true
	}
	return racks
}

func TestCapacityBelowCommittedResourcesIsRejected(t *testing.T) {
	is := is.New(t)
	vm := inventory.VM{Name: "w1", Capacity: inventory.Resources{MilliProcessors: 4000, MemoryMB: 100}, Reserved: inventory.Resources{MilliProcessors: 1000}}
	inv := inventory.Inventory{VMs: []inventory.VM{vm}}
	held := map[string]inventory.Resources{"w1": {MilliProcessors: 3000, MemoryMB: 100}}
	is.NoErr(inventory.CheckCommitted(inv, held))
	inv.VMs[0].Capacity.MilliProcessors = 3999
	is.Equal(inventory.CheckCommitted(inv, held).Error(),
		`field inventory.vms[0].capacity: value "{3999 100 0}" is below what tasks on VM "w1" hold besides the reserve: {3000 100 0}`)
	inv.VMs[0].Name = "w2"
	is.Equal(inventory.CheckCommitted(inv, held).Error(), `field inventory.vms: value "w1" is left out but holds tasks; drain it first`)
}

func ExampleCheck() {
	vm := inventory.VM{Name: "w1", Rack: "r9", WorkerAddress: "127.0.0.1:21001", Capacity: inventory.Resources{MilliProcessors: 1000, MemoryMB: 100}}
	fmt.Println(inventory.Check(inventory.Inventory{VMs: []inventory.VM{vm}}))
	// Output: field vms[0].rack: value "r9" does not exist in any data centre
}
