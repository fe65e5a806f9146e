package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// keptRevisions is how many revisions can be listed and rolled back to.
const keptRevisions = 1000

// acceptTries is how often a head write without a reply is repeated.
const acceptTries = 3

// RevisionConflictError reports that another operator was faster.
type RevisionConflictError struct {
	BaseRevision, Current document.Revision
	// Author is who wrote the current revision.
	Author string
	// Changes are those that the current revision changed since the one that the
	// document was based on.
	Changes []document.Change
}

// Error implements error.
func (e *RevisionConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "document is based on revision %d, but revision %d by %q is in force", e.BaseRevision, e.Current, e.Author)
	for _, f := range e.Changes {
		fmt.Fprintf(&b, "; %s", f)
	}
	return b.String()
}

// OutcomeUnknownError reports a proposal whose reply was lost and could not be
// read back: the revision may have been accepted.
type OutcomeUnknownError struct {
	Revision document.Revision
	Err      error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("revision %d may have been accepted, see the history: %v", e.Revision, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Store is where documents are kept.
type Store struct {
	Table   platform.Table
	Objects platform.ObjectStore
}

// Proposal is a document that an operator wants in force.
type Proposal struct {
	// ID is unique, so that a lost reply can be told from another's success.
	ID           string
	Body         []byte
	BaseRevision document.Revision
	Author       string
	// NowUnixMS is the time of the proposal in milliseconds since 1970 UTC.
	NowUnixMS int64
}

// Propose stores a document and makes it the next revision, if the one that it
// is based on is still in force. The body is stored before the head names it.
// It runs on any goroutine.
func Propose(ctx context.Context, s Store, p Proposal) (document.Head, error) {
	head, version, err := ReadHead(ctx, s.Table)
	if err != nil {
		return document.Head{}, err
	}
	if head.Revision != p.BaseRevision {
		return document.Head{}, s.conflict(ctx, p.BaseRevision, head)
	}
	next := document.Head{
		Revision:       p.BaseRevision + 1,
		Digest:         document.Digest(p.Body),
		Author:         p.Author,
		AcceptedUnixMS: p.NowUnixMS,
		Proposal:       p.ID,
	}
	if err := s.Objects.Put(ctx, platform.ConfigObjectKey(int64(next.Revision), next.Digest), p.Body); err != nil {
		return document.Head{}, err
	}
	return s.accept(ctx, next, version)
}

// accept writes the head and its history row in one transaction. Without a
// reply the same transaction is tried again: its check lets it take effect once.
func (s Store) accept(ctx context.Context, next document.Head, version platform.Version) (document.Head, error) {
	txn, err := headTxn(next, version)
	if err != nil {
		return document.Head{}, err
	}
	sent := false
	for range acceptTries {
		_, err = s.Table.Commit(ctx, txn)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return next, nil
		case errors.As(err, &conflict):
			return s.settle(ctx, next)
		case mayHaveRun(err):
			sent = true
		}
	}
	if !sent {
		return document.Head{}, err
	}
	return document.Head{}, &OutcomeUnknownError{Revision: next.Revision, Err: err}
}

func headTxn(next document.Head, version platform.Version) (platform.Txn, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return platform.Txn{}, err
	}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: platform.ConfigHeadKey, Version: version}},
		Puts: []platform.Put{
			{Key: platform.ConfigHeadKey, Value: value},
			{Key: historyKey(next.Revision), Value: value},
		},
	}
	if old := next.Revision - keptRevisions; old > 0 {
		txn.Deletes = []string{historyKey(old)}
	}
	return txn, nil
}

// settle finds out after a conflict whether the proposal itself took effect
// earlier, by the history row of its revision.
func (s Store) settle(ctx context.Context, next document.Head) (document.Head, error) {
	rows, err := s.Table.Get(ctx, historyKey(next.Revision), platform.ConfigHeadKey)
	if err != nil {
		return document.Head{}, &OutcomeUnknownError{Revision: next.Revision, Err: err}
	}
	winner, _, err := decodeHead(rows[0])
	if err != nil {
		return document.Head{}, &OutcomeUnknownError{Revision: next.Revision, Err: err}
	}
	if winner.Proposal == next.Proposal {
		return next, nil
	}
	current, _, err := decodeHead(rows[1])
	if err != nil {
		return document.Head{}, err
	}
	if winner.Digest != next.Digest {
		_ = s.Objects.Delete(ctx, platform.ConfigObjectKey(int64(next.Revision), next.Digest))
	}
	return document.Head{}, s.conflict(ctx, next.Revision-1, current)
}

// conflict names what has changed since the base, as far as it can be read.
func (s Store) conflict(ctx context.Context, based document.Revision, current document.Head) error {
	e := &RevisionConflictError{BaseRevision: based, Current: current.Revision, Author: current.Author}
	before := document.Document{}
	if based > 0 {
		_, doc, err := s.Revision(ctx, based)
		if err != nil {
			return e
		}
		before = doc
	}
	if after, err := load(ctx, s.Objects, current); err == nil {
		e.Changes = document.Diff(before, after)
	}
	return e
}

func mayHaveRun(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Verdict != verdict.NotRun
}
