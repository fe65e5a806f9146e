package shard_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/shard"
)

// After any records, the commitments are the sum of the tasks that occupy a VM.
// A snapshot restores the same state, and a damaged one is rejected.
func TestCommitmentsFollowTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := shard.NewState()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			_ = s.Apply(drawRecord(t, s))
			want := map[string]inventory.Resources{}
			for _, task := range s.Tasks {
				if task.OccupiesVM() {
					want[task.VM] = want[task.VM].Add(task.Spec.Resources)
				}
			}
			if diff := cmp.Diff(want, s.Committed); diff != "" {
				t.Fatalf("commitments differ (-want +got):\n%s", diff)
			}
		}
		body, ref, err := shard.EncodeSnapshot(s, "snapshot", 7)
		if err != nil {
			t.Fatal(err)
		}
		restored, err := shard.DecodeSnapshot(ref, body)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s, restored, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("snapshot restores a different state (-want +got):\n%s", diff)
		}
		body[rapid.IntRange(0, len(body)-1).Draw(t, "damaged")] ^= 1
		if _, err := shard.DecodeSnapshot(ref, body); err == nil {
			t.Fatal("damaged snapshot was accepted")
		}
	})
}

func drawRecord(t *rapid.T, s *shard.State) shard.Record {
	id := shard.TaskID(fmt.Sprintf("m:j/%d", rapid.IntRange(0, 4).Draw(t, "task")))
	event := rapid.SampledFrom([]chart.Event{
		shard.RecordAccept, charts.TaskStart, charts.TaskFinish, charts.TaskLapse,
		charts.TaskEvict, charts.TaskStopped, charts.TaskCancel, charts.TaskRetry, shard.RecordForget,
	}).Draw(t, "event")
	r := shard.Record{Event: event, Task: id}
	switch event {
	case shard.RecordAccept:
		r.Spec = &shard.Spec{ID: id, Resources: inventory.Resources{MilliProcessors: rapid.Int64Range(1, 4).Draw(t, "cpu")}}
	case charts.TaskStart:
		r.VM = rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "vm")
		if task, ok := s.Tasks[id]; ok {
			r.Attempt = task.Attempt + 1
		}
	}
	return r
}
