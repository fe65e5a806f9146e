package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Site is a whole stand-in platform in one process: a store with a
// configuration, and workers with their entries. It speaks the platform's
// published protocol on loopback addresses.
type Site struct {
	// StoreAddress is where the store is served, and the workers on the ports
	// after it.
	StoreAddress string
	Workers      int
	// TaskDuration is how long every task runs.
	TaskDuration time.Duration
}

// Capacity of each stand-in worker.
var siteCapacity = job.Resources{MilliCPU: 8000, MemoryMB: 16000}

// sitePool is the workers' pool, and siteQueue the only queue.
const (
	sitePool  = "desk"
	siteQueue = "scans"
)

// Serve starts to serve. Listeners last as long as the process.
func (s Site) Serve() error {
	host, port, err := splitAddress(s.StoreAddress)
	if err != nil {
		return err
	}
	rows := NewRowStore()
	rows.Put("op", "", "config", encodeWire(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": siteQueue, "host": "desk.example", "pathPrefix": "/" + siteQueue + "/", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "service": sitePool, "maxAttempts": 3, "stretchFactor": 2,
		}},
	}))
	fleet := NewFleet(FleetOptions{Now: time.Now, TaskDuration: func(string) time.Duration { return s.TaskDuration }})
	for n := range s.Workers {
		address := fmt.Sprintf("%s:%d", host, port+1+n)
		fleet.Add(address, sitePool, siteCapacity)
		if err := Listen(address, FleetWorkers{fleet}.Handler(address)); err != nil {
			return err
		}
		rows.Put("servers", "", address, encodeWire(map[string]any{
			"service": sitePool, "address": address, "zone": "a", "state": "ready", "born": 1,
			"capacity": map[string]any{"cpu": siteCapacity.MilliCPU, "memMb": siteCapacity.MemoryMB},
			"labels":   []string{"plain", fmt.Sprintf("rack-%d", n%2)},
		}))
	}
	mux := http.NewServeMux()
	mux.Handle("/", rows.Handler())
	mux.HandleFunc("GET /breaches", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, fleet.Violations()) })
	return Listen(s.StoreAddress, mux)
}

func splitAddress(address string) (host string, port int, err error) {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return "", 0, err
	}
	return a.IP.String(), a.Port, nil
}

func encodeWire(body any) []byte {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // texts and numbers only
	}
	return encoded
}

const readHeaderTimeout = 5 * time.Second

// Listen serves a stand-in at an address for as long as the process runs.
func Listen(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return nil
}
