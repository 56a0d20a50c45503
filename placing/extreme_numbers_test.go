package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// listWorkers lists workers that have answered.
func listWorkers(engine *Engine, now time.Time, workers ...WorkerEntry) {
	engine.UpdateWorkers(workers, now)
	for _, worker := range workers {
		engine.Report(worker.ID, now, nil, nil, now.Add(time.Minute), now)
	}
}

// The capacity of one worker made the sum over its rack negative, and gangs were kept off the rack.
func TestExtremeCapacityHidesNoRack(t *testing.T) {
	for _, capacity := range []jobs.Resources{
		{MilliCores: jobs.MaxMilliCores, MemoryMB: jobs.MaxMemoryMB, Accelerators: jobs.MaxAccelerators},
		{},
	} {
		t.Run(fmt.Sprintf("%+v", capacity), func(t *testing.T) {
			is := is.New(t)
			engine := testEngine(1)
			engine.MarkJobsComplete()
			engine.LoadJobs(nil, FormerLeaderReleased, testStart)
			odd := testWorker("odd", "r1-1")
			odd.Capacity = capacity
			odd.Labels = []string{"b", "r1-1"}
			listWorkers(engine, testStart, testWorker("a", "r1-1"), testWorker("b", "r1-1"), odd)
			step := testStep(4, 4)
			step.Gang, step.OneRack, step.RequiredLabel = true, true, "a"
			engine.ApplyJob(&jobs.Job{Submission: testJob("a1", 0, step)}, testStart)
			is.Equal(len(startAll(engine, testStart.Add(time.Second))), 4)
		})
	}
}
