package operator

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/inventory"
)

// Target is one target with its state in this daemon.
type Target struct {
	Service  string   `json:"service"`
	VM       string   `json:"vm"`
	Address  string   `json:"address"`
	Location Location `json:"place"`
	State    string   `json:"state"`
	Slots    int      `json:"slots"`
	InFlight int      `json:"in_flight"`
}

// Location is the topology of a VM: its region, data centre and rack.
type Location struct {
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
}

// Worker is one VM of the inventory.
type Worker struct {
	VM       string              `json:"vm"`
	Location Location            `json:"place"`
	Capacity inventory.Resources `json:"capacity"`
	// Usable is the part of the capacity that batch tasks may use.
	Usable inventory.Resources `json:"usable"`
	// Committed is what batch tasks hold, as far as the owners of their shards
	// answered.
	Committed inventory.Resources `json:"committed"`
	Draining  bool                `json:"draining"`
}

// targets answers with the targets of all services.
func (s *Server) targets(c *gin.Context) {
	list, err := s.opts.Targets(c.Request.Context())
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(http.StatusOK, list)
}

// workers answers with the VMs of the document that this daemon has adopted.
func (s *Server) workers(c *gin.Context) {
	inv := s.opts.Publisher.Load().Document.Inventory
	committed := map[string]inventory.Resources{}
	if s.opts.Committed != nil {
		held, err := s.opts.Committed(c.Request.Context())
		if err != nil {
			s.respondError(c, err)
			return
		}
		committed = held
	}
	locations := inv.Locations()
	list := make([]Worker, 0, len(inv.VMs))
	for _, vm := range inv.VMs {
		list = append(list, Worker{
			VM: vm.Name, Location: Location(locations[vm.Rack]), Capacity: vm.Capacity,
			Usable: vm.Usable(), Committed: committed[vm.Name], Draining: vm.Draining,
		})
	}
	c.JSON(http.StatusOK, list)
}
