package shard

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/bambooyard/bambooyard/inventory"
)

// SnapshotRef identifies a snapshot and the content that it must have.
type SnapshotRef struct {
	// Object is the key in the object store, or empty when there is none.
	Object string `json:"object,omitempty"`
	// Digest is the SHA-256 of the object in hexadecimal.
	Digest string `json:"digest,omitempty"`
	// Sequence is the number of the last log row that the snapshot covers.
	Sequence int64 `json:"sequence,omitempty"`
}

// SnapshotError reports a snapshot that is damaged or does not match its
// reference.
type SnapshotError struct {
	Object string
	Reason string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot %q cannot be used: %s", e.Object, e.Reason)
}

type snapshot struct {
	Sequence int64           `json:"sequence"`
	Tasks    map[TaskID]Task `json:"tasks"`
	VMs      []string        `json:"vms,omitempty"`
}

// EncodeSnapshot returns the body of a snapshot of the state after the log row
// with the given number, and its reference.
func EncodeSnapshot(s *State, object string, sequence int64) ([]byte, SnapshotRef, error) {
	doc := snapshot{
		Sequence: sequence,
		Tasks:    make(map[TaskID]Task, len(s.Tasks)),
		VMs:      slices.Sorted(maps.Keys(s.VMs)),
	}
	for id, t := range s.Tasks {
		doc.Tasks[id] = *t
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return nil, SnapshotRef{}, err
	}
	return body, SnapshotRef{Object: object, Digest: digest(body), Sequence: sequence}, nil
}

// DecodeSnapshot returns the state of a snapshot, or a *SnapshotError if the
// body is damaged or does not match the reference.
func DecodeSnapshot(ref SnapshotRef, body []byte) (*State, error) {
	if got := digest(body); got != ref.Digest {
		return nil, &SnapshotError{ref.Object, fmt.Sprintf("digest is %s, not %s", got, ref.Digest)}
	}
	var doc snapshot
	if err := json.Unmarshal(body, &doc); err != nil {
		return nil, &SnapshotError{ref.Object, err.Error()}
	}
	if doc.Sequence != ref.Sequence {
		return nil, &SnapshotError{ref.Object, fmt.Sprintf("sequence is %d, not %d", doc.Sequence, ref.Sequence)}
	}
	s := NewState()
	for _, vm := range doc.VMs {
		s.VMs[vm] = true
	}
	for id, t := range doc.Tasks {
		s.Tasks[id] = &t
		if t.OccupiesVM() {
			s.Committed[t.VM] = s.Committed[t.VM].Add(t.Spec.Resources)
		}
	}
	return s, nil
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Excess returns by how much the VM's commitments exceed its usable resources.
func (s *State) Excess(vm string, usable inventory.Resources) inventory.Resources {
	excess := s.Committed[vm].Sub(usable)
	return inventory.Resources{
		MilliProcessors: max(0, excess.MilliProcessors),
		MemoryMB:        max(0, excess.MemoryMB),
		Accelerators:    max(0, excess.Accelerators),
	}
}
