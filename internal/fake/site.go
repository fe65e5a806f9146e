package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/intake"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/job"
)

// Site is a complete stand-in platform in one process: a row store with a
// configuration, workers and their entries in the worker list. It serves the
// platform's published protocol over HTTP, usually on loopback addresses.
type Site struct {
	// StoreAddress is the IP address and port of the store. The workers are served
	// on the ports after it.
	StoreAddress string
	// Workers is the number of workers.
	Workers int
	// TaskDuration is how long every task runs.
	TaskDuration time.Duration
}

// siteCapacity is the capacity of each worker.
var siteCapacity = job.Resources{MilliCPU: 8000, MemoryMB: 16000}

// sitePool is the pool of all workers; siteQueue is the only queue.
const (
	sitePool  = "desk"
	siteQueue = "scans"
)

// Serve starts the site and returns. It is served until the process ends.
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
	mux.HandleFunc("GET /breaches", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, http.StatusOK, fleet.Violations()) })
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
		panic(err) // cannot happen: the values are strings and numbers
	}
	return encoded
}

const (
	readHeaderTimeout = 5 * time.Second
	// maxRequestBytes bounds a request's body. The largest is a document that daemons accept.
	maxRequestBytes = 33 << 20
)

// listenerName is the name under which all listeners of the stand-ins share limits.
const listenerName = "stand_ins"

// sharedGate returns the limits of what the clients of all listeners may hold.
var sharedGate = sync.OnceValues(func() (*gate.Gate, error) {
	limits := intake.Limits{listenerName: {Connections: 1024, SharedBytes: maxRequestBytes + maxRequestBytes/8}}
	return gate.New(limits, metrics.NewRegistry(), log.Log)
})

// Listen starts to serve h at address and returns. It is served until the process
// ends. Handlers find the whole body of a request in memory.
func Listen(address string, h http.Handler) error {
	g, err := sharedGate()
	if err != nil {
		return err
	}
	listener, err := g.Listen(address, listenerName)
	if err != nil {
		return err
	}
	server := g.Server(g.BufferBodies(h, maxRequestBytes))
	server.ReadHeaderTimeout = readHeaderTimeout
	go func() { _ = server.Serve(listener) }() // ends with the process
	return nil
}
