package placing

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// longEstimate is an estimate that is off by far.
const longEstimate = 2 * time.Minute

func estimated(step jobs.Step, estimate time.Duration) jobs.Step {
	step.EstimateMS = estimate.Milliseconds()
	return step
}

// stepsFor lets a time pass.
func (c *cluster) stepsFor(length time.Duration) { c.steps(int(length / (50 * time.Millisecond))) }

// label gives a worker one more label.
func (c *cluster) label(worker, label string) {
	var entries []WorkerEntry
	for _, id := range c.ids {
		entry := c.engine.nodes[id].entry
		if id == worker {
			entry.Labels = append([]string{label}, entry.Labels...)
		}
		entries = append(entries, entry)
	}
	c.engine.List(entries, c.now)
}

// The rest of the workers is idle, and the estimates are long.
func TestStepDoesNotWaitForARackThatCannotTakeIt(t *testing.T) {
	near := func(step jobs.Step, rack, label string) jobs.Step {
		step.DataRack, step.RequiredLabel = rack, label
		return step
	}
	spread := gangStep(12, 4)
	spread.OneRack = false
	for name, step := range map[string]jobs.Step{
		"a gang wider than a rack":                gangStep(12, 4),
		"a gang wider than its data's rack":       near(spread, "r1-1", ""),
		"a task that may not use its data's rack": near(testStep(1, 1), "r1-1", "r1-2"),
		"a gang that may not use its data's rack": near(spreadGang(1), "r1-1", "r1-2"),
		"a task whose data's rack is full":        near(testStep(1, 1), "r1-0", ""),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(4) // 16 workers
			c.fill(4)          // all of rack r1-0
			job := testJob(hexID(99), 1, estimated(step, longEstimate))
			c.submit(job)
			c.stepsFor(idleWait)
			is.True(c.begun(job.ID))
		})
	}
}

func TestFailedTaskRunsAgainOnTheOnlyWorkerItMayUse(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.label("w05", soleLabel)
	job := soleJob(1, 2)
	c.submit(job)
	c.steps(2)
	is.True(c.begun(job.ID))
	c.fail("w05", job)
	c.stepsFor(idleWait)
	is.True(c.begun(job.ID))
}

// Runs of three other jobs have failed on that worker.
func TestTaskDoesNotWaitForTheRestOfTheOnlyWorkerItMayUse(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.label("w05", soleLabel)
	for number := range 3 {
		job := soleJob(1+number, 1)
		c.submit(job)
		c.stepsFor(idleWait)
		is.True(c.begun(job.ID))
		c.fail("w05", job)
	}
	job := soleJob(4, 1)
	c.submit(job)
	c.stepsFor(idleWait)
	is.True(c.begun(job.ID))
}

// soleJob is a job of one task that may run on the worker with soleLabel alone.
func soleJob(number, attempts int) *jobs.Submission {
	step := testStep(1, 1)
	step.RequiredLabel = soleLabel
	job := testJob(hexID(number), 1, step)
	job.Queue.MaxAttempts = attempts
	return job
}

// fail ends the first run of a job's task as failed.
func (c *cluster) fail(worker string, job *jobs.Submission) {
	c.ends[worker]++
	end := EndedTask{Number: c.ends[worker], Task: jobs.TaskKey{Job: job.ID}, Run: 1, How: EndFailed}
	c.engine.Report(worker, c.now, nil, []EndedTask{end}, time.Time{}, c.now)
}

// The gang that room would be kept for cannot begin, and under a third of the cores is in use.
func TestNoRoomIsKeptClearWhileUnderHalfIsInUse(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.submit(testJob(hexID(1), 2, testStep(4, 8)))
	c.steps(2)
	c.submit(testJob(hexID(2), 1, estimated(spreadGang(5), longEstimate)))
	c.steps(2)
	job := testJob(hexID(3), 1, estimated(testStep(1, 1), longEstimate))
	c.submit(job)
	c.stepsFor(idleWait)
	is.True(c.begun(job.ID))
}

// inOwnProcess is set where a test runs in a process of its own.
const inOwnProcess = "PLACING_TEST_PROCESS"

// It runs in a process of its own, as a search of room that does not end cannot be stopped.
func TestUrgentStepAtItsWorkerLimitDoesNotHoldUpDecisions(t *testing.T) {
	if os.Getenv(inOwnProcess) == "" {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		again := exec.CommandContext(ctx, os.Args[0], "-test.run=^"+t.Name()+"$")
		again.Env = append(os.Environ(), inOwnProcess+"=1")
		if err := again.Run(); err != nil {
			t.Fatalf("decisions did not end within 5 s: %v", err)
		}
		return
	}
	c := newCluster(1)
	step := testStep(len(c.ids)+1, 1)
	step.PerWorker = 1
	c.submit(testJob(hexID(1), 0, step))
	c.steps(5)
}
