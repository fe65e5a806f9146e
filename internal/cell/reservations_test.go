package cell

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/job"
)

// Guards against reservations for large tasks that operators cannot see: why a worker stays
// idle, and whether the task was started there.
func TestReservationsAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	registry, lines := metrics.NewRegistry(), memory.New()
	tm := &term{c: &Cell{instruments: newInstruments(registry)}, log: &log.Logger{Handler: lines, Level: log.InfoLevel}}
	task := &dispatch.Task{ID: job.TaskID{Job: "large"}}
	tm.observeReservations([]dispatch.ReservationEvent{
		{Task: task, Workers: []string{"a", "b"}, ExpectedIn: 2 * time.Second},
		{Task: task, Workers: []string{"a", "b"}, End: dispatch.ReservationOverdue, Held: 3 * time.Second},
	})
	is.Equal(len(lines.Entries), 2)
	is.Equal(lines.Entries[0].Fields, log.Fields{"event": "reservation_made", "task": "large.0.0.0", "workers": "a,b", "expected_in_ms": int64(2000)})
	is.Equal(lines.Entries[1].Fields, log.Fields{"event": "reservation_ended", "task": "large.0.0.0", "workers": "a,b", "reason": "overdue", "held_ms": int64(3000)})
	count := func(name string) int64 { return registry.Get(name).(metrics.Counter).Count() }
	is.Equal(count("cell.reservations_made"), int64(1))
	is.Equal(count("cell.reservations_ended.overdue"), int64(1))
	is.Equal(count("cell.reservations_ended.used"), int64(0)) // registered before the first one
}
