// Package configsync adopts the current configuration document on a daemon and
// proposes new documents. All methods of Follower run on the control loop.
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

// Bounds of the exponential backoff after a document could not be fetched.
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
	// OnHeadRead is called on the loop after the head row was read for the first
	// time, if it names no newer document.
	OnHeadRead func()
}

// Follower adopts newer documents and never returns to an older revision.
type Follower struct {
	opts      Options
	state     chart.State
	head      document.Head
	version   platform.Version
	headRead  bool // set once the head row was read
	document  document.Document
	checking  bool          // set while a check is in progress
	recheck   bool          // another check was requested meanwhile
	announced document.Head // head whose document was fetched last
	backoff   time.Duration
	retryAt   time.Time // no fetch of the announced revision before this time
}

// NewFollower returns a follower that has adopted nothing.
func NewFollower(opts Options) *Follower {
	return &Follower{opts: opts, state: charts.Configuration.Initial()}
}

// Head returns the head of the adopted document, zero if there is none.
func (f *Follower) Head() document.Head { return f.head }

// Document returns the adopted document.
func (f *Follower) Document() document.Document { return f.document }

// Version returns the version of the head row that names the adopted document,
// and whether the row has been read.
func (f *Follower) Version() (platform.Version, bool) { return f.version, f.headRead }

// State returns the state of the adoption, one of charts.Configuration.
func (f *Follower) State() chart.State { return f.state }

type headRow struct {
	head    document.Head
	version platform.Version
}

// Check reads the head row and adopts its document if it is newer. A call during
// a check makes it run again at its end.
func (f *Follower) Check() {
	if f.checking {
		f.recheck = true
		return
	}
	f.checking = true
	control.Async(f.opts.Loop, func(ctx context.Context) (headRow, error) {
		head, version, err := ReadHead(ctx, f.opts.Table)
		return headRow{head, version}, err
	}, f.onHeadRead)
}

// onHeadRead fetches the document if the head is newer than the adopted one and
// the backoff of its revision has passed.
func (f *Follower) onHeadRead(row headRow, err error) {
	if err != nil {
		f.opts.Log.WithFields(log.Fields{"event": "config_check_failed"}).WithError(err).Warn("reading the configuration head failed")
		f.finish()
		return
	}
	first := !f.headRead
	f.headRead = true
	if !document.Newer(f.head, row.head) {
		f.finish()
		if first {
			f.opts.OnHeadRead()
		}
		return
	}
	if row.head.Revision == f.announced.Revision && f.opts.Now().Before(f.retryAt) {
		f.finish()
		return
	}
	f.fetch(row)
}

// fetch reads the body of a newer document and adopts it.
func (f *Follower) fetch(row headRow) {
	f.transition(charts.ConfigurationAnnounce)
	f.announced = row.head
	control.Async(f.opts.Loop, func(ctx context.Context) (document.Document, error) {
		return fetchDocument(ctx, f.opts.Objects, row.head)
	}, func(doc document.Document, err error) {
		if err != nil {
			f.fetchFailed(err)
		} else {
			f.adopt(row, doc)
		}
		f.finish()
	})
}

// fetchDocument reads the body that a head names. It returns a *DigestError if
// the body has another digest.
func fetchDocument(ctx context.Context, objects platform.ObjectStore, head document.Head) (document.Document, error) {
	body, err := objects.Get(ctx, platform.ConfigObjectKey(int64(head.Revision), head.Digest))
	if err != nil {
		return document.Document{}, err
	}
	if digest := document.Digest(body); digest != head.Digest {
		return document.Document{}, &DigestError{Revision: head.Revision, Digest: digest, Want: head.Digest}
	}
	return document.Decode(body)
}

// DigestError reports a body whose digest is not the one in its head.
type DigestError struct {
	Revision     document.Revision
	Digest, Want string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("document of revision %d has digest %s, want %s", e.Revision, e.Digest, e.Want)
}

// fetchFailed doubles the backoff before the next fetch of the same revision.
func (f *Follower) fetchFailed(err error) {
	f.transition(charts.ConfigurationFail)
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	f.retryAt = f.opts.Now().Add(f.backoff)
	f.opts.Log.WithFields(log.Fields{"event": "config_fetch_failed", "revision": f.announced.Revision}).WithError(err).Warn("fetching the document failed; retrying with backoff")
}

func (f *Follower) adopt(row headRow, doc document.Document) {
	f.transition(charts.ConfigurationAdopt)
	f.head, f.version, f.document = row.head, row.version, doc
	f.backoff, f.retryAt = 0, time.Time{}
	f.opts.Log.WithFields(log.Fields{"event": "config_adopted", "revision": f.head.Revision, "digest": f.head.Digest}).Info("configuration adopted")
	f.opts.OnAdopted(f.head, f.document)
}

// finish ends a check and starts another if one was requested meanwhile.
func (f *Follower) finish() {
	f.checking = false
	if f.recheck {
		f.recheck = false
		f.Check()
	}
}

// transition applies an event of charts.Configuration.
func (f *Follower) transition(e chart.Event) {
	next, err := charts.Configuration.Next(f.state, e)
	if err != nil {
		f.opts.Log.WithError(err).Error("invalid transition of the configuration state")
		return
	}
	f.state = next
}

// ReadHead reads the head row. A zero head and version mean that no document
// has been accepted yet.
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
