// Command bambooyard is the command-line tool for operators and callers.
package main

import (
	"os"

	"github.com/bambooyard/bambooyard/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
