package document

import (
	"errors"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/bambooyard/bambooyard/inventory"
)

// within puts a section's name before the fields of the errors in it.
func within(section string, err error) error {
	return each(err, func(e inventory.FieldError) inventory.FieldError {
		e.Field = section + "." + e.Field
		return e
	})
}

// locate adds to each error the line of its field in the file, or of the
// nearest field around it if that is left out.
func locate(data []byte, err error) error {
	file, parseErr := parser.ParseBytes(data, 0)
	if parseErr != nil {
		return err
	}
	return each(err, func(e inventory.FieldError) inventory.FieldError {
		e.Line = line(file, e.Field)
		return e
	})
}

// each returns err with a function applied to every joined *FieldError.
func each(err error, change func(inventory.FieldError) inventory.FieldError) error {
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
		out = append(out, each(e, change))
	}
	return errors.Join(out...)
}

// line returns the line of a field such as `inventory.vms[3].rack`.
func line(file *ast.File, field string) int {
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
