// Package document describes the configuration document that operators write. It
// consists of the inventory and the rules, and has a revision and a digest.
package document

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"

	"github.com/bambooyard/bambooyard/intake"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/rules"
)

// Document is the whole configuration.
type Document struct {
	Inventory inventory.Inventory `yaml:"inventory" json:"inventory"`
	Rules     rules.Rules         `yaml:"rules" json:"rules"`
}

// Revision is the number of an accepted document and increases with each. Zero
// means that there is none.
type Revision int64

// Head identifies the document that is in force.
type Head struct {
	Revision Revision `json:"revision"`
	// Digest is the digest of the body, as Digest returns it.
	Digest string `json:"digest"`
	// Author is the operator who proposed it.
	Author string `json:"author"`
	// AcceptedUnixMS is the time of acceptance in milliseconds since 1970 UTC.
	AcceptedUnixMS int64 `json:"accepted_unix_ms"`
	// Proposal is the unique ID of the accepted proposal.
	Proposal string `json:"proposal,omitempty"`
}

// DecodeError reports a document that cannot be parsed, such as one with invalid
// YAML or an unknown field. Err names the line and the field.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("document cannot be read: %v", e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Decode parses and checks a document. Unknown fields are an error. The error is
// a *DecodeError, or joined *inventory.FieldError with their lines.
func Decode(data []byte) (Document, error) {
	var d Document
	if err := intake.CheckYAMLDepth(data); err != nil {
		return Document{}, &DecodeError{Err: err}
	}
	if err := yaml.UnmarshalWithOptions(data, &d, yaml.Strict()); err != nil {
		return Document{}, &DecodeError{Err: err}
	}
	if err := Check(d); err != nil {
		return Document{}, addLines(data, err)
	}
	return d, nil
}

// Encode returns the document as YAML.
func Encode(d Document) ([]byte, error) { return yaml.Marshal(d) }

// Check returns every error in the document as joined *inventory.FieldError.
func Check(d Document) error {
	return errors.Join(
		prefixFields("inventory", inventory.Check(d.Inventory)),
		prefixFields("rules", rules.Check(d.Rules, d.Inventory)),
	)
}

// Digest returns the XXH64 digest of a body as 16 hexadecimal digits.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Newer reports whether a daemon that has adopted current may adopt next. A
// daemon never returns to an older revision, even if a slow read delivers one.
func Newer(current, next Head) bool { return next.Revision > current.Revision }
