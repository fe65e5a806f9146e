// Package verdict defines whether a request may have run on a target, and the error
// type that reports this to callers.
package verdict

// Verdict says whether a request may have run on a target. The zero value is
// MayHaveRun, so that a missing assignment never claims more than is known.
type Verdict uint8

const (
	// MayHaveRun means that at least one byte of the request may have reached a target.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request can have reached a target, or
	// that the target itself refused the request by its protocol.
	NotRun
	// Ran means that a target sent a complete response to the request.
	Ran
)

// Header is the name of the HTTP response header that carries the verdict.
const Header = "Bambooyard-Verdict"

// String returns the encoded form: "not-run", "may-have-run" or "ran".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict of an encoded form. Unknown text is MayHaveRun, the only
// safe value when nothing is known.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = Parse(string(text))
	return nil
}
