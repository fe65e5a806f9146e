package shard_test

import (
	"fmt"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/shard"
)

// A shard's owner records a start. After the owner's row has expired, another
// daemon takes the shard over and knows how long the task can continue to run
// on a worker that does not respond.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	timing := shard.Timing{
		LeaseTTL: 10 * time.Second, OwnerTTL: 6 * time.Second, RenewalGrace: time.Minute, ClockSkew: time.Second,
	}
	state := shard.NewState()
	spec := &shard.Spec{ID: "member:job/0", Resources: inventory.Resources{MilliProcessors: 500}}
	_ = state.Apply(shard.Record{Event: shard.RecordAccept, Task: spec.ID, Spec: spec})
	_ = state.Apply(shard.Record{Event: charts.TaskStart, Task: spec.ID, VM: "vm1", Attempt: 1})
	fmt.Println(state.Committed["vm1"].MilliProcessors)

	head := shard.Head{Owner: "a", Epoch: 1}
	row := shard.OwnerLease{Owner: "a", ExpiresUnixMS: now.Add(timing.OwnerTTL).UnixMilli()}
	_, err := timing.TakeOver(head, row, "b", now)
	fmt.Println(err)
	head, _ = timing.TakeOver(head, row, "b", now.Add(8*time.Second))
	leases := shard.NewLeases(timing, time.UnixMilli(head.LeasesUntilUnixMS))
	fmt.Println(head.Owner, head.Epoch, leases.Expiry("vm1").Sub(now))
	// Output:
	// 500
	// shard is owned by "a" until 2026-01-01T00:00:07Z
	// b 2 1m16s
}
