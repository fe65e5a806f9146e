// Package explain tells a job's story from the daemons' logs: every event that
// concerns the job, in order, and what is likely to be the cause of its outcome.
// It reads log lines and makes no calls.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Event is one log line.
type Event struct {
	At     time.Time
	Daemon string
	// Name is the kind of event.
	Name   string
	Fields map[string]string
}

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Read reads log lines of key=value pairs. Whatever stands before the timestamp
// of a line is left out. Lines without a timestamp and an event are skipped and
// counted.
func Read(r io.Reader) (events []Event, skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		event, ok := parse(lines.Text())
		if !ok {
			skipped++
			continue
		}
		events = append(events, event)
	}
	return events, skipped, lines.Err()
}

func parse(line string) (Event, bool) {
	start := strings.Index(line, "timestamp=")
	if start < 0 {
		return Event{}, false
	}
	fields := map[string]string{}
	decoder := logfmt.NewDecoder(strings.NewReader(line[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, fields["timestamp"])
	if err != nil || decoder.Err() != nil || fields["event"] == "" {
		return Event{}, false
	}
	return Event{At: at, Daemon: fields["daemon"], Name: fields["event"], Fields: fields}, true
}

// Report is what the logs say of one job.
type Report struct {
	ID string
	// Events concern the job, or a change of the cell's owner during its life.
	Events []Event
	// Findings are sentences on what decided the outcome; the first weighs most.
	Findings []string
}

// ownership are the events of a change of the cell's owner.
var ownership = []string{"cell_acquire", "cell_recovered", "recovered", "ownership_lost", "ownership_released", "owner_alone", "woke_up"}

// concerns reports whether an event is about a job, one of its steps or tasks.
func (e Event) concerns(id string) bool {
	if e.Fields["job"] == id {
		return true
	}
	for _, key := range []string{"task", "step"} {
		if job, _, _ := strings.Cut(e.Fields[key], "."); job == id {
			return true
		}
	}
	return false
}

// Analyse returns the story of a job; it has no events if the logs do not know it.
func Analyse(events []Event, id string) Report {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b Event) int { return a.At.Compare(b.At) })
	s := Report{ID: id}
	var first, last time.Time
	for _, e := range sorted {
		if e.concerns(id) {
			first, last = cmp.Or(first, e.At), e.At
		}
	}
	if first.IsZero() {
		return s
	}
	for _, e := range sorted {
		during := !e.At.Before(first) && !e.At.After(last)
		if e.concerns(id) || during && slices.Contains(ownership, e.Name) {
			s.Events = append(s.Events, e)
		}
	}
	s.Findings = slices.Concat(s.refusals(), s.failures(events), s.takeOvers(), s.delays())
	if len(s.Findings) == 0 {
		s.Findings = []string{"nothing unusual: " + s.outcome()}
	}
	return s
}

// outcome says how the job ended.
func (s Report) outcome() string {
	for _, e := range slices.Backward(s.Events) {
		if e.Name == "job_final" {
			return fmt.Sprintf("the job was %s %s ms after the owner knew of it", e.Fields["state"], e.Fields["known_ms"])
		}
	}
	return "the logs show no end of the job"
}

// refusals are submissions that were not stored.
func (s Report) refusals() []string {
	var found []string
	for _, e := range s.Events {
		if e.Name == "job_not_stored" {
			found = append(found, fmt.Sprintf("refused by %s (%s): %s", e.Daemon, e.Fields["verdict"], e.Fields["error"]))
		}
	}
	return found
}

