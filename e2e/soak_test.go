package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// CI plays few mishaps; a long run by hand is `go test ./e2e -run Soak -soak.rounds 300
// -soak.seed N`, and one in which instances drive shares of the workers for the holder
// has `-soak.instances 6 -soak.workers 500`.
var (
	soakRounds    = flag.Int("soak.rounds", 8, "mishaps in the fault soak")
	soakSeed      = flag.Uint64("soak.seed", 1, "seed of the fault soak")
	soakInstances = flag.Int("soak.instances", 3, "instances in the fault soak")
	soakWorkers   = flag.Int("soak.workers", 4, "workers in the fault soak")
)

// sharedFrom is the number of workers from which the holder gives shares of them to
// other instances.
const sharedFrom = 480

// soak is a fleet under mishaps with jobs handed in all the while.
type soak struct {
	*fleet
	random   *rand.Rand
	accepted []string
	unknown  []string // may or may not have been accepted
	refused  []string // told that they never run
	fatal    []string // accepted, and end their workers
	next     int
}

// Kills, freezes, planned stops, outages and lost answers of the store, and tasks that
// end their workers, one after the other: every accepted job ends as done, every refused
// one is never started, no task is started again after it was done, and those that end
// their workers are given up after few.
func TestPlatformSoak(t *testing.T) {
	s := &soak{fleet: newFleet(t, *soakInstances, *soakWorkers), random: rand.New(rand.NewPCG(*soakSeed, 2))}
	if *soakWorkers >= sharedFrom {
		s.until("shares given out", func() bool { return s.logged("msg=keeper_won") })
	}
	for round := range *soakRounds {
		s.submit(3)
		s.mishap(round)
		s.submit(2)
	}
	s.store.SetFaults(standin.StoreFaults{})
	s.waitReady()
	for _, id := range s.accepted {
		s.until("done: "+id, func() bool { return s.state(s.live(), id) == "done" })
	}
	for _, id := range s.fatal {
		s.until("given up: "+id, func() bool { return s.state(s.live(), id) == "failed" })
		if starts := s.starts(id + ".0.0.0"); starts > crashStartsMost {
			t.Errorf("job %s, which ends its workers, was started %d times", id, starts)
		}
	}
	for _, id := range s.refused {
		if starts := s.starts(id + ".0.0.0"); starts > 0 {
			t.Errorf("job %s was refused as never to run, and started", id)
		}
	}
	for _, id := range append(s.accepted, s.unknown...) {
		s.checkStarts(id)
	}
}

// checkStarts allows a task more than one start only if an earlier run did not
// end as done: here none fails, so only runs that were stopped repeat, and those whose
// end was lost with its worker before anyone took note of it.
func (s *soak) checkStarts(id string) {
	done, lost := 0, 0
	for _, worker := range s.allWorkers() {
		done += worker.Done(id + ".0.1.0")
		lost += worker.Lost(id + ".0.1.0")
	}
	if done-lost > 1 {
		s.t.Errorf("a task of %s was done %d times, of which %d ends were lost with their workers", id, done, lost)
	}
}

// logged reports whether an instance has written some text to its log.
func (s *soak) logged(text string) bool {
	for _, instance := range s.instances {
		content, err := os.ReadFile(instance.log.Name())
		if err == nil && strings.Contains(string(content), text) {
			return true
		}
	}
	return false
}

func (s *soak) live() *frontInstance {
	for {
		instance := s.instances[s.random.IntN(len(s.instances))]
		if instance.command.ProcessState == nil {
			return instance
		}
	}
}

func (s *soak) submit(count int) {
	for range count {
		s.next++
		id := fmt.Sprintf("%016x", s.next)
		switch status, _ := s.call(s.live(), http.MethodPost, id, "key-a", gangJob); status {
		case http.StatusOK:
			s.accepted = append(s.accepted, id)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			s.refused = append(s.refused, id)
		default:
			s.unknown = append(s.unknown, id)
		}
	}
}

func (s *soak) mishap(round int) {
	victim := s.random.IntN(len(s.instances))
	switch round % 6 {
	case 0:
		s.replace(victim, syscall.SIGKILL)
	case 1:
		s.store.SetFaults(standin.StoreFaults{LoseAnswers: 3, Keep: 20})
	case 2:
		s.instances[victim].command.Process.Signal(syscall.SIGSTOP)
		s.submit(2)
		time.Sleep(time.Duration(s.random.IntN(2500)) * time.Millisecond)
		s.instances[victim].command.Process.Signal(syscall.SIGCONT)
	case 3:
		s.store.SetFaults(standin.StoreFaults{Down: true})
		s.submit(2)
		time.Sleep(time.Duration(s.random.IntN(1500)) * time.Millisecond)
		s.store.SetFaults(standin.StoreFaults{Keep: 5})
	case 4:
		s.replace(victim, syscall.SIGTERM)
	case 5:
		s.submitFatal()
	}
}

// submitFatal hands in a job whose task ends its workers.
func (s *soak) submitFatal() {
	s.next++
	id := fmt.Sprintf("%016x", s.next)
	if status, _ := s.call(s.live(), http.MethodPost, id, "key-a", crashJob); status == http.StatusOK {
		s.fatal = append(s.fatal, id)
	}
}

// replace ends an instance by a signal and starts one of the same name.
func (s *soak) replace(victim int, signal syscall.Signal) {
	old := s.instances[victim]
	old.command.Process.Signal(signal)
	// How a killed process ended is known.
	_ = old.command.Wait()
	s.startInstance(old.name)
	s.instances = append(s.instances[:victim], s.instances[victim+1:]...)
}
