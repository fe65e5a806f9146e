package cli

import "fmt"

type validateCommand struct {
	tool *tool
	outputOption
	File string `short:"f" long:"file" required:"true" description:"document in YAML"`
}

// documentCount is the number of objects in a valid document, as JSON.
type documentCount struct {
	VMs      int `json:"vms"`
	Services int `json:"services"`
	Members  int `json:"members"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	_, doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	count := documentCount{len(doc.Inventory.VMs), len(doc.Inventory.Services), len(doc.Rules.Members)}
	if c.json() {
		return printJSON(c.tool.out, count)
	}
	_, _ = fmt.Fprintf(c.tool.out, "VMs: %d, services: %d, members: %d\n", count.VMs, count.Services, count.Members)
	return nil
}
