// Package document is the one document that operators write: the inventory
// and the rules on top of it, with its revision and digest.
package document

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"

	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/rules"
)

// Document is the whole configuration.
type Document struct {
	Inventory inventory.Inventory `yaml:"inventory" json:"inventory"`
	Rules     rules.Rules         `yaml:"rules" json:"rules"`
}

// Revision counts accepted documents; it only rises. Zero is no document.
type Revision int64

// Head names the document that is in force.
type Head struct {
	Revision Revision `json:"revision"`
	// Digest is the digest of the body, as Digest returns it.
	Digest string `json:"digest"`
	// Author is the operator who wrote it.
	Author string `json:"author"`
	// AcceptedUnixMS is the time of acceptance in milliseconds since 1970 UTC.
	AcceptedUnixMS int64 `json:"accepted_unix_ms"`
	// Proposal is the unique ID of the proposal that was accepted.
	Proposal string `json:"proposal,omitempty"`
}

// DecodeError reports a document that cannot be read. Err names line and field.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("document cannot be read: %v", e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Decode reads and checks a document. Unknown fields are refused. The error is
// a *DecodeError or a join of *inventory.FieldError that name their lines.
func Decode(data []byte) (Document, error) {
	var d Document
	if err := yaml.UnmarshalWithOptions(data, &d, yaml.Strict()); err != nil {
		return Document{}, &DecodeError{Err: err}
	}
	if err := Check(d); err != nil {
		return Document{}, locate(data, err)
	}
	return d, nil
}

// Encode returns the document as YAML.
func Encode(d Document) ([]byte, error) { return yaml.Marshal(d) }

// Check returns every mistake in the document, joined.
func Check(d Document) error {
	return errors.Join(
		within("inventory", inventory.Check(d.Inventory)),
		within("rules", rules.Check(d.Rules, d.Inventory)),
	)
}

// Digest returns the digest of a body: 16 hexadecimal digits.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Newer reports whether a daemon that has adopted current may adopt next. A
// daemon never goes back, whatever a slow read returns.
func Newer(current, next Head) bool { return next.Revision > current.Revision }
