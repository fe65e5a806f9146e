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

// String returns the change as one line.
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

// Diff returns the fields that differ, by field. Elements of lists are known by
// their names, so that a change of order alone is none.
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

// flatten returns the document's leaves by field.
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
	walk(leaves, "", tree)
	return leaves
}

func walk(leaves map[string]string, field string, node any) {
	switch n := node.(type) {
	case map[string]any:
		for name, child := range n {
			walk(leaves, join(field, name), child)
		}
	case []any:
		for i, child := range n {
			walk(leaves, fmt.Sprintf("%s[%s]", field, elementName(child, i)), child)
		}
	case nil:
	default:
		text, _ := json.Marshal(n) //nolint:errcheck // a decoded scalar can be encoded
		leaves[field] = string(text)
	}
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// elementNames are the fields by which elements of lists are known.
var elementNames = []string{"name", "address", "service", "regions"}

func elementName(element any, index int) string {
	object, ok := element.(map[string]any)
	if !ok {
		if text, ok := element.(string); ok {
			return text
		}
		return fmt.Sprint(index)
	}
	for _, name := range elementNames {
		if value, ok := object[name]; ok {
			if member, ok := object["member"]; ok {
				return fmt.Sprintf("%v/%v", value, member)
			}
			return fmt.Sprint(value)
		}
	}
	return fmt.Sprint(index)
}
