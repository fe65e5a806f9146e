package intake

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// StructureError reports a document that is small in bytes and large when it is decoded.
type StructureError struct {
	What  string
	Limit int
}

// Error implements error.
func (e *StructureError) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.What) }

// CheckJSON returns a *StructureError if valid JSON has more objects or more values than the limits.
// It allocates nothing.
func CheckJSON(data []byte, maxObjects, maxValues int) error {
	objects, values, inString := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch b := data[i]; {
		case b == '"':
			inString = !inString
		case inString:
			if b == '\\' {
				i++
			}
		case b == '{':
			objects++
			values++
		case b == '[' || b == ',':
			values++
		}
	}
	if objects > maxObjects {
		return &StructureError{"objects", maxObjects}
	}
	if values > maxValues {
		return &StructureError{"values", maxValues}
	}
	return nil
}

// maxYAMLDepth is the greatest depth of collections within each other. The time and the memory to
// parse them grow with the square of their depth.
const maxYAMLDepth = 32

// YAMLNodeBytes is about the memory that decoding takes for each of the YAMLNodes.
const YAMLNodeBytes = 1 << 10

// YAMLNodes returns an upper bound of the number of keys and values in a YAML document that decoding
// makes nodes of: the characters that can separate them, wherever they stand.
func YAMLNodes(data []byte) int {
	n := 0
	for _, b := range data {
		switch b {
		case '[', ']', '{', '}', ',', ':', '-', '?', '&', '*', '|', '>', '#', '!', '\n':
			n++
		}
	}
	return n
}

// CheckYAML returns a *StructureError if a YAML document has more nodes than the limit or collections
// too deep within each other.
func CheckYAML(data []byte, maxNodes int) error {
	if YAMLNodes(data) > maxNodes {
		return &StructureError{"separators of keys and values", maxNodes}
	}
	return CheckYAMLDepth(data)
}

// CheckYAMLDepth returns a *StructureError if a YAML document has collections too deep within each
// other. It takes about a quarter of the memory of decoding.
func CheckYAMLDepth(data []byte) error {
	depth, line, entries := 0, 0, 0
	for _, t := range lexer.Tokenize(string(data)) {
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.SequenceEntryType: // entries on one line are sequences within each other
			if t.Position.Line != line {
				line, entries = t.Position.Line, 0
			}
			entries++
		}
		if depth > maxYAMLDepth || entries > maxYAMLDepth {
			return &StructureError{"collections within each other", maxYAMLDepth}
		}
	}
	return nil
}
