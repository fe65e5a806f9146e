package cli

import "fmt"

type validateCommand struct {
	tool *tool
	File string `short:"f" long:"file" required:"true" description:"document in YAML"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	_, doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.tool.out, "VMs: %d, services: %d, members: %d\n",
		len(doc.Inventory.VMs), len(doc.Inventory.Services), len(doc.Rules.Members))
	return nil
}
