package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// maxBroken bounds the breaches that are written in full.
const maxBroken = 20

// breach records that a rule was broken.
func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	n := len(r.broken)
	r.mu.Unlock()
	if n <= maxBroken {
		r.logf("BROKEN %s", text)
	}
}

func (r *record) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}
