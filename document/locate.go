package document

import (
	"errors"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/bambooyard/bambooyard/inventory"
)

// prefixFields returns err with section and a dot before the field of every
// *FieldError in it.
func prefixFields(section string, err error) error {
	return mapFieldErrors(err, func(e inventory.FieldError) inventory.FieldError {
		e.Field = section + "." + e.Field
		return e
	})
}

// addLines sets the line of every *FieldError in err to that of its field in data,
// or of the nearest enclosing field that data contains.
func addLines(data []byte, err error) error {
	file, parseErr := parser.ParseBytes(data, 0)
	if parseErr != nil {
		return err
	}
	return mapFieldErrors(err, func(e inventory.FieldError) inventory.FieldError {
		e.Line = fieldLine(file, e.Field)
		return e
	})
}

// mapFieldErrors returns err with change applied to every *FieldError joined in it.
func mapFieldErrors(err error, change func(inventory.FieldError) inventory.FieldError) error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		var field *inventory.FieldError
		if errors.As(err, &field) {
			changed := change(*field)
			return &changed
		}
		return err
	}
	var out []error
	for _, e := range joined.Unwrap() {
		out = append(out, mapFieldErrors(e, change))
	}
	return errors.Join(out...)
}

// fieldLine returns the line of a field such as `inventory.vms[3].rack` or of the
// nearest enclosing field, or zero if there is none.
func fieldLine(file *ast.File, field string) int {
	for field != "" {
		path, err := yaml.PathString("$." + field)
		if err != nil {
			return 0
		}
		if node, err := path.FilterFile(file); err == nil && node != nil {
			return node.GetToken().Position.Line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 0
}
