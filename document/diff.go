package document

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one field whose value differs between two documents. Before is
// empty for an added field, After for a removed one.
type Change struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("%s: added %s", c.Field, c.After)
	case c.After == "":
		return fmt.Sprintf("%s: removed %s", c.Field, c.Before)
	default:
		return fmt.Sprintf("%s: %s becomes %s", c.Field, c.Before, c.After)
	}
}

// Diff returns the changed fields, sorted by field. List elements are identified
// by their key, so that a change of order alone is not a change.
func Diff(before, after Document) []Change {
	a, b := flatten(before), flatten(after)
	var changes []Change
	for field, value := range a {
		if b[field] != value {
			changes = append(changes, Change{Field: field, Before: value, After: b[field]})
		}
	}
	for field, value := range b {
		if _, ok := a[field]; !ok {
			changes = append(changes, Change{Field: field, After: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

// flatten returns the JSON values of the document's leaves by field path.
func flatten(d Document) map[string]string {
	leaves := map[string]string{}
	data, err := json.Marshal(d)
	if err != nil {
		return leaves
	}
	var tree map[string]any
	if json.Unmarshal(data, &tree) != nil {
		return leaves
	}
	collectLeaves(leaves, "", tree)
	return leaves
}

// collectLeaves adds the leaves below node to leaves; field is the path of node.
func collectLeaves(leaves map[string]string, field string, node any) {
	switch n := node.(type) {
	case map[string]any:
		for name, child := range n {
			collectLeaves(leaves, joinPath(field, name), child)
		}
	case []any:
		for i, child := range n {
			collectLeaves(leaves, fmt.Sprintf("%s[%s]", field, elementKey(child, i)), child)
		}
	case nil:
	default:
		text, _ := json.Marshal(n) //nolint:errcheck // a decoded scalar can be encoded
		leaves[field] = string(text)
	}
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// keyFields are the fields that identify a list element; the first that an
// element has is used, with its member if it has one.
var keyFields = []string{"name", "address", "service", "regions"}

// elementKey returns the key of a list element in field paths: the value of its
// key field, the string itself, or its index.
func elementKey(element any, index int) string {
	object, ok := element.(map[string]any)
	if !ok {
		if text, ok := element.(string); ok {
			return text
		}
		return fmt.Sprint(index)
	}
	for _, name := range keyFields {
		if value, ok := object[name]; ok {
			if member, ok := object["member"]; ok {
				return fmt.Sprintf("%v/%v", value, member)
			}
			return fmt.Sprint(value)
		}
	}
	return fmt.Sprint(index)
}
