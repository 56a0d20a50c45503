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
	// idleTask and standin.LongRuns times it are how long tasks take here; the long one ends
	// long before the estimate of the gangs.
	idleTask    = 1500 * time.Millisecond
	idleRack    = 3 // machines in a rack
	idleWorkers = 12
	// lostAfter is how long a long task works before its worker is lost: over half of 7 s.
	lostAfter = 3700 * time.Millisecond
	// rackGang is a gang of so many tasks that asks for one rack; a machine holds two of them.
	rackGang = `{"spec":"gang%d","steps":[{"count":%[1]d,"cpu":1000,"mem_mb":10,"gpu":4,"gang":true,"same_rack":true,"est_runtime_ms":120000}]}`
	// wholeMachine is a long task that takes all of a machine in a rack.
	wholeMachine = `{"spec":"long","steps":[{"count":1,"cpu":1000,"mem_mb":10,"gpu":8,"required_label":%q,"est_runtime_ms":10500}]}`
)

func newIdleFleet(t *testing.T) *fleet {
	return newFleetOf(&fleet{t: t, store: standin.NewKeyedStore(), taskTime: idleTask, rackSize: idleRack}, 3, idleWorkers)
}

// accept hands a job in, which has to be accepted.
func (f *fleet) accept(id, body string) {
	f.t.Helper()
	if status, answer := f.call(f.instances[0], http.MethodPost, id, "key-a", body); status != http.StatusOK {
		f.t.Fatalf("submission: %d %s", status, answer)
	}
}

// done is how often a task ended as done.
func (f *fleet) done(task string) int {
	count := 0
	for _, worker := range f.allWorkers() {
		count += worker.Done(task)
	}
	return count
}

// checkBegunBefore holds that a job begins before any of the other tasks has ended, which had
// begun before it was accepted, and that it ends well.
func (f *fleet) checkBegunBefore(id string, others ...string) {
	f.t.Helper()
	ended := func(task string) bool { return f.done(task) > 0 }
	f.until("the begin or another task's end", func() bool { return f.starts(id+".0.0.0") > 0 || slices.ContainsFunc(others, ended) })
	if slices.ContainsFunc(others, ended) {
		f.printLogs()
		f.t.Fatalf("job %s waits beside idle workers until a task ends that had begun before it was accepted", id)
	}
	f.until("done", func() bool { return f.state(f.instances[1], id) == "done" })
}

// Guards against gangs that wait for their one rack, beside idle workers, though no rack is
// wide enough.
func TestPlatformStartsAGangWiderThanItsRacks(t *testing.T) {
	f := newIdleFleet(t)
	const id, other = "00000000000001a1", "00000000000001a2"
	f.accept(other, fmt.Sprintf(wholeMachine, f.machines[0].rack))
	f.until("the long task's begin", func() bool { return f.starts(other+".0.0.0") > 0 })
	f.accept(id, fmt.Sprintf(rackGang, 2*idleRack+2))
	f.checkBegunBefore(id, other+".0.0.0")
}

// Guards against the same wait while every rack that is wide enough has a machine in long use.
func TestPlatformStartsAGangWhoseRacksAreInUse(t *testing.T) {
	f := newIdleFleet(t)
	taken := map[string]string{} // the task in each rack
	for index, machine := range f.machines {
		if taken[machine.rack] == "" {
			id := fmt.Sprintf("%016x", 0x1b1+index)
			f.accept(id, fmt.Sprintf(wholeMachine, machine.rack))
			taken[machine.rack] = id + ".0.0.0"
		}
	}
	for rack, task := range taken {
		f.until("a task in "+rack, func() bool { return f.starts(task) > 0 })
	}
	const id = "00000000000001b0"
	f.accept(id, fmt.Sprintf(rackGang, 2*idleRack))
	f.checkBegunBefore(id, slices.Collect(maps.Values(taken))...)
}

// Guards against work that waits beside idle workers while tasks that have lost theirs twice
// have one each to themselves.
func TestPlatformStartsWorkBesideTasksThatLostTheirWorkers(t *testing.T) {
	const tasks = 6
	f := newFleetOf(&fleet{t: t, store: standin.NewKeyedStore(), taskTime: time.Second, sameIDs: true}, 3, tasks)
	const id, other = "00000000000001c1", "00000000000001c2"
	f.accept(other, fmt.Sprintf(`{"spec":"long","steps":[{"count":%d,"cpu":1000,"mem_mb":10,"gpu":1,"anti_affinity":1,"est_runtime_ms":7000}]}`, tasks))
	var long []string
	for index := range tasks {
		long = append(long, fmt.Sprintf("%s.0.0.%d", other, index))
	}
	begun := func(times int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(long, func(task string) bool { return f.starts(task) < times })
		}
	}
	for lives := range 2 {
		f.until("all long tasks at work", begun(lives+1))
		time.Sleep(lostAfter)
		for _, machine := range f.machines {
			machine.end()
		}
	}
	f.until("all long tasks at work again", begun(3))
	f.accept(id, smallJob)
	f.checkBegunBefore(id, long...)
}
