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

// longEstimate is an estimate that is far too long.
const longEstimate = 2 * time.Minute

func withEstimate(step jobs.Step, estimate time.Duration) jobs.Step {
	step.EstimateMS = estimate.Milliseconds()
	return step
}

// run advances the cluster by the given time.
func (c *cluster) run(length time.Duration) { c.steps(int(length / (50 * time.Millisecond))) }

// addLabel adds a label to a worker.
func (c *cluster) addLabel(worker, label string) {
	var entries []WorkerEntry
	for _, id := range c.workerIDs {
		entry := c.engine.nodes[id].entry
		if id == worker {
			entry.Labels = append([]string{label}, entry.Labels...)
		}
		entries = append(entries, entry)
	}
	c.engine.UpdateWorkers(entries, c.now)
}

// All other workers are idle, and the estimates are long.
func TestStepDoesNotWaitForRackThatCannotHoldIt(t *testing.T) {
	withDataRack := func(step jobs.Step, rack, label string) jobs.Step {
		step.DataRack, step.RequiredLabel = rack, label
		return step
	}
	spread := gangStep(12, 4)
	spread.OneRack = false
	for name, step := range map[string]jobs.Step{
		"a gang wider than a rack":                gangStep(12, 4),
		"a gang wider than its data's rack":       withDataRack(spread, "r1-1", ""),
		"a task that may not use its data's rack": withDataRack(testStep(1, 1), "r1-1", "r1-2"),
		"a gang that may not use its data's rack": withDataRack(spreadGang(1), "r1-1", "r1-2"),
		"a task whose data's rack is full":        withDataRack(testStep(1, 1), "r1-0", ""),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(4) // 16 workers
			c.fillWorkers(4)   // all of rack r1-0
			job := testJob(hexID(99), 1, withEstimate(step, longEstimate))
			c.submit(job)
			c.run(allowedIdleDelay)
			is.True(c.allRunning(job.ID))
		})
	}
}

func TestFailedTaskRestartsOnOnlyAllowedWorker(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.addLabel("w05", soleLabel)
	job := soleLabelJob(1, 2)
	c.submit(job)
	c.steps(2)
	is.True(c.allRunning(job.ID))
	c.failRun("w05", job)
	c.run(allowedIdleDelay)
	is.True(c.allRunning(job.ID))
}

// The worker is in backoff because runs of three other jobs failed there.
func TestTaskDoesNotWaitForBackoffOfOnlyAllowedWorker(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.addLabel("w05", soleLabel)
	for number := range 3 {
		job := soleLabelJob(1+number, 1)
		c.submit(job)
		c.run(allowedIdleDelay)
		is.True(c.allRunning(job.ID))
		c.failRun("w05", job)
	}
	job := soleLabelJob(4, 1)
	c.submit(job)
	c.run(allowedIdleDelay)
	is.True(c.allRunning(job.ID))
}

// soleLabelJob returns a job of one task that can only run on the worker with soleLabel.
func soleLabelJob(number, attempts int) *jobs.Submission {
	step := testStep(1, 1)
	step.RequiredLabel = soleLabel
	job := testJob(hexID(number), 1, step)
	job.Queue.MaxAttempts = attempts
	return job
}

// failRun reports the first run of a job's task as failed.
func (c *cluster) failRun(worker string, job *jobs.Submission) {
	c.endNumbers[worker]++
	end := EndedTask{Number: c.endNumbers[worker], Task: jobs.TaskKey{Job: job.ID}, Run: 1, Kind: EndFailed}
	c.engine.Report(worker, c.now, nil, []EndedTask{end}, time.Time{}, c.now)
}

// The gang that headroom would be reserved for cannot start, and less than a third of the
// cores is in use.
func TestNoHeadroomIsReservedUnderHalfUse(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.submit(testJob(hexID(1), 2, testStep(4, 8)))
	c.steps(2)
	c.submit(testJob(hexID(2), 1, withEstimate(spreadGang(5), longEstimate)))
	c.steps(2)
	job := testJob(hexID(3), 1, withEstimate(testStep(1, 1), longEstimate))
	c.submit(job)
	c.run(allowedIdleDelay)
	is.True(c.allRunning(job.ID))
}

// inOwnProcess is the environment variable that marks the child process of a test.
const inOwnProcess = "PLACING_TEST_PROCESS"

// The test runs in a process of its own, because an endless search for capacity cannot be
// stopped.
func TestUrgentStepAtPerWorkerLimitDoesNotBlockPasses(t *testing.T) {
	if os.Getenv(inOwnProcess) == "" {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), inOwnProcess+"=1")
		if err := cmd.Run(); err != nil {
			t.Fatalf("passes did not end within 5 s: %v", err)
		}
		return
	}
	c := newCluster(1)
	step := testStep(len(c.workerIDs)+1, 1)
	step.MaxPerWorker = 1
	c.submit(testJob(hexID(1), 0, step))
	c.steps(5)
}
