// Package explain reconstructs the history of a job from the daemons' logs: every
// event that concerns the job, in order, and the probable cause of its outcome.
// It reads log lines only and makes no network calls.
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

// Event is one parsed log line.
type Event struct {
	At     time.Time
	Daemon string
	// Name is the value of the key "event".
	Name   string
	Fields map[string]string
}

// maxLineBytes bounds a log line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Read parses log lines of key=value pairs. It ignores what precedes the
// timestamp of a line, such as the prefix of a log collector. Lines without a valid
// timestamp and an event are counted in skipped.
func Read(r io.Reader) (events []Event, skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		event, ok := parseLine(lines.Text())
		if !ok {
			skipped++
			continue
		}
		events = append(events, event)
	}
	return events, skipped, lines.Err()
}

// parseLine parses one log line; ok is false if it is not an event.
func parseLine(line string) (Event, bool) {
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

// Report is the history of one job according to the logs.
type Report struct {
	ID string
	// Events are those of the job, and those of ownerEvents in the job's cell between the
	// job's first and last event, in order of time.
	Events []Event
	// Findings are sentences on the probable causes of the outcome, the most
	// important first.
	Findings []string
}

// ownerEvents are the names of events that mark a change of the cell's owner, or
// a loss of contact or a stall that may lead to one.
var ownerEvents = []string{"cell_acquire", "cell_recovered", "recovered", "ownership_lost", "ownership_released", "owner_alone", "woke_up"}

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

// inCell reports whether an event may be about a cell. Events of a whole daemon have no
// cell, and neither have those of logs written before there were several.
func (e Event) inCell(cell string) bool {
	own := e.Fields["cell"]
	return own == "" || cell == "" || own == cell
}

// Analyse returns the report on a job. It has no events if the logs do not mention
// the job.
func Analyse(events []Event, id string) Report {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b Event) int { return a.At.Compare(b.At) })
	report := Report{ID: id}
	var first, last time.Time
	cell := ""
	for _, e := range sorted {
		if e.concerns(id) {
			first, last = cmp.Or(first, e.At), e.At
			cell = cmp.Or(cell, e.Fields["cell"])
		}
	}
	if first.IsZero() {
		return report
	}
	for _, e := range sorted {
		during := !e.At.Before(first) && !e.At.After(last)
		if e.concerns(id) || during && slices.Contains(ownerEvents, e.Name) && e.inCell(cell) {
			report.Events = append(report.Events, e)
		}
	}
	report.Findings = slices.Concat(report.refusals(), report.losses(), report.failures(events), report.ownerChanges(), report.longWaits())
	if len(report.Findings) == 0 {
		report.Findings = []string{"nothing unusual: " + report.outcome()}
	}
	return report
}

// outcome returns a phrase on how the job ended.
func (r Report) outcome() string {
	for _, e := range slices.Backward(r.Events) {
		if e.Name == "job_final" {
			return fmt.Sprintf("the job was %s %s ms after the owner knew of it", e.Fields["state"], e.Fields["known_ms"])
		}
	}
	return "the logs show no end of the job"
}

// refusals returns a finding for each submission that was not stored.
func (r Report) refusals() []string {
	var findings []string
	for _, e := range r.Events {
		if e.Name == "job_not_stored" {
			findings = append(findings, fmt.Sprintf("refused by %s (%s): %s", e.Daemon, e.Fields["verdict"], e.Fields["error"]))
		}
	}
	return findings
}

// losses returns a finding for each task with runs that ended without a listed end, and tells
// of tasks whose job failed because workers crashed under them.
func (r Report) losses() []string {
	workers := map[string][]string{} // on which runs were lost, by task
	givenUp := map[string]bool{}
	var tasks []string
	for _, e := range r.Events {
		task := e.Fields["task"]
		switch e.Name {
		case "task_lost":
			if workers[task] == nil {
				tasks = append(tasks, task)
			}
			workers[task] = append(workers[task], e.Fields["worker"])
		case "task_given_up":
			givenUp[task] = true
		}
	}
	slices.SortStableFunc(tasks, func(a, b string) int { return len(workers[b]) - len(workers[a]) })
	var findings []string
	for _, task := range tasks {
		lost := fmt.Sprintf("task %s had %d runs without a listed end, on %s", task, len(workers[task]), strings.Join(workers[task], ", "))
		if givenUp[task] {
			lost += ": workers crashed under it, and its job failed"
		}
		findings = append(findings, lost)
	}
	return findings
}

