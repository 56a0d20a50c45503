package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a step with a limit per worker of which the rack of its data holds a part: the tasks that are
// left were placed on the same workers again.
func TestTasksLeftByDataRackKeepTheLimitPerWorker(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	entries := []WorkerEntry{testWorker("a1", "r1-1"), testWorker("a2", "r1-1"), testWorker("b1", "r1-2"), testWorker("b2", "r1-2")}
	e.UpdateWorkers(entries, testStart)
	for _, entry := range entries {
		e.Report(entry.ID, testStart, nil, nil, time.Time{}, testStart)
	}
	step := testStep(3, 1)
	step.DataRack = "r1-1"
	step.MaxPerWorker = 1
	e.addJob(testJob(hexID(1), 1, step), testStart)
	e.MarkJobsComplete()
	tasksOn := map[string]int{}
	now := testStart
	for range 10 {
		for _, start := range startAll(e, now) {
			tasksOn[start.Worker]++
		}
		now = now.Add(time.Second)
	}
	total := 0
	for _, tasks := range tasksOn {
		is.True(tasks <= 1)
		total += tasks
	}
	is.Equal(total, 3)
}
