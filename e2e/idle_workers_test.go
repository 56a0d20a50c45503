package e2e

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

const (
	// idleTaskDuration is the duration of a task; long tasks take standin.LongRunFactor times it, which
	// is far less than the estimate of the gangs.
	idleTaskDuration = 1500 * time.Millisecond
	idleRackSize     = 3 // machines per rack
	idleWorkerCount  = 12
	// workerLossDelay is the run time of a long task before its worker is lost: over half of 7 s.
	workerLossDelay = 3700 * time.Millisecond
	// rackGangJob is a gang of %d tasks that requests one rack; a machine fits two of them.
	rackGangJob = `{"spec":"gang%d","steps":[{"count":%[1]d,"cpu":1000,"mem_mb":10,"gpu":4,"gang":true,"same_rack":true,"est_runtime_ms":120000}]}`
	// wholeMachineJob is a long task that takes a whole machine of a rack.
	wholeMachineJob = `{"spec":"long","steps":[{"count":1,"cpu":1000,"mem_mb":10,"gpu":8,"required_label":%q,"est_runtime_ms":10500}]}`
)

func newRackFleet(t *testing.T) *fleet {
	return startFleet(&fleet{t: t, store: standin.NewKeyedStore(), taskDuration: idleTaskDuration, rackSize: idleRackSize}, 3, idleWorkerCount)
}

// mustSubmit submits a job and fails the test unless it is accepted.
func (f *fleet) mustSubmit(id, body string) {
	f.t.Helper()
	if status, answer := f.call(f.instances[0], http.MethodPost, id, "key-a", body); status != http.StatusOK {
		f.t.Fatalf("submission: %d %s", status, answer)
	}
}

// completions returns how often a task ended as done.
func (f *fleet) completions(task string) int {
	count := 0
	for _, worker := range f.allIncarnations() {
		count += worker.Done(task)
	}
	return count
}

// checkStartsBeforeEndOf checks that a job starts before any of the given tasks, which were
// running when it was accepted, has ended, and that the job is done later.
func (f *fleet) checkStartsBeforeEndOf(id string, running ...string) {
	f.t.Helper()
	hasEnded := func(task string) bool { return f.completions(task) > 0 }
	f.waitUntil("the start of the job or the end of a running task", func() bool { return f.starts(id+".0.0.0") > 0 || slices.ContainsFunc(running, hasEnded) })
	if slices.ContainsFunc(running, hasEnded) {
		f.printLogs()
		f.t.Fatalf("job %s waits beside idle workers until a task ends that was running when it was accepted", id)
	}
	f.waitUntil("done", func() bool { return f.jobState(f.instances[1], id) == "done" })
}

// Guards against gangs that wait beside idle workers for a single rack although no rack is wide
// enough.
func TestPlatformStartsAGangWiderThanItsRacks(t *testing.T) {
	f := newRackFleet(t)
	const id, longID = "00000000000001a1", "00000000000001a2"
	f.mustSubmit(longID, fmt.Sprintf(wholeMachineJob, f.machines[0].rack))
	f.waitUntil("the start of the long task", func() bool { return f.starts(longID+".0.0.0") > 0 })
	f.mustSubmit(id, fmt.Sprintf(rackGangJob, 2*idleRackSize+2))
	f.checkStartsBeforeEndOf(id, longID+".0.0.0")
}

// Guards against gangs that wait beside idle workers for a single rack while every rack that is
// wide enough has a machine in use by a long task.
func TestPlatformStartsAGangWhoseRacksAreInUse(t *testing.T) {
	f := newRackFleet(t)
	taskInRack := map[string]string{} // task by rack
	for index, machine := range f.machines {
		if taskInRack[machine.rack] == "" {
			id := fmt.Sprintf("%016x", 0x1b1+index)
			f.mustSubmit(id, fmt.Sprintf(wholeMachineJob, machine.rack))
			taskInRack[machine.rack] = id + ".0.0.0"
		}
	}
	for rack, task := range taskInRack {
		f.waitUntil("a task in "+rack, func() bool { return f.starts(task) > 0 })
	}
	const id = "00000000000001b0"
	f.mustSubmit(id, fmt.Sprintf(rackGangJob, 2*idleRackSize))
	f.checkStartsBeforeEndOf(id, slices.Collect(maps.Values(taskInRack))...)
}

// Guards against work that waits beside idle workers because tasks that lost their workers twice
// get a worker each to themselves.
func TestPlatformStartsWorkBesideTasksWithLostWorkers(t *testing.T) {
	const tasks = 6
	f := startFleet(&fleet{t: t, store: standin.NewKeyedStore(), taskDuration: time.Second, reuseIDs: true}, 3, tasks)
	const id, longID = "00000000000001c1", "00000000000001c2"
	f.mustSubmit(longID, fmt.Sprintf(`{"spec":"long","steps":[{"count":%d,"cpu":1000,"mem_mb":10,"gpu":1,"anti_affinity":1,"est_runtime_ms":7000}]}`, tasks))
	var longTasks []string
	for index := range tasks {
		longTasks = append(longTasks, fmt.Sprintf("%s.0.0.%d", longID, index))
	}
	allStarted := func(times int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(longTasks, func(task string) bool { return f.starts(task) < times })
		}
	}
	for losses := range 2 {
		f.waitUntil("all long tasks running", allStarted(losses+1))
		time.Sleep(workerLossDelay)
		for _, machine := range f.machines {
			machine.crash()
		}
	}
	f.waitUntil("all long tasks running again", allStarted(3))
	f.mustSubmit(id, smallJob)
	f.checkStartsBeforeEndOf(id, longTasks...)
}
