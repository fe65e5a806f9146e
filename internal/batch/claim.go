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
	claimInterval = time.Second // between two attempts to claim a VM that another shard has claimed
	maxClaims     = 100         // VMs claimed by one transaction
)

func claimKey(vm string) string { return claimPrefix + vm }

// nextClaim returns a transaction that claims the VMs which the inventory assigns to
// the shard and which it has not claimed yet, or nil when there are none. The claim
// row of each VM ensures that two shards never commit resources of the same VM,
// however late their owners learn that it has moved.
func (o *owner) nextClaim(now time.Time) *transaction {
	if o.releasing || o.generation != o.manager.ownerLease.generation {
		return nil
	}
	var records []shard.Record
	var checks []platform.Check
	var puts []platform.Put
	for _, vm := range slices.Sorted(maps.Keys(o.vms)) {
		if o.state.VMs[vm] || now.Before(o.claimBlockedUntil[vm]) || len(records) >= maxClaims {
			continue
		}
		records = append(records, shard.Record{Event: shard.RecordClaim, VM: vm})
		checks = append(checks, platform.Check{Key: claimKey(vm)})
		puts = append(puts, platform.Put{Key: claimKey(vm), Value: []byte(o.name)})
	}
	if len(records) == 0 {
		return nil
	}
	return &transaction{records: records, claimsVMs: true, txn: platform.Txn{Checks: checks, Puts: puts}}
}

// applyClaim applies the records of a committed claim.
func (o *owner) applyClaim(p *transaction) {
	for _, r := range p.records {
		if err := o.state.Apply(r); err != nil {
			o.log.WithError(err).Error("cannot apply a claim record")
		}
	}
	o.changed = true
}

// handleClaimConflict drops a claim that was rejected by a conflict, and delays the
// next attempt for the VMs that another shard has claimed. It returns false for any
// other outcome.
func (o *owner) handleClaimConflict(p *transaction, err error) bool {
	var conflict *platform.ConflictError
	if !p.claimsVMs || !errors.As(err, &conflict) {
		return false
	}
	o.pending = nil
	for _, r := range p.records {
		if slices.Contains(conflict.Keys, claimKey(r.VM)) {
			o.claimBlockedUntil[r.VM] = o.opts.Now().Add(claimInterval)
		}
	}
	return true
}

// freeVMs releases the claims of VMs that have left the inventory and have no tasks.
func (o *owner) freeVMs() {
	for _, vm := range slices.Sorted(maps.Keys(o.state.VMs)) {
		if _, listed := o.vms[vm]; listed {
			continue
		}
		if _, occupied := o.state.Committed[vm]; occupied {
			continue
		}
		if o.record(shard.Record{Event: shard.RecordFree, VM: vm}) {
			o.rowDeletes = append(o.rowDeletes, claimKey(vm))
		}
	}
}
