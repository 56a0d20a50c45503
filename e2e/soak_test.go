package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// CI injects few faults. A long manual run is `go test ./e2e -run Soak -soak.rounds 300
// -soak.seed N`; with `-soak.instances 6 -soak.workers 500` the leader delegates shards of the
// workers to other instances.
var (
	soakRounds    = flag.Int("soak.rounds", 9, "number of faults in the fault soak")
	soakSeed      = flag.Uint64("soak.seed", 1, "seed of the fault soak")
	soakInstances = flag.Int("soak.instances", 3, "instances in the fault soak")
	soakWorkers   = flag.Int("soak.workers", 4, "workers in the fault soak")
	soakSameIDs   = flag.Bool("soak.sameids", true, "restarted workers in the fault soak keep their IDs")
)

// minShardedWorkers is the number of workers from which the leader delegates shards of them to
// other instances.
const minShardedWorkers = 480

// soak is a fleet that gets one fault after the other while jobs are submitted.
type soak struct {
	*fleet
	random   *rand.Rand
	accepted []string
	unknown  []string // no definite answer: may have been accepted
	refused  []string // refused as never to run
	crashing []string // accepted, and their task crashes its worker
	narrow   []string // accepted, of one task
	nextID   int
}

// Injects one fault after the other: kills, freezes, graceful stops, outages and lost responses
// of the store, outages of parts of it beside a graceful stop of the leader, tasks that crash their workers, and worker restarts. Every accepted job must end
// as done, no refused job may start, no task may start again after it was done, and jobs that
// crash their workers must fail after few starts.
func TestPlatformSoak(t *testing.T) {
	fleet := startFleet(&fleet{t: t, store: standin.NewKeyedStore(), taskDuration: defaultTaskDuration, reuseIDs: *soakSameIDs}, *soakInstances, *soakWorkers)
	s := &soak{fleet: fleet, random: rand.New(rand.NewPCG(*soakSeed, 2))}
	if *soakWorkers >= minShardedWorkers {
		s.waitUntil("workers delegated", func() bool { return s.anyLogContains("msg=keeper_won") })
	}
	for round := range *soakRounds {
		s.submit(3)
		s.injectFault(round)
		s.submit(2)
	}
	s.store.SetFaults(standin.StoreFaults{})
	s.waitReady()
	for _, id := range append(s.accepted, s.narrow...) {
		s.waitUntil("done: "+id, func() bool { return s.jobState(s.randomLive(), id) == "done" })
	}
	for _, id := range s.crashing {
		s.waitUntil("given up: "+id, func() bool { return s.jobState(s.randomLive(), id) == "failed" })
		if starts := s.starts(id + ".0.0.0"); starts > maxCrashStarts {
			t.Errorf("job %s, which crashes its workers, was started %d times", id, starts)
		}
	}
	for _, id := range s.refused {
		if starts := s.starts(id + ".0.0.0"); starts > 0 {
			t.Errorf("job %s was refused as never to run, and was started", id)
		}
	}
	for _, id := range append(s.accepted, s.unknown...) {
		s.checkDoneOnce(id)
	}
	for _, id := range s.narrow {
		s.checkTaskDoneOnce(id + ".0.0.0")
	}
	s.checkAcks()
}

// randomLive returns a random instance whose process was not ended by a fault.
func (s *soak) randomLive() *frontInstance {
	for {
		instance := s.instances[s.random.IntN(len(s.instances))]
		if instance.cmd.ProcessState == nil {
			return instance
		}
	}
}

// submit submits jobs and records whether they were accepted.
func (s *soak) submit(count int) {
	for range count {
		s.nextID++
		id := fmt.Sprintf("%016x", s.nextID)
		switch status, _ := s.call(s.randomLive(), http.MethodPost, id, "key-a", gangJob); status {
		case http.StatusOK:
			s.accepted = append(s.accepted, id)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			s.refused = append(s.refused, id)
		default:
			s.unknown = append(s.unknown, id)
		}
	}
}

// injectFault injects the fault of a round.
func (s *soak) injectFault(round int) {
	index := s.random.IntN(len(s.instances))
	switch round % 9 {
	case 0:
		s.restartInstance(index, syscall.SIGKILL)
	case 1:
		s.store.SetFaults(standin.StoreFaults{LoseAnswers: 3, Retain: 20})
	case 2:
		s.instances[index].cmd.Process.Signal(syscall.SIGSTOP)
		s.submit(2)
		time.Sleep(time.Duration(s.random.IntN(2500)) * time.Millisecond)
		s.instances[index].cmd.Process.Signal(syscall.SIGCONT)
	case 3:
		s.store.SetFaults(standin.StoreFaults{Down: true})
		s.submit(2)
		time.Sleep(time.Duration(s.random.IntN(1500)) * time.Millisecond)
		s.store.SetFaults(standin.StoreFaults{Retain: 5})
	case 4:
		s.restartInstance(index, syscall.SIGTERM)
	case 5:
		s.submitCrashing()
	case 6:
		s.restartWorkers(1)
	case 7:
		s.restartWorkers(2)
	case 8:
		s.handOverWithPartsAway()
	}
}

// handOverWithPartsAway stops the leader while the store turns all instances away from some of the
// partitions with jobs. The next leader has not read the newest of them, whose tasks end meanwhile.
func (s *soak) handOverWithPartsAway() {
	leader := s.leader()
	time.Sleep(readPause)
	submitUnread(6, 0, func(body string) {
		s.nextID++
		id := fmt.Sprintf("%016x", s.nextID)
		if status, _ := s.call(s.randomLive(), http.MethodPost, id, "key-a", body); status == http.StatusOK {
			s.narrow = append(s.narrow, id)
		}
	})
	s.store.SetFaults(standin.StoreFaults{ResetParts: drawJobParts(s.random)})
	s.restartInstance(slices.Index(s.instances, leader), syscall.SIGTERM)
	time.Sleep(standin.LongRunFactor * defaultTaskDuration)
	s.store.SetFaults(standin.StoreFaults{})
}

// restartWorkers restarts each worker with a probability of one half, as many times in a row as
// given.
func (s *soak) restartWorkers(times int) {
	for range times {
		for _, machine := range s.machines {
			if s.random.IntN(2) == 0 {
				machine.crash()
			}
		}
		s.submit(2)
		time.Sleep(machineRestartDelay + time.Duration(s.random.IntN(300))*time.Millisecond)
	}
}

// submitCrashing submits a job whose task crashes its workers.
func (s *soak) submitCrashing() {
	s.nextID++
	id := fmt.Sprintf("%016x", s.nextID)
	if status, _ := s.call(s.randomLive(), http.MethodPost, id, "key-a", crashJob); status == http.StatusOK {
		s.crashing = append(s.crashing, id)
	}
}

// restartInstance ends an instance with a signal and starts another under the same name.
func (s *soak) restartInstance(index int, signal syscall.Signal) {
	old := s.instances[index]
	old.cmd.Process.Signal(signal)
	// The exit status only repeats the signal.
	_ = old.cmd.Wait()
	s.startInstance(old.name)
	s.instances = append(s.instances[:index], s.instances[index+1:]...)
}
