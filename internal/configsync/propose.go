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

// retainedRevisions is the number of revisions that can be listed and rolled
// back to.
const retainedRevisions = 1000

// maxCommitAttempts bounds the commits of a head that get no reply.
const maxCommitAttempts = 3

// RevisionConflictError reports that the document's base is not the current
// revision: another document has been accepted since.
type RevisionConflictError struct {
	BaseRevision, Current document.Revision
	// Author is the author of the current revision.
	Author string
	// Changes are the fields that differ between the base and the current
	// revision; empty if either cannot be read.
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

// OutcomeUnknownError reports a proposal that may have been accepted: the reply
// to its commit was lost and its history row could not be read.
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

// Store holds the heads of documents in Table and their bodies in Objects.
type Store struct {
	Table   platform.Table
	Objects platform.ObjectStore
}

// Proposal is a document that an operator proposes as the next revision.
type Proposal struct {
	// ID is unique. It identifies the accepted proposal after a lost reply.
	ID           string
	Body         []byte
	BaseRevision document.Revision
	Author       string
	// NowUnixMS is the time of the proposal in milliseconds since 1970 UTC.
	NowUnixMS int64
}

// Propose stores a document and makes it the next revision if its base is still
// the current one; otherwise it returns a *RevisionConflictError. The body is
// stored before the head names it. Propose is safe for concurrent use.
func Propose(ctx context.Context, s Store, p Proposal) (document.Head, error) {
	head, version, err := ReadHead(ctx, s.Table)
	if err != nil {
		return document.Head{}, err
	}
	if head.Revision != p.BaseRevision {
		return document.Head{}, s.conflictError(ctx, p.BaseRevision, head)
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
	return s.commitHead(ctx, next, version)
}

// commitHead writes the head and its history row in one transaction. The same
// transaction is retried if it gets no reply: its check of the head's version
// lets it take effect only once.
func (s Store) commitHead(ctx context.Context, next document.Head, version platform.Version) (document.Head, error) {
	txn, err := headTxn(next, version)
	if err != nil {
		return document.Head{}, err
	}
	maybeCommitted := false
	for range maxCommitAttempts {
		_, err = s.Table.Commit(ctx, txn)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return next, nil
		case errors.As(err, &conflict):
			return s.resolveConflict(ctx, next)
		case mayHaveRun(err):
			maybeCommitted = true
		}
	}
	if !maybeCommitted {
		return document.Head{}, err
	}
	return document.Head{}, &OutcomeUnknownError{Revision: next.Revision, Err: err}
}

// headTxn returns the transaction that replaces the head of the given version,
// adds the history row and deletes the one that is no longer retained.
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
	if old := next.Revision - retainedRevisions; old > 0 {
		txn.Deletes = []string{historyKey(old)}
	}
	return txn, nil
}

// resolveConflict reads the history row of a proposal's revision after a
// conflict: the proposal may have been committed by an earlier attempt without a
// reply. If another proposal won, the body is deleted unless both have the same
// digest.
func (s Store) resolveConflict(ctx context.Context, next document.Head) (document.Head, error) {
	rows, err := s.Table.Get(ctx, historyKey(next.Revision), platform.ConfigHeadKey)
	if err != nil {
		return document.Head{}, &OutcomeUnknownError{Revision: next.Revision, Err: err}
	}
	accepted, _, err := decodeHead(rows[0])
	if err != nil {
		return document.Head{}, &OutcomeUnknownError{Revision: next.Revision, Err: err}
	}
	if accepted.Proposal == next.Proposal {
		return next, nil
	}
	current, _, err := decodeHead(rows[1])
	if err != nil {
		return document.Head{}, err
	}
	if accepted.Digest != next.Digest {
		_ = s.Objects.Delete(ctx, platform.ConfigObjectKey(int64(next.Revision), next.Digest))
	}
	return document.Head{}, s.conflictError(ctx, next.Revision-1, current)
}

// conflictError returns a *RevisionConflictError with the changes since the base
// if both documents can be read.
func (s Store) conflictError(ctx context.Context, base document.Revision, current document.Head) error {
	e := &RevisionConflictError{BaseRevision: base, Current: current.Revision, Author: current.Author}
	before := document.Document{}
	if base > 0 {
		_, doc, err := s.Revision(ctx, base)
		if err != nil {
			return e
		}
		before = doc
	}
	if after, err := fetchDocument(ctx, s.Objects, current); err == nil {
		e.Changes = document.Diff(before, after)
	}
	return e
}

// mayHaveRun reports whether err leaves open whether a commit took effect.
func mayHaveRun(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Verdict != verdict.NotRun
}