// failures returns a finding for each task with failed attempts, by falling number
// of failures. It attributes them to the workers if many runs of other jobs failed
// there at about the same time, and to the task otherwise.
func (r Report) failures(all []Event) []string {
	failed := map[string][]Event{} // by task
	var tasks []string
	for _, e := range r.Events {
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
	var findings []string
	for _, task := range tasks {
		workers := map[string]bool{}
		for _, e := range failed[task] {
			workers[e.Fields["worker"]] = true
		}
		from, to := failed[task][0].At.Add(-correlationWindow), failed[task][len(failed[task])-1].At.Add(correlationWindow)
		otherFailed, otherEnded := countOtherRuns(all, r.ID, workers, from, to)
		cause := "the task is probably at fault"
		if float64(otherFailed) >= unhealthyShare*float64(max(otherEnded, 1)) {
			cause = "the workers are probably at fault"
		}
		findings = append(findings, fmt.Sprintf("task %s failed %d times on %d workers, where %d of %d runs of other jobs failed: %s",
			task, len(failed[task]), len(workers), otherFailed, otherEnded, cause))
	}
	return findings
}

const (
	// correlationWindow is the time before and after a failure in which runs of
	// other jobs on the worker are considered; a faulty worker stays faulty for
	// seconds.
	correlationWindow = 5 * time.Second
	// unhealthyShare is the share of failed runs from which workers are held to
	// be at fault; on healthy workers a few percent of tasks fail.
	unhealthyShare = 0.3
)

// countOtherRuns returns how many runs of other jobs ended on workers between from
// and to, and how many of those failed.
func countOtherRuns(all []Event, id string, workers map[string]bool, from, to time.Time) (failed, ended int) {
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

// ownerChanges returns a finding for each change of the owner while the job was
// unfinished.
func (r Report) ownerChanges() []string {
	var findings []string
	epoch := ""
	for _, e := range r.Events {
		if e.Name == "job_known" {
			if epoch != "" && e.Fields["epoch"] != epoch {
				findings = append(findings, fmt.Sprintf("the owner changed while the job was open: epoch %s to %s, %s", epoch, e.Fields["epoch"], e.Daemon))
			}
			epoch = e.Fields["epoch"]
		}
	}
	return findings
}

// longWaitMS is the wait for a worker, in milliseconds, from which it is reported.
const longWaitMS = 1000

// longWaits returns a finding for each long wait for a worker.
func (r Report) longWaits() []string {
	var findings []string
	for _, e := range r.Events {
		var waited int
		if e.Name != "task_start" {
			continue
		}
		if _, err := fmt.Sscan(e.Fields["waited_ms"], &waited); err == nil && waited >= longWaitMS {
			findings = append(findings, fmt.Sprintf("task %s waited %d ms for a worker", e.Fields["task"], waited))
		}
	}
	return findings
}

// omittedFields are the fields that details leaves out, because Print shows them
// elsewhere or because they carry no information.
var omittedFields = []string{"timestamp", "level", "message", "daemon", "event", "job"}

// Print writes the events in order, each with the time since the first event in
// seconds, the daemon, the name and the fields, and then the findings.
func (r Report) Print(w io.Writer) error {
	if len(r.Events) == 0 {
		_, err := fmt.Fprintf(w, "the logs say nothing of job %s\n", r.ID)
		return err
	}
	begin := r.Events[0].At
	if _, err := fmt.Fprintf(w, "job %s, from %s\n", r.ID, begin.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, e := range r.Events {
		_, err := fmt.Fprintf(w, "%10.3f s  %-20s %-18s %s\n", e.At.Sub(begin).Seconds(), e.Daemon, e.Name, e.details())
		if err != nil {
			return err
		}
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, "=>", f); err != nil {
			return err
		}
	}
	return nil
}

// details returns the event's fields as key=value pairs, sorted by key.
func (e Event) details() string {
	var pairs []string
	for key, value := range e.Fields {
		if !slices.Contains(omittedFields, key) {
			pairs = append(pairs, key+"="+value)
		}
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}
