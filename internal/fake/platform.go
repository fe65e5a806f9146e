// Package fake has in-memory stand-ins for the platform, its workers and the
// runners, with injectable faults. They are used by tests, the quick start and
// benchmarks.
package fake

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// Faults are the faults that a stand-in platform injects.
type Faults struct {
	// Outage fails every operation before it takes effect.
	Outage bool `json:"outage,omitempty"`
	// Delay is added before every operation.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseReplies is the number of transactions, from the next on, that take effect
	// without a reply.
	LoseReplies int `json:"lose_replies,omitempty"`
}

// Platform is an in-memory table service, object store and VM list. It is
// safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	keys    []string // sorted keys of rows
	version platform.Version
	objects map[string][]byte
	vms     map[string]platform.VMState
	faults  Faults
	counts  OperationCounts
	// observe is called with every transaction that takes effect.
	observe func(platform.Txn)
}

// OperationCounts counts the operations of a stand-in platform.
type OperationCounts struct {
	// Commits is the number of transactions that took effect.
	Commits int64 `json:"commits"`
	// RowWrites is the number of rows that those transactions wrote or deleted.
	RowWrites int64 `json:"row_writes"`
	// Reads is the number of Get and Scan calls.
	Reads int64 `json:"reads"`
	// ObjectWrites is the number of objects written or deleted.
	ObjectWrites int64 `json:"object_writes"`
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		vms:     map[string]platform.VMState{},
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Observe registers fn to be called with every transaction that takes effect, in
// order. It must not call the platform.
func (p *Platform) Observe(fn func(platform.Txn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe = fn
}

// Counts returns the counts since the platform was created.
func (p *Platform) Counts() OperationCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetVM changes the VM list; an empty state removes the VM.
func (p *Platform) SetVM(name string, state platform.VMState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == "" {
		delete(p.vms, name)
		return
	}
	p.vms[name] = state
}

var (
	errOutage    = errors.New("injected outage")
	errLostReply = errors.New("injected loss of the reply")
)

// begin injects the delay and the outage. It returns with p.mu locked unless it
// returns an error.
func (p *Platform) begin(ctx context.Context, op string) error {
	p.mu.Lock()
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return &platform.UnavailableError{Op: op, Verdict: verdict.NotRun, Err: ctx.Err()}
		}
	}
	p.mu.Lock()
	if p.faults.Outage {
		p.mu.Unlock()
		return &platform.UnavailableError{Op: op, Verdict: verdict.NotRun, Err: errOutage}
	}
	return nil
}

// Get implements platform.Table.
func (p *Platform) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := p.begin(ctx, "get"); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.counts.Reads++
	rows := make([]platform.Row, len(keys))
	for i, k := range keys {
		rows[i] = p.rows[k]
		rows[i].Key = k
	}
	return rows, nil
}

// Scan implements platform.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := p.begin(ctx, "scan"); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.counts.Reads++
	var rows []platform.Row
	from := max(prefix, after)
	for i := sort.SearchStrings(p.keys, from); i < len(p.keys) && len(rows) < limit; i++ {
		k := p.keys[i]
		if !strings.HasPrefix(k, prefix) {
			break
		}
		if k > after || after == "" {
			rows = append(rows, p.rows[k])
		}
	}
	return rows, nil
}

// Commit implements platform.Table.
func (p *Platform) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if err := p.begin(ctx, "commit"); err != nil {
		return 0, err
	}
	defer p.mu.Unlock()
	var conflicts []string
	for _, c := range txn.Checks {
		if p.rows[c.Key].Version != c.Version {
			conflicts = append(conflicts, c.Key)
		}
	}
	if conflicts != nil {
		return 0, &platform.ConflictError{Keys: conflicts}
	}
	p.apply(txn)
	if p.observe != nil {
		p.observe(txn)
	}
	if p.faults.LoseReplies > 0 {
		p.faults.LoseReplies--
		return 0, &platform.UnavailableError{Op: "commit", Verdict: verdict.MayHaveRun, Err: errLostReply}
	}
	return p.version, nil
}

func (p *Platform) apply(txn platform.Txn) {
	p.version++
	p.counts.Commits++
	p.counts.RowWrites += int64(len(txn.Puts) + len(txn.Deletes))
	for _, w := range txn.Puts {
		if _, ok := p.rows[w.Key]; !ok {
			i := sort.SearchStrings(p.keys, w.Key)
			p.keys = append(p.keys, "")
			copy(p.keys[i+1:], p.keys[i:])
			p.keys[i] = w.Key
		}
		p.rows[w.Key] = platform.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: p.version}
	}
	for _, k := range txn.Deletes {
		if _, ok := p.rows[k]; !ok {
			continue
		}
		delete(p.rows, k)
		i := sort.SearchStrings(p.keys, k)
		p.keys = append(p.keys[:i], p.keys[i+1:]...)
	}
}

// List implements platform.VMList.
func (p *Platform) List(ctx context.Context) ([]platform.VMStatus, error) {
	if err := p.begin(ctx, "list"); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	var list []platform.VMStatus
	for name, state := range p.vms {
		list = append(list, platform.VMStatus{Name: name, State: state})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// Objects returns the platform's object store.
func (p *Platform) Objects() platform.ObjectStore { return objectStore{p} }

type objectStore struct{ p *Platform }

func (o objectStore) Put(ctx context.Context, key string, body []byte) error {
	if err := o.p.begin(ctx, "put object"); err != nil {
		return err
	}
	defer o.p.mu.Unlock()
	o.p.counts.ObjectWrites++
	o.p.objects[key] = append([]byte(nil), body...)
	return nil
}

func (o objectStore) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.p.begin(ctx, "get object"); err != nil {
		return nil, err
	}
	defer o.p.mu.Unlock()
	body, ok := o.p.objects[key]
	if !ok {
		return nil, &platform.NotFoundError{Key: key}
	}
	return append([]byte(nil), body...), nil
}

func (o objectStore) Delete(ctx context.Context, key string) error {
	if err := o.p.begin(ctx, "delete object"); err != nil {
		return err
	}
	defer o.p.mu.Unlock()
	o.p.counts.ObjectWrites++
	delete(o.p.objects, key)
	return nil
}
