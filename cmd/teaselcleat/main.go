// Command teaselcleat is the only binary of the scheduler; package command implements its
// subcommands.
package main

import (
	"os"

	"github.com/teaselcleat/teaselcleat/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
