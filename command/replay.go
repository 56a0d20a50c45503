package command

import (
	"fmt"
	"os"

	"github.com/teaselcleat/teaselcleat/replay"
	"github.com/teaselcleat/teaselcleat/scheduler"
)

func runReplay(args []string, to output) int {
	flags := newFlags("replay", to)
	path := flags.String("settings", "", "INI file with the inventory and the targets")
	policy := flags.String("policy", scheduler.PolicyTargets, "policy to replay under")
	if code, ok := parse(flags, args, 1, 1, to); !ok {
		return code
	}
	data, err := os.ReadFile(*path)
	if err != nil {
		fmt.Fprintln(to.err, "replay: "+err.Error())
		return ExitUsage
	}
	setup, err := replay.ParseSetup(data)
	if err != nil {
		fmt.Fprintf(to.err, "%s: %s\n", *path, err.Error())
		return ExitUsage
	}
	return replayTrace(setup, flags.Arg(0), *policy, to)
}

func replayTrace(setup *replay.Setup, path, policy string, to output) int {
	source, err := os.Open(path)
	if err != nil {
		return fail(to, "replay", err)
	}
	defer source.Close()
	events, err := replay.ReadTrace(source)
	if err != nil {
		return fail(to, path, err)
	}
	report, err := replay.Run(setup, events, policy)
	if err != nil {
		fmt.Fprintln(to.err, "replay: "+err.Error())
		return ExitUsage
	}
	for _, class := range report.Classes {
		fmt.Fprintln(to.out, class.Line())
	}
	fmt.Fprintf(to.out, "large_gangs=%d large_gang_wait_p99_s=%.1f\n", report.LargeGangs, report.LargeGangWaitP99S)
	fmt.Fprintln(to.out, report.Line())
	return ExitOK
}
