package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// Workers restart under their former IDs while jobs run and while the leader is killed. Every job
// must be done, no task may be done twice, and no incarnation may get acknowledgements of task
// ends that it never had.
func TestPlatformWorkersStartAgainUnderTheirIDs(t *testing.T) {
	f := startFleet(&fleet{t: t, store: standin.NewKeyedStore(), taskDuration: defaultTaskDuration, reuseIDs: true}, 3, 3)
	var ids []string
	submit := func(instance *frontInstance) {
		id := fmt.Sprintf("%016x", 0xf000+len(ids))
		if status, _ := f.call(instance, http.MethodPost, id, "key-a", gangJob); status != http.StatusOK {
			t.Fatalf("submission: %d", status)
		}
		ids = append(ids, id)
	}
	waitDone := func(instance *frontInstance) {
		for _, id := range ids {
			f.waitUntil("done: "+id, func() bool { return f.jobState(instance, id) == "done" })
		}
	}
	for range 6 {
		submit(f.instances[0])
	}
	waitDone(f.instances[1])
	for round := range 3 {
		for index, machine := range f.machines {
			if index != round {
				machine.crash()
			}
		}
		submit(f.instances[0])
		time.Sleep(machineRestartDelay)
		submit(f.instances[1])
	}
	waitDone(f.instances[2])
	leader := f.leader()
	for _, machine := range f.machines {
		machine.crash()
	}
	leader.cmd.Process.Kill()
	// The exit status only repeats the signal.
	_ = leader.cmd.Wait()
	remaining := f.instances[0]
	if remaining == leader {
		remaining = f.instances[1]
	}
	submit(remaining)
	waitDone(remaining)
	for _, id := range ids {
		f.checkDoneOnce(id)
	}
	f.checkAcks()
	for index, machine := range f.machines {
		if incarnation := fmt.Sprintf("worker=%s@%d", machine.name, f.incarnations[index].BornMS); !f.anyLogContains(incarnation) {
			t.Errorf("no log line names the incarnation %s", incarnation)
		}
	}
}

// checkDoneOnce checks that the first task of a job's second step was done at most once.
func (f *fleet) checkDoneOnce(id string) { f.checkTaskDoneOnce(id + ".0.1.0") }

// checkTaskDoneOnce checks that a task was done at most once. No task fails here, so a task may run
// again only if its run was stopped, or if its end was lost with the worker before it was
// recorded.
func (f *fleet) checkTaskDoneOnce(task string) {
	done, lost := 0, 0
	for _, worker := range f.allIncarnations() {
		done += worker.Done(task)
		lost += worker.LostDone(task)
	}
	if done-lost > 1 {
		f.t.Errorf("%s was done %d times, of which %d ends were lost with their workers", task, done, lost)
	}
}

// checkAcks checks that no incarnation of a worker got acknowledgements of task ends that it
// never had.
func (f *fleet) checkAcks() {
	for _, worker := range f.allIncarnations() {
		if strayAcks := worker.StrayAcks(); strayAcks > 0 {
			f.t.Errorf("worker %s, started at %d, got %d acknowledgements of ends that it never had", worker.ID, worker.BornMS, strayAcks)
		}
	}
}
