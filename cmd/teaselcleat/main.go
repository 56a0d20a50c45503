// Command teaselcleat is the scheduler's one binary; see package command for
// its subcommands.
package main

import (
	"os"

	"github.com/teaselcleat/teaselcleat/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
