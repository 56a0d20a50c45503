// Command harness plays one case of the review: the project's own program as separate
// processes, with stand-ins of the store, the workers and the clients in this process. It
// exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	caseFailed = 2
)

// cases are the cases by name.
var cases = map[string]func(e *environment) int{
	"given-up":  playGivenUp,
	"left-idle": playLeftIdle,
	"not-there": playNotThere,
}

// environment is what a case plays with.
type environment struct {
	record    *record
	fleet     *fleet
	lateStore *lateStore
	system    *system
	trouble   bool
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the logs of the instances")
	flag.Parse()
	caseOf := cases[*name]
	if caseOf == nil {
		fmt.Fprintln(os.Stderr, "harness: no such case")
		return caseFailed
	}
	record, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness: "+err.Error())
		return caseFailed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness: "+err.Error())
		return caseFailed
	}
	if *keep {
		fmt.Println("logs in " + dir)
	} else {
		defer os.RemoveAll(dir)
	}
	f := newFleet(record)
	late := &lateStore{next: f.store, record: record}
	store := httptest.NewServer(late)
	e := &environment{record: record, fleet: f, lateStore: late, trouble: os.Getenv("TROUBLE") != "0"}
	e.system = &system{root: *root, dir: dir, storeAddr: strings.TrimPrefix(store.URL, "http://"), record: record}
	defer e.system.stopAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		record.add("the case took too long")
		e.system.stopAll()
		os.Exit(caseFailed)
	}()
	if err := e.startAll(3, 8); err != nil {
		record.add("the case could not run: %s", err)
		return caseFailed
	}
	code := caseOf(e)
	record.add("exit code %d", code)
	return code
}

// startAll starts workers and instances and waits until one instance leads.
func (e *environment) startAll(instances, workers int) error {
	e.record.add("disruption: %t", e.trouble)
	e.fleet.store.Put("keyed.op", "config", []byte(operatorConfig))
	for number := range workers {
		if _, err := e.fleet.startWorker(fmt.Sprintf("m-%d", number+1), "", number); err != nil {
			return err
		}
	}
	for range instances {
		if _, err := e.system.addMachine(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if e.system.leader() != nil {
			time.Sleep(2 * time.Second) // traffic starts after the machines do
			return nil
		}
	}
	return fmt.Errorf("no instance leads")
}

// follower returns an instance that runs and does not lead.
func (e *environment) follower() *instance {
	leader := e.system.leader()
	for _, i := range e.system.instances {
		if i != leader && i.alive() {
			return i
		}
	}
	return nil
}
