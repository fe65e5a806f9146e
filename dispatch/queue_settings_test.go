package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
)

// settingsOf returns the settings of the queue "added" as of a version of the configuration. The
// priority tells the version.
func settingsOf(version int64) *job.QueueSettings {
	return &job.QueueSettings{Version: version, Queue: job.Queue{Name: "added", Pool: "pool", Priority: int(version)}}
}

func addedSpec(id string, settings *job.QueueSettings) job.Spec {
	s := spec(id, batchStep(1, 1000, false))
	s.Queue, s.QueueSettings = "added", settings
	return s
}

// Guards against LOST: a job waited for good, because the owner had never read a configuration
// with the job's queue.
func TestJobStartsUnderTheTermsThatItWasAcceptedUnder(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	f.Add(addedSpec("without", nil), f.now, 0)
	is.Equal(len(f.plan(0).Starts), 0)
	f.Add(addedSpec("with", settingsOf(1)), f.now, 0)
	is.Equal(len(f.plan(0).Starts), 2) // the settings are those of the other job, too
}

func TestNewestTermsOfAQueueHold(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	priority := func(id string) int64 { return int64(f.Job(id).Queue.Priority) }
	f.SetQueues([]job.Queue{settingsOf(5).Queue}, 5)
	f.Add(addedSpec("older", settingsOf(3)), f.now, 0)
	is.Equal(priority("older"), int64(5))
	f.Add(addedSpec("newer", settingsOf(7)), f.now, 0)
	is.Equal(priority("older"), int64(7))
	is.Equal(priority("newer"), int64(7))
	f.SetQueues([]job.Queue{settingsOf(6).Queue}, 6) // the owner's configuration is behind
	is.Equal(priority("newer"), int64(7))
	f.SetQueues(nil, 8) // the queue is removed
	f.Add(addedSpec("late", settingsOf(3)), f.now, 0)
	is.Equal(priority("late"), int64(7))
	f.SetQueues([]job.Queue{settingsOf(9).Queue}, 9) // it is back with other settings
	for _, id := range []string{"older", "newer", "late"} {
		is.Equal(priority(id), int64(9))
		is.Equal(f.Job(id).Spec.QueueSettings.Version, int64(9)) // moves and transfers pass them on
	}
}
