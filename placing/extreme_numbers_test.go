package placing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

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

// A queue's priority without a bound kept the leader in one loop for good.
func TestHugePriorityDoesNotHangAPass(t *testing.T) {
	is := is.New(t)
	engine := testEngine(1)
	engine.MarkJobsComplete()
	engine.LoadJobs(nil, FormerLeaderReleased, testStart)
	listWorkers(engine, testStart, testWorker("w", "r1-1"))
	engine.ApplyJob(recorded(t, testJob("a1", math.MaxInt64, testStep(1, 1))), testStart)
	decided := make(chan []Start, 1)
	go func() { decided <- startAll(engine, testStart.Add(time.Second)) }()
	select {
	case starts := <-decided:
		is.Equal(len(starts), 1)
	case <-time.After(20 * time.Second):
		t.Fatal("the pass has not ended")
	}
}

// recorded returns a job as it is read from the log.
func recorded(t interface{ Fatal(args ...any) }, submission *jobs.Submission) *jobs.Job {
	record, err := jobs.SubmissionRecord(submission)
	if err != nil {
		t.Fatal(err)
	}
	table := jobs.NewTable()
	if _, err := table.Apply(record, 1, 1); err != nil {
		t.Fatal(err)
	}
	return table.Job(submission.ID)
}

// An occurrence whose time overflowed ran at once.
func TestOccurrenceFarAheadDoesNotRunAtOnce(t *testing.T) {
	is := is.New(t)
	engine := testEngine(1)
	engine.MarkJobsComplete()
	engine.LoadJobs(nil, FormerLeaderReleased, testStart)
	listWorkers(engine, testStart, testWorker("w", "r1-1"))
	job := testJob("a1", 1, testStep(1, 1))
	job.Occurrences, job.FirstAtMS, job.PeriodMS = 3, testStart.UnixMilli(), math.MaxInt64-5
	engine.ApplyJob(recorded(t, job), testStart)
	is.Equal(len(startAll(engine, testStart.Add(time.Second))), 1) // the first one
}

// With capacities up to their bounds and jobs of any numbers, no pass panics, no worker is given more
// than it has, and no sum is negative.
func TestExtremeNumbersKeepCapacities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := testEngine(1)
		engine.MarkJobsComplete()
		engine.LoadJobs(nil, FormerLeaderReleased, testStart)
		engine.Configure(nil, map[string]int64{"manchester": jobs.MaxAccelerators}, nil)
		var workers []WorkerEntry
		for number := range rapid.IntRange(1, 6).Draw(t, "workers") {
			worker := testWorker(fmt.Sprintf("w%d", number), fmt.Sprintf("r1-%d", number%2))
			worker.Capacity = jobs.Resources{MilliCores: drawBelow(t, jobs.MaxMilliCores), MemoryMB: drawBelow(t, jobs.MaxMemoryMB), Accelerators: drawBelow(t, jobs.MaxAccelerators)}
			workers = append(workers, worker)
		}
		listWorkers(engine, testStart, workers...)
		for number := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			var steps []jobs.Step
			for range rapid.IntRange(1, 3).Draw(t, "steps") {
				steps = append(steps, jobs.Step{Tasks: rapid.IntRange(1, 5).Draw(t, "tasks"),
					Need:       jobs.Resources{MilliCores: drawNumber(t), MemoryMB: drawNumber(t), Accelerators: drawNumber(t)},
					EstimateMS: drawNumber(t), Gang: rapid.Bool().Draw(t, "gang"), OneRack: rapid.Bool().Draw(t, "one_rack"), Filler: rapid.Bool().Draw(t, "filler")})
			}
			job := testJob(fmt.Sprintf("j%d", number), rapid.SampledFrom([]int{0, 1, jobs.MaxPriority, math.MaxInt64}).Draw(t, "priority"), steps...)
			job.Queue.Stretch = rapid.SampledFrom([]float64{0, 3, jobs.MaxStretch, 1e300}).Draw(t, "stretch")
			job.Queue.TargetMS = drawNumber(t)
			engine.ApplyJob(recorded(t, job), testStart)
		}
		for pass := range 4 {
			now := testStart.Add(time.Duration(1+pass) * 700 * time.Millisecond)
			startAll(engine, now)
			checkCapacities(t, engine)
		}
	})
}

// drawBelow draws a number up to a bound, mostly near it or half of it.
func drawBelow(t *rapid.T, bound int64) int64 {
	return rapid.SampledFrom([]int64{0, 1, 64000, bound / 2, bound/2 + 1, bound - 1, bound}).Draw(t, "number")
}

// drawNumber draws a number as a record may state it.
func drawNumber(t *rapid.T) int64 {
	return rapid.SampledFrom([]int64{0, 1, 4000, jobs.MaxAccelerators, jobs.MaxMilliCores, jobs.MaxMilliCores + 1, math.MaxInt64/8000 + 1, 1 << 62, math.MaxInt64}).Draw(t, "number")
}

func checkCapacities(t *rapid.T, engine *Engine) {
	for _, node := range engine.nodeOrder {
		sum := jobs.Resources{}
		for _, run := range node.runs {
			sum = sum.Add(run.need())
			if sum.MilliCores < 0 || sum.MemoryMB < 0 || sum.Accelerators < 0 {
				t.Fatalf("the needs of the runs on %s overflow", node.entry.ID)
			}
		}
		if sum != node.used || !node.entry.Capacity.Fits(sum) {
			t.Fatalf("%s has %+v, is given %+v and counts %+v", node.entry.ID, node.entry.Capacity, sum, node.used)
		}
	}
	view := engine.viewOf(engine.nodeOrder)
	for rack := range view.racks {
		if view.rackFree[rack] < 0 || view.rackCapacity[rack] < 0 {
			t.Fatalf("the sum over a rack is negative: free %d of %d", view.rackFree[rack], view.rackCapacity[rack])
		}
	}
	for _, job := range engine.active {
		if job.accelerators() < 0 || engine.objective(job) < 0 || lateFactor*engine.objective(job) < 0 {
			t.Fatalf("a sum over the steps of %s is negative", job.submission.ID)
		}
	}
}
