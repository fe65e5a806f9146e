package batch

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// Limits of claiming VMs.
const (
	claimPrefix   = "vms/"
	claimInterval = time.Second // between two tries of a VM that another shard holds
	maxClaims     = 100         // VMs in one transaction
)

func claimKey(vm string) string { return claimPrefix + vm }

// claim returns a transaction that claims VMs which the inventory has put into
// the shard, or nil when there is none. A row for each VM makes sure that two
// shards never commit the same one, however late their owners learn of a move.
func (o *owner) claim(now time.Time) *transaction {
	if o.releasing || o.generation != o.manager.keeper.generation {
		return nil
	}
	var records []shard.Record
	var checks []platform.Check
	var puts []platform.Put
	for _, vm := range slices.Sorted(maps.Keys(o.vms)) {
		if o.state.VMs[vm] || now.Before(o.blocked[vm]) || len(records) >= maxClaims {
			continue
		}
		records = append(records, shard.Record{Event: shard.RecordClaim, VM: vm})
		checks = append(checks, platform.Check{Key: claimKey(vm)})
		puts = append(puts, platform.Put{Key: claimKey(vm), Value: []byte(o.name)})
	}
	if len(records) == 0 {
		return nil
	}
	return &transaction{records: records, claims: true, txn: platform.Txn{Checks: checks, Puts: puts}}
}

// claimed applies the records of a claim that took effect.
func (o *owner) claimed(p *transaction) {
	for _, r := range p.records {
		if err := o.state.Apply(r); err != nil {
			o.log.WithError(err).Error("claim")
		}
	}
	o.changed = true
}

// claimRefused gives up a claim that nothing was written of, and leaves the
// VMs that another shard holds alone for a while.
func (o *owner) claimRefused(p *transaction, err error) bool {
	var conflict *platform.ConflictError
	if !p.claims || !errors.As(err, &conflict) {
		return false
	}
	o.pending = nil
	for _, r := range p.records {
		if slices.Contains(conflict.Keys, claimKey(r.VM)) {
			o.blocked[r.VM] = o.opts.Now().Add(claimInterval)
		}
	}
	return true
}

// freeVMs gives up VMs that have left the inventory and hold no task.
func (o *owner) freeVMs() {
	for _, vm := range slices.Sorted(maps.Keys(o.state.VMs)) {
		if _, listed := o.vms[vm]; listed {
			continue
		}
		if _, holds := o.state.Committed[vm]; holds {
			continue
		}
		if o.record(shard.Record{Event: shard.RecordFree, VM: vm}) {
			o.taken = append(o.taken, claimKey(vm))
		}
	}
}