// failures are failed attempts, with how runs of other jobs fared on the same
// workers about that time.
func (s Report) failures(all []Event) []string {
	failed := map[string][]Event{} // by task
	var tasks []string
	for _, e := range s.Events {
		if e.Name != "task_end" || e.Fields["reason"] != "failed" {
			continue
		}
		task := e.Fields["task"]
		if failed[task] == nil {
			tasks = append(tasks, task)
		}
		failed[task] = append(failed[task], e)
	}
	slices.SortStableFunc(tasks, func(a, b string) int { return len(failed[b]) - len(failed[a]) })
	var found []string
	for _, task := range tasks {
		workers := map[string]bool{}
		for _, e := range failed[task] {
			workers[e.Fields["worker"]] = true
		}
		from, to := failed[task][0].At.Add(-near), failed[task][len(failed[task])-1].At.Add(near)
		bad, ended := othersEnded(all, s.ID, workers, from, to)
		verdict := "the task is probably at fault"
		if float64(bad) >= sickShare*float64(max(ended, 1)) {
			verdict = "the workers are probably at fault"
		}
		found = append(found, fmt.Sprintf("task %s failed %d times on %d workers, where %d of %d runs of other jobs failed: %s",
			task, len(failed[task]), len(workers), bad, ended, verdict))
	}
	return found
}

const (
	// near is how long before and after a failure a worker is judged by the runs
	// of other jobs; sick workers stay so for seconds.
	near = 5 * time.Second
	// sickShare is the share of failed runs from which a worker is suspected; a
	// few percent of sound tasks fail.
	sickShare = 0.3
)

// othersEnded counts the runs of other jobs that ended on workers in a time, and
// those of them that failed.
func othersEnded(all []Event, id string, workers map[string]bool, from, to time.Time) (failed, ended int) {
	for _, e := range all {
		if e.Name != "task_end" || !workers[e.Fields["worker"]] || e.concerns(id) || e.At.Before(from) || e.At.After(to) {
			continue
		}
		switch e.Fields["reason"] {
		case "failed":
			failed, ended = failed+1, ended+1
		case "done":
			ended++
		}
	}
	return failed, ended
}

// takeOvers are changes of the owner while the job was open.
func (s Report) takeOvers() []string {
	var found []string
	epoch := ""
	for _, e := range s.Events {
		if e.Name == "job_known" {
			if epoch != "" && e.Fields["epoch"] != epoch {
				found = append(found, fmt.Sprintf("the owner changed while the job was open: epoch %s to %s, %s", epoch, e.Fields["epoch"], e.Daemon))
			}
			epoch = e.Fields["epoch"]
		}
	}
	return found
}

// longWait is the wait for a worker, in milliseconds, from which it is told.
const longWait = 1000

// delays are long waits for a worker.
func (s Report) delays() []string {
	var found []string
	for _, e := range s.Events {
		var waited int
		if e.Name != "task_start" {
			continue
		}
		if _, err := fmt.Sscan(e.Fields["waited_ms"], &waited); err == nil && waited >= longWait {
			found = append(found, fmt.Sprintf("task %s waited %d ms for a worker", e.Fields["task"], waited))
		}
	}
	return found
}

// hidden are fields that every line of a story has, or that say nothing.
var hidden = []string{"timestamp", "level", "message", "daemon", "event", "job"}

// Print writes the story in order: the time since the first event, the daemon,
// the event and its fields.
func (s Report) Print(w io.Writer) error {
	if len(s.Events) == 0 {
		_, err := fmt.Fprintf(w, "the logs say nothing of job %s\n", s.ID)
		return err
	}
	begin := s.Events[0].At
	if _, err := fmt.Fprintf(w, "job %s, from %s\n", s.ID, begin.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, e := range s.Events {
		_, err := fmt.Fprintf(w, "%10.3f s  %-20s %-18s %s\n", e.At.Sub(begin).Seconds(), e.Daemon, e.Name, e.details())
		if err != nil {
			return err
		}
	}
	for _, f := range s.Findings {
		if _, err := fmt.Fprintln(w, "=>", f); err != nil {
			return err
		}
	}
	return nil
}

// details returns the event's fields in a fixed order.
func (e Event) details() string {
	var pairs []string
	for key, value := range e.Fields {
		if !slices.Contains(hidden, key) {
			pairs = append(pairs, key+"="+value)
		}
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}
