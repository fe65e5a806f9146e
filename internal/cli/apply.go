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
	basedOn := document.Revision(c.BasedOn)
	if basedOn < 0 {
		current, _, err := c.tool.currentDocument()
		if err != nil {
			return err
		}
		basedOn = current.Revision
	}
	head, err := c.tool.putDocument(body, c.Author, basedOn)
	if err != nil {
		return err
	}
	return c.tool.reportAccepted(c.changeOption, head)
}
