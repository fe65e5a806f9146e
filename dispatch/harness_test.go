package dispatch

import (
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

var testOptions = Options{MaxLease: 6 * time.Second, StartWindow: 1500 * time.Millisecond, MaxViolation: 4 * time.Second}

// worker returns the entry of a healthy worker.
func worker(id string, milliCPU, memoryMB int64) port.WorkerEntry {
	return port.WorkerEntry{
		ID: id, Pool: "pool", Address: id + ":1", Boot: 1, Labels: []string{"a", "r1"}, Rack: "r1",
		Capacity: job.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB},
	}
}
