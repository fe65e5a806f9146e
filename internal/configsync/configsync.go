// Package configsync follows the configuration document in force and proposes
// new ones. All methods of Follower run on the control loop.
package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
)

// Bounds of the wait after a document could not be fetched.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// Options are the settings of a Follower.
type Options struct {
	Loop    control.Executor
	Table   platform.Table
	Objects platform.ObjectStore
	Log     log.Interface
	Now     func() time.Time
	// OnAdopted is called on the loop after each adoption.
	OnAdopted func(document.Head, document.Document)
	// OnHeadRead is called on the loop when the head row was read for the first time.
	OnHeadRead func()
}

// Follower adopts newer documents and never goes back.
type Follower struct {
	opts     Options
	state    chart.State
	head     document.Head
	version  platform.Version
	known    bool
	document document.Document
	busy     bool
	again    bool
	wanted   document.Head // the newest head that was announced
	backoff  time.Duration
	retryAt  time.Time
}

// NewFollower returns a follower that has adopted nothing.
func NewFollower(opts Options) *Follower {
	return &Follower{opts: opts, state: charts.Configuration.Initial()}
}

// Head returns what is adopted.
func (f *Follower) Head() document.Head { return f.head }

// Document returns what is adopted.
func (f *Follower) Document() document.Document { return f.document }

// Version returns the version of the head row that names what is adopted, and
// whether the row has been read.
func (f *Follower) Version() (platform.Version, bool) { return f.version, f.known }

// State returns the state of the adoption, as in the chart.
func (f *Follower) State() chart.State { return f.state }

type headRow struct {
	head    document.Head
	version platform.Version
}

// Check reads the head row and adopts the document if it is newer.
func (f *Follower) Check() {
	if f.busy {
		f.again = true
		return
	}
	f.busy = true
	control.Async(f.opts.Loop, func(ctx context.Context) (headRow, error) {
		head, version, err := ReadHead(ctx, f.opts.Table)
		return headRow{head, version}, err
	}, f.checked)
}

func (f *Follower) checked(row headRow, err error) {
	if err != nil {
		f.opts.Log.WithFields(log.Fields{"event": "config_check_failed"}).WithError(err).Warn("check failed")
		f.finish()
		return
	}
	first := !f.known
	f.known = true
	if !document.Newer(f.head, row.head) {
		f.finish()
		if first {
			f.opts.OnHeadRead()
		}
		return
	}
	if row.head.Revision == f.wanted.Revision && f.opts.Now().Before(f.retryAt) {
		f.finish()
		return
	}
	f.fetch(row)
}

// fetch reads the body of a newer document.
func (f *Follower) fetch(row headRow) {
	f.move(charts.ConfigurationAnnounce)
	f.wanted = row.head
	control.Async(f.opts.Loop, func(ctx context.Context) (document.Document, error) {
		return load(ctx, f.opts.Objects, row.head)
	}, func(doc document.Document, err error) {
		if err != nil {
			f.failed(err)
		} else {
			f.adopt(row, doc)
		}
		f.finish()
	})
}

// load reads a body and checks that it is the one which the head names.
func load(ctx context.Context, objects platform.ObjectStore, head document.Head) (document.Document, error) {
	body, err := objects.Get(ctx, platform.ConfigObjectKey(int64(head.Revision), head.Digest))
	if err != nil {
		return document.Document{}, err
	}
	if digest := document.Digest(body); digest != head.Digest {
		return document.Document{}, &DigestError{Revision: head.Revision, Digest: digest, Want: head.Digest}
	}
	return document.Decode(body)
}

// DigestError reports a body that is not the one which its head names.
type DigestError struct {
	Revision     document.Revision
	Digest, Want string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("document of revision %d has digest %s, want %s", e.Revision, e.Digest, e.Want)
}

// failed doubles the wait before the next fetch of the same revision.
func (f *Follower) failed(err error) {
	f.move(charts.ConfigurationFail)
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	f.retryAt = f.opts.Now().Add(f.backoff)
	f.opts.Log.WithFields(log.Fields{"event": "config_fetch_failed", "revision": f.wanted.Revision}).WithError(err).Warn("fetch failed")
}

func (f *Follower) adopt(row headRow, doc document.Document) {
	f.move(charts.ConfigurationAdopt)
	f.head, f.version, f.document = row.head, row.version, doc
	f.backoff, f.retryAt = 0, time.Time{}
	f.opts.Log.WithFields(log.Fields{"event": "config_adopted", "revision": f.head.Revision, "digest": f.head.Digest}).Info("adopted")
	f.opts.OnAdopted(f.head, f.document)
}

// finish ends a check and begins another if one was asked for meanwhile.
func (f *Follower) finish() {
	f.busy = false
	if f.again {
		f.again = false
		f.Check()
	}
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
	return decodeHead(rows[0])
}

func decodeHead(row platform.Row) (document.Head, platform.Version, error) {
	var head document.Head
	if row.Version == 0 {
		return head, 0, nil
	}
	err := json.Unmarshal(row.Value, &head)
	return head, row.Version, err
}
