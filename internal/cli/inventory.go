package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/inventory"
)

// outputFileMode is the mode of the document file that import writes.
const outputFileMode = 0o644

// inventoryCommand groups the sub-commands on the inventory.
type inventoryCommand struct{}

func (t *tool) registerInventory(parser *flags.Parser) error {
	group, err := parser.AddCommand("inventory", "Work with the asset register", "", &inventoryCommand{})
	if err != nil {
		return err
	}
	_, err = group.AddCommand("import", "Show what an asset register would change",
		"Reads the register's CSV and prints the changes against a document. Nothing is applied; apply the written document.",
		&importCommand{tool: t})
	return err
}

type importCommand struct {
	tool *tool
	outputOption
	CSV      string `long:"csv" required:"true" description:"asset register in CSV"`
	Document string `short:"f" long:"file" description:"document to compare with; the one in force if left out"`
	Write    string `long:"write" description:"file for the document with the new inventory"`
}

// Execute implements flags.Commander.
func (c *importCommand) Execute([]string) error {
	file, err := os.Open(c.CSV)
	if err != nil {
		return err
	}
	defer file.Close() //nolint:errcheck // the file is only read
	inv, err := inventory.ReadRegister(file)
	if err != nil {
		return &InvalidError{File: c.CSV, Err: err}
	}
	base, err := c.baseDocument()
	if err != nil {
		return err
	}
	merged := document.Document{Inventory: inventory.KeepDraining(inv, base.Inventory), Rules: base.Rules}
	if err := document.Check(merged); err != nil {
		return &InvalidError{File: c.CSV, Err: err}
	}
	if err := c.print(document.Diff(base, merged)); err != nil {
		return err
	}
	return c.write(merged)
}

// baseDocument returns the document that the register is compared with: the
// given file, or the document in force.
func (c *importCommand) baseDocument() (document.Document, error) {
	if c.Document == "" {
		_, doc, err := c.tool.currentDocument()
		return doc, err
	}
	_, doc, err := readDocument(c.Document)
	return doc, err
}

func (c *importCommand) print(changes []document.Change) error {
	if c.json() {
		return printJSON(c.tool.out, changes)
	}
	_, _ = fmt.Fprintf(c.tool.out, "%d changes\n", len(changes))
	printChanges(c.tool.out, changes)
	return nil
}

// write writes the document to the file of --write, if one is given.
func (c *importCommand) write(doc document.Document) error {
	if c.Write == "" {
		return nil
	}
	body, err := document.Encode(doc)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Write, body, outputFileMode)
}
