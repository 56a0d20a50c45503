package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// stopsOf counts the stops of a plan for a task.
func stopsOf(plan Plan, key jobs.TaskKey) int {
	count := 0
	for _, stop := range plan.Stops {
		if stop.Task == key {
			count++
		}
	}
	return count
}

// A worker leaves a start unanswered and carries it out seconds later, when the
// job was cancelled and even the stop was lost. As soon as a report lists the
// task it is stopped, and again until the worker acknowledges the stop.
func TestCancelledTaskThatStartsLateIsStopped(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	submission := testJob(hexID(1), 1, testStep(1, 1))
	c.submit(submission)
	c.engine.Decide(c.now)
	c.engine.MarkRecordsDurable(c.now)
	starts := c.engine.Decide(c.now).Starts
	is.Equal(len(starts), 1)
	key, worker := starts[0].Task, starts[0].Worker
	c.engine.StartAnswered(worker, key, 1, StartUnknown, c.now)
	c.engine.Cancel(submission.ID, c.now)
	c.engine.Decide(c.now)
	c.now = c.now.Add(4 * time.Second) // the stop was not answered
	c.engine.Report(worker, c.now, []RunningTask{{Task: key, Run: 1}}, nil, time.Time{}, c.now)
	is.True(stopsOf(c.engine.Decide(c.now), key) > 0)
	c.now = c.now.Add(stopRetryInterval + time.Millisecond)
	c.engine.Report(worker, c.now, []RunningTask{{Task: key, Run: 1}}, nil, time.Time{}, c.now)
	is.True(stopsOf(c.engine.Decide(c.now), key) > 0)
	c.engine.StopAcknowledged(worker, key, 1, c.now)
	c.now = c.now.Add(stopRetryInterval + time.Millisecond)
	is.Equal(stopsOf(c.engine.Decide(c.now), key), 0)
}

// The instance that ordered the start is gone. The next leader has the job as
// cancelled, or has dropped it by then: a run of it that a worker lists is stopped.
func TestTaskOfACancelledJobIsStoppedByTheNextHolder(t *testing.T) {
	for _, inLog := range []bool{true, false} {
		is := is.New(t)
		c := newCluster(1)
		submission := testJob(hexID(1), 1, testStep(1, 1))
		if inLog {
			c.engine.ApplyJob(&jobs.Job{Submission: submission, Cancelled: true}, c.now)
		}
		c.engine.MarkJobsComplete()
		c.engine.Decide(c.now)
		key := jobs.TaskKey{Job: submission.ID}
		c.now = c.now.Add(time.Second)
		c.engine.Report(c.workerIDs[0], c.now, []RunningTask{{Task: key, Run: 1}}, nil, time.Time{}, c.now)
		is.Equal(stopsOf(c.engine.Decide(c.now), key), 1)
	}
}
