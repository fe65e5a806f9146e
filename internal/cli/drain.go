package cli

import (
	"fmt"

	"github.com/bambooyard/bambooyard/document"
)

type drainCommand struct {
	tool *tool
	changeOption
	Undo bool `long:"undo" description:"let the VM receive new work again"`
	Args struct {
		VM string `positional-arg-name:"VM" required:"true"`
	} `positional-args:"true"`
}

// UnknownVMError reports a VM that the document in force does not list.
type UnknownVMError struct{ VM string }

// Error implements error.
func (e *UnknownVMError) Error() string {
	return fmt.Sprintf("VM %q does not exist in the document in force", e.VM)
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	head, doc, err := c.tool.currentDocument()
	if err != nil {
		return err
	}
	found := false
	for i := range doc.Inventory.VMs {
		if vm := &doc.Inventory.VMs[i]; vm.Name == c.Args.VM {
			vm.Draining, found = !c.Undo, true
		}
	}
	if !found {
		return &UnknownVMError{c.Args.VM}
	}
	body, err := document.Encode(doc)
	if err != nil {
		return err
	}
	next, err := c.tool.putDocument(body, c.Author, head.Revision)
	if err != nil {
		return err
	}
	return c.tool.reportAccepted(c.changeOption, next)
}
