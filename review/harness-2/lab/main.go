// Command lab plays one case of a review: a small deployment of real processes with stand-ins of the
// store, the workers and the clients. It exits with 1 if a rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case; trouble is false for the same without the disruption.
type scenario func(f *fleet, trouble bool, seed uint64) error

var scenarios = map[string]scenario{
	"anti-affinity": playAntiAffinity,
}

func main() { os.Exit(playCase()) }

func playCase() int {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "", "the built program")
	recordPath := flag.String("record", "", "the file for what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "the seed of random choices")
	keep := flag.String("keep", "", "a folder that keeps the logs of the processes")
	flag.Parse()
	play := scenarios[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "lab: unknown case "+*name)
		return exitNotRun
	}
	record, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab: "+err.Error())
		return exitNotRun
	}
	defer record.Close()
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-2-"); err != nil {
			fmt.Fprintln(os.Stderr, "lab: "+err.Error())
			return exitNotRun
		}
		defer os.RemoveAll(dir)
	}
	w := newWorld(record)
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s trouble %t seed %d", *name, trouble, *seed)
	f, err := newFleet(w, *program, dir)
	if err == nil {
		defer f.stop()
		err = play(f, trouble, *seed)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.breaks) > 0 {
		w.note("result: broken, %d times", len(w.breaks))
		fmt.Println("broken: " + w.breaks[0])
		return exitBroken
	}
	if err != nil {
		w.note("result: not run, %v", err)
		fmt.Println("not run: " + err.Error())
		return exitNotRun
	}
	w.note("result: held")
	fmt.Println("held")
	return exitHeld
}
