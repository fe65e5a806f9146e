//go:build review3

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line for each event.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
	_, _ = r.file.WriteString(line) // a record that cannot be written shows as a short one
	fmt.Fprint(os.Stderr, line)
}

// at returns a time in seconds from the start of the record.
func (r *record) at(t time.Time) float64 { return t.Sub(r.started).Seconds() }
