package batch

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"github.com/bambooyard/bambooyard/inventory"
)

// Limits of one job.
const (
	maxTasksPerJob  = 1000
	maxNameBytes    = 200
	maxAvoid        = 32
	maxPayloadBytes = 64 << 10
	maxRunTimeMS    = 30 * 24 * 3600 * 1000
)

// jobChecker collects the validation errors of a job.
type jobChecker struct{ errs []error }

func (c *jobChecker) add(field, value, reason string) {
	c.errs = append(c.errs, &inventory.FieldError{Field: field, Value: value, Reason: reason})
}

func (c *jobChecker) inRange(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, strconv.FormatInt(value, 10), fmt.Sprintf("must be between %d and %d", low, high))
	}
}

func (c *jobChecker) positive(field string, value int64) {
	if value <= 0 {
		c.add(field, strconv.FormatInt(value, 10), "must be positive")
	}
}

func (c *jobChecker) notNegative(field string, value int64) {
	if value < 0 {
		c.add(field, strconv.FormatInt(value, 10), "must not be negative")
	}
}

// checkName checks a string that becomes part of a row key or of a report.
func (c *jobChecker) checkName(field, value string) {
	if len(value) > maxNameBytes {
		c.add(field, value[:maxNameBytes], fmt.Sprintf("is cut here and longer than %d bytes", maxNameBytes))
	}
	if strings.ContainsRune(value, '/') || strings.ContainsFunc(value, unicode.IsControl) {
		c.add(field, value, "must not hold a slash or a control character")
	}
}

// Check returns all validation errors of the job, joined; each is an
// *inventory.FieldError.
func (j Job) Check() error {
	c := &jobChecker{}
	for _, f := range []struct{ field, value string }{{"member", j.Member}, {"key", j.Key}} {
		if f.value == "" {
			c.add(f.field, f.value, "must not be empty")
		}
		c.checkName(f.field, f.value)
	}
	if strings.Contains(j.Member, ":") {
		c.add("member", j.Member, "must not hold a colon, which ends the member in a job's ID")
	}
	c.checkName("kind", j.Kind)
	c.inRange("tasks", int64(j.Tasks), 1, maxTasksPerJob)
	c.positive("resources.milli_processors", j.Resources.MilliProcessors)
	c.notNegative("resources.memory_mb", j.Resources.MemoryMB)
	c.notNegative("resources.accelerators", j.Resources.Accelerators)
	c.inRange("run_time_ms", j.RunTimeMS, 1, maxRunTimeMS)
	c.notNegative("deadline_unix_ms", j.DeadlineUnixMS)
	c.inRange("avoid (length)", int64(len(j.Avoid)), 0, maxAvoid)
	if len(j.Payload) > maxPayloadBytes {
		c.add("payload (bytes)", strconv.Itoa(len(j.Payload)), fmt.Sprintf("must be at most %d", maxPayloadBytes))
	}
	if j.Shard != "" {
		c.add("shard", j.Shard, "is chosen at acceptance and must be empty")
	}
	return errors.Join(c.errs...)
}
