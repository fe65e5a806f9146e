// Package configsync follows the configuration document in force. All methods
// of Follower run on the control loop.
package configsync

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
)

// Options are the settings of a Follower.
type Options struct {
	Loop    control.Executor
	Table   platform.Table
	Objects platform.ObjectStore
	Log     log.Interface
	// Adopted is called on the loop after each adoption.
	Adopted func(document.Head, document.Document)
}

// Follower adopts newer documents and never goes back.
type Follower struct {
	opts     Options
	state    chart.State
	head     document.Head
	document document.Document
	busy     bool
}

// NewFollower returns a follower that has adopted nothing.
func NewFollower(opts Options) *Follower {
	return &Follower{opts: opts, state: charts.Configuration.Initial()}
}

// Head returns what is adopted.
func (f *Follower) Head() document.Head { return f.head }

// Document returns what is adopted.
func (f *Follower) Document() document.Document { return f.document }

type loaded struct {
	head     document.Head
	document document.Document
}

// Check reads the head row and adopts the document if it is newer.
func (f *Follower) Check() {
	if f.busy {
		return
	}
	f.busy = true
	current := f.head
	control.Async(f.opts.Loop, func(ctx context.Context) (*loaded, error) {
		return f.load(ctx, current)
	}, f.checked)
}

func (f *Follower) load(ctx context.Context, current document.Head) (*loaded, error) {
	head, _, err := ReadHead(ctx, f.opts.Table)
	if err != nil || !document.Newer(current, head) {
		return nil, err
	}
	body, err := f.opts.Objects.Get(ctx, platform.ConfigObject(int64(head.Revision), head.Digest))
	if err != nil {
		return nil, err
	}
	if digest := document.Digest(body); digest != head.Digest {
		return nil, fmt.Errorf("document of revision %d has digest %s, want %s", head.Revision, digest, head.Digest)
	}
	doc, err := document.Decode(body)
	if err != nil {
		return nil, err
	}
	return &loaded{head, doc}, nil
}

func (f *Follower) checked(l *loaded, err error) {
	f.busy = false
	if err != nil {
		f.opts.Log.WithFields(log.Fields{"event": "config_check_failed"}).WithError(err).Warn("check failed")
		return
	}
	if l == nil || !document.Newer(f.head, l.head) {
		return
	}
	f.move(charts.ConfigurationAnnounce)
	f.move(charts.ConfigurationAdopt)
	f.head, f.document = l.head, l.document
	f.opts.Log.WithFields(log.Fields{"event": "config_adopted", "revision": f.head.Revision, "digest": f.head.Digest}).Info("adopted")
	f.opts.Adopted(f.head, f.document)
}

func (f *Follower) move(e chart.Event) {
	next, err := charts.Configuration.Next(f.state, e)
	if err != nil {
		f.opts.Log.WithError(err).Error("configuration chart")
		return
	}
	f.state = next
}

// ReadHead reads the head row; its zero value means that no document exists.
func ReadHead(ctx context.Context, table platform.Table) (document.Head, platform.Version, error) {
	rows, err := table.Get(ctx, platform.ConfigHeadKey)
	if err != nil {
		return document.Head{}, 0, err
	}
	var head document.Head
	if rows[0].Version == 0 {
		return head, 0, nil
	}
	err = json.Unmarshal(rows[0].Value, &head)
	return head, rows[0].Version, err
}

// RevisionConflictError reports that another operator was faster.
type RevisionConflictError struct{ Based, Current document.Revision }

// Error implements error.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("document is based on revision %d, but revision %d is in force", e.Based, e.Current)
}

// Propose stores a document and makes it the next revision, if based is still
// the revision in force. It runs on any goroutine.
func Propose(ctx context.Context, table platform.Table, objects platform.ObjectStore, body []byte, next document.Head, based document.Revision) (document.Head, error) {
	head, version, err := ReadHead(ctx, table)
	if err != nil {
		return document.Head{}, err
	}
	if head.Revision != based {
		return document.Head{}, &RevisionConflictError{Based: based, Current: head.Revision}
	}
	next.Revision = based + 1
	next.Digest = document.Digest(body)
	if err := objects.Put(ctx, platform.ConfigObject(int64(next.Revision), next.Digest), body); err != nil {
		return document.Head{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return document.Head{}, err
	}
	_, err = table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: platform.ConfigHeadKey, Version: version}},
		Puts:   []platform.Put{{Key: platform.ConfigHeadKey, Value: value}},
	})
	return next, err
}
