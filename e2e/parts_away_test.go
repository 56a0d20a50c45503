package e2e

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

const (
	// narrowLongJob and narrowJob have one task each, so that tasks of many jobs run beside each other.
	narrowLongJob = `{"spec":"long","steps":[{"count":1,"cpu":1000,"mem_mb":10,"gpu":1,"est_runtime_ms":3500}]}`
	narrowJob     = `{"spec":"plain","steps":[{"count":1,"cpu":1000,"mem_mb":10,"gpu":1,"est_runtime_ms":500}]}`
	// unreadTaskDuration is longer than a hand-over takes, and shorter than the pause between two reads
	// of callers' records by an instance that does not lead.
	unreadTaskDuration = 500 * time.Millisecond
	// readPause exceeds that pause.
	readPause = 3 * time.Second
)

// allJobParts returns the partitions with callers' records: all but the first and the last one.
func allJobParts() map[string]bool {
	parts := map[string]bool{}
	for part := 1; part < storeParts-1; part++ {
		parts[strconv.Itoa(part)] = true
	}
	return parts
}

// drawJobParts draws some of the partitions with callers' records.
func drawJobParts(random *rand.Rand) map[string]bool {
	parts := allJobParts()
	for part := range storeParts {
		if random.IntN(3) == 0 {
			delete(parts, strconv.Itoa(part))
		}
	}
	return parts
}

// drawParts draws some of all partitions but the first.
func drawParts(random *rand.Rand) map[string]bool {
	parts := map[string]bool{}
	for part := 1; part < storeParts; part++ {
		if random.IntN(2) == 0 {
			parts[strconv.Itoa(part)] = true
		}
	}
	return parts
}

// submitUnread submits long jobs, which all instances read, and later short ones, which only the leader
// reads, as the other instances pause after each read.
func submitUnread(count int, between time.Duration, submit func(body string)) {
	for range count {
		submit(narrowLongJob)
	}
	time.Sleep(between)
	for range count {
		submit(narrowJob)
	}
}

// Guards against a second start at a change of term while parts of the store are away: the ends of long
// tasks are listed behind those of jobs that the next leader cannot read.
func TestPlatformHandOverWhilePartsOfTheStoreAreAway(t *testing.T) {
	checker := standin.NewTaskChecker()
	f := startFleet(&fleet{t: t, store: standin.NewKeyedStore(), taskDuration: unreadTaskDuration, reuseIDs: true, checker: checker}, 3, 3)
	leader := f.leader()
	time.Sleep(readPause)
	number := 0
	var accepted []string
	submitUnread(10, 0, func(body string) {
		number++
		id := fmt.Sprintf("%016x", 0xb000+number)
		f.mustSubmit(id, body)
		accepted = append(accepted, id)
	})
	f.store.SetFaults(standin.StoreFaults{ResetParts: allJobParts()})
	_ = leader.cmd.Process.Signal(syscall.SIGTERM) // the process exists: nothing else ends it
	time.Sleep((standin.LongRunFactor + 4) * unreadTaskDuration)
	f.store.SetFaults(standin.StoreFaults{})
	for _, id := range accepted {
		f.waitUntil("done: "+id, func() bool { return f.jobState(f.leader(), id) == "done" })
	}
	for _, id := range accepted {
		f.checkTaskDoneOnce(id + ".0.0.0")
	}
	f.checkAcks()
	for _, violation := range checker.Violations() {
		t.Error(violation)
	}
}
