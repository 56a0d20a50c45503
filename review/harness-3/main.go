// Command harness-3 plays one case of the review: it starts the instances of a small deployment as
// processes, with stand-ins of the store, the runners and the clients, and judges one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("broken")

// cases holds the cases by name. Each plays with its disruption, or does the same without it.
var cases = map[string]func(f *fleet, trouble bool) error{
	"record":    recordCase,
	"late-copy": lateCopyCase,
	"search":    exploreCase,
	"memory":    memoryCase,
}

func main() {
	runtime.LockOSThread() // the instances end with the thread that started them
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", ".", "where record.txt is written")
	flag.Parse()
	os.Exit(play(*name, *folder))
}

func play(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil || cases[name] == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return 2
	}
	defer record.Close()
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.close()
		os.Exit(2)
	}()
	f.events.add("case %s, trouble %t", name, trouble)
	err = cases[name](f, trouble)
	switch {
	case errors.Is(err, errBroken):
		f.events.add("%s", err)
		fmt.Println(err)
		return 1
	case err != nil:
		f.events.add("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f.events.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
