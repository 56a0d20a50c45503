// Package command implements the command line, with one file per subcommand. The subcommand
// serve runs an instance of the product's own interface (package instance), and front runs
// one on the users' platform (package batch).
package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"sort"

	// The adapters of the shipped binary.
	_ "github.com/teaselcleat/teaselcleat/adapters/all"
)

// Exit codes.
const (
	ExitOK     = 0 // the operation succeeded
	ExitFailed = 1 // the operation failed
	ExitUsage  = 2 // wrong usage or settings
)

// Version is what the version subcommand prints.
const Version = "0.1.0"

// output holds the writers for the output and the errors of a subcommand.
type output struct {
	out io.Writer
	err io.Writer
}

// subcommand is an entry of the command line.
type subcommand struct {
	usage string
	run   func(args []string, to output) int
}

func subcommands() map[string]subcommand {
	return map[string]subcommand{
		"front":    {"front [-settings FILE]: run one instance on the users' platform", runFront},
		"serve":    {"serve -config FILE: run one entry instance", runServe},
		"dev":      {"dev [-demo]: run the whole system in one process on loopback", runDev},
		"check":    {"check -config FILE | -platform FILE: check a settings file", runCheck},
		"submit":   {"submit [flags]: submit a request or a gang job", runSubmit},
		"status":   {"status -addr ADDR ID: print a job's state", runStatus},
		"cancel":   {"cancel -addr ADDR ID: cancel a job", runCancel},
		"targets":  {"targets get|propose: read or change the operators' targets", runTargets},
		"zones":    {"zones list|evacuate|return -addr ADDR [ZONE]: list availability zones, evacuate them or return them to service", runZones},
		"refusals": {"refusals -addr ADDR [-workspace W]: print recorded refusals", runRefusals},
		"timeline": {"timeline [-job ID] [-workspace W] ADDR...: merge the events of processes", runTimeline},
		"replay":   {"replay -settings FILE [-policy NAME] TRACE: replay a recorded trace", runReplay},
		"explain":  {"explain ID LOG...: merge the log lines of several processes about a job", runExplain},
		"fleet":    {"fleet ADDR...: print the status of instances on the platform", runFleet},
		"version":  {"version: print the version", runVersion},
	}
}

// Main runs a subcommand and returns the exit code.
func Main(args []string, out, err io.Writer) int {
	to := output{out: out, err: err}
	if len(args) == 0 {
		printUsage(to)
		return ExitUsage
	}
	cmd, ok := subcommands()[args[0]]
	if !ok {
		fmt.Fprintf(err, "teaselcleat: unknown command %q\n", args[0])
		printUsage(to)
		return ExitUsage
	}
	return cmd.run(args[1:], to)
}

func printUsage(to output) {
	commands := subcommands()
	names := make([]string, 0, len(commands))
	for name := range commands {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintln(to.err, "usage: teaselcleat COMMAND [flags]")
	for _, name := range names {
		fmt.Fprintln(to.err, "  "+commands[name].usage)
	}
}

// newFlags returns a flag set that returns errors instead of exiting.
func newFlags(name string, to output) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(to.err)
	return flags
}

// parse parses flags and checks the number of remaining arguments. If ok is false, the
// subcommand must return code.
func parse(flags *flag.FlagSet, args []string, minArgs, maxArgs int, to output) (code int, ok bool) {
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK, false
	}
	if err != nil {
		return ExitUsage, false
	}
	if flags.NArg() < minArgs || flags.NArg() > maxArgs {
		fmt.Fprintf(to.err, "%s: wrong number of arguments\n", flags.Name())
		flags.Usage()
		return ExitUsage, false
	}
	return ExitOK, true
}

func fail(to output, name string, err error) int {
	fmt.Fprintf(to.err, "%s: %s\n", name, err.Error())
	return ExitFailed
}

func runVersion(args []string, to output) int {
	if code, ok := parse(newFlags("version", to), args, 0, 0, to); !ok {
		return code
	}
	fmt.Fprintln(to.out, "teaselcleat "+Version)
	return ExitOK
}
