package cli

import "github.com/bambooyard/bambooyard/document"

type applyCommand struct {
	tool *tool
	changeOption
	File    string `short:"f" long:"file" required:"true" description:"document in YAML"`
	BasedOn int64  `long:"based-on" default:"-1" description:"revision that the document was edited from; the one in force if left out"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	body, _, err := readDocument(c.File)
	if err != nil {
		return err
	}
	based := document.Revision(c.BasedOn)
	if based < 0 {
		current, _, err := c.tool.current()
		if err != nil {
			return err
		}
		based = current.Revision
	}
	head, err := c.tool.put(body, c.Author, based)
	if err != nil {
		return err
	}
	return c.tool.accepted(c.changeOption, head)
}
