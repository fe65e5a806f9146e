package configsync

import (
	"context"
	"fmt"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/platform"
)

// historyPrefix is the key prefix of the rows that hold the head of each revision.
const historyPrefix = "config/history/"

// historyKey returns the key of a revision's row. The revision is padded, so that
// keys sort by revision.
func historyKey(r document.Revision) string { return fmt.Sprintf("%s%012d", historyPrefix, int64(r)) }

// UnknownRevisionError reports a revision that was never accepted or is no
// longer retained.
type UnknownRevisionError struct{ Revision document.Revision }

// Error implements error.
func (e *UnknownRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not kept", e.Revision)
}

// History returns the heads of up to limit latest revisions, oldest first.
func (s Store) History(ctx context.Context, limit int) ([]document.Head, error) {
	current, _, err := ReadHead(ctx, s.Table)
	if err != nil {
		return nil, err
	}
	after := ""
	if old := current.Revision - document.Revision(limit); old > 0 {
		after = historyKey(old)
	}
	rows, err := s.Table.Scan(ctx, historyPrefix, after, limit)
	if err != nil {
		return nil, err
	}
	heads := make([]document.Head, 0, len(rows))
	for _, row := range rows {
		head, _, err := decodeHead(row)
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	return heads, nil
}

// Revision returns the head and the document of a retained revision, or an
// *UnknownRevisionError.
func (s Store) Revision(ctx context.Context, r document.Revision) (document.Head, document.Document, error) {
	head, body, err := s.Body(ctx, r)
	if err != nil {
		return document.Head{}, document.Document{}, err
	}
	doc, err := document.Decode(body)
	return head, doc, err
}

// Body returns the head and the encoded document of a retained revision, or an
// *UnknownRevisionError.
func (s Store) Body(ctx context.Context, r document.Revision) (document.Head, []byte, error) {
	rows, err := s.Table.Get(ctx, historyKey(r))
	if err != nil {
		return document.Head{}, nil, err
	}
	if rows[0].Version == 0 {
		return document.Head{}, nil, &UnknownRevisionError{r}
	}
	head, _, err := decodeHead(rows[0])
	if err != nil {
		return document.Head{}, nil, err
	}
	body, err := s.Objects.Get(ctx, platform.ConfigObjectKey(int64(head.Revision), head.Digest))
	return head, body, err
}
