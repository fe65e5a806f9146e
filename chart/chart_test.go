package chart_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/chart"
)

const door = `
name: door
initial: shut
final: [gone]
transitions:
  - {from: shut, event: open, to: ajar}
  - {from: ajar, event: shut, to: shut}
  - {from: ajar, event: remove, to: gone}
`

var doorNames = chart.Names{
	States: []chart.State{"shut", "ajar", "gone"},
	Events: []chart.Event{"open", "shut", "remove"},
}

func Example() {
	c := chart.MustLoad([]byte(door), doorNames)
	next, err := c.Next(c.Initial(), "open")
	fmt.Println(next, err)
	_, err = c.Next("shut", "remove")
	fmt.Println(err)
	// Output:
	// ajar <nil>
	// chart "door": state "shut" does not accept event "remove"
}

func TestLoadRejectsInvalidFiles(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":     door + "colour: red\n",
		"unreachable state": door + "  - {from: lost, event: open, to: shut}\n",
		"event twice":       door + "  - {from: shut, event: open, to: gone}\n",
		"final with event":  door + "  - {from: gone, event: open, to: shut}\n",
		"event not in code": door + "  - {from: ajar, event: slam, to: shut}\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := chart.Load([]byte(text), doorNames)
			var file *chart.FileError
			is.True(errors.As(err, &file))
		})
	}
}

func TestLoadRejectsNamesThatTheFileLacks(t *testing.T) {
	is := is.New(t)
	names := doorNames
	names.Events = append(names.Events, "paint")
	_, err := chart.Load([]byte(door), names)
	is.True(err != nil)
	is.Equal(err.Error(), `chart "door": event "paint" is in the code but not in the file`)
}
