package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Guards against a count of waiting jobs that lacks those whose starts are not answered.
func TestJobWhoseStartIsNotAnsweredCountsAsWaiting(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	submission := testJob(hexID(1), 0, testStep(1, 1))
	c.submit(submission)
	plan := c.engine.Decide(c.now)
	is.Equal(len(plan.Records), 1)
	is.Equal(len(plan.States)+len(plan.StartedStates), 0)
	c.engine.MarkRecordsDurable(c.now)
	start := c.engine.Decide(c.now).Starts[0]
	c.engine.StartAnswered(start.Worker, start.Task, start.Run, StartUnknown, c.now)
	plan = c.engine.Decide(c.now.Add(time.Second))
	is.Equal(len(plan.States)+len(plan.StartedStates), 0)
	is.Equal(c.engine.jobs[submission.ID].state, jobs.StateQueued)
	// The start was carried out all the same.
	c.engine.Report(start.Worker, c.now.Add(time.Second), []RunningTask{{Task: start.Task, Run: start.Run}}, nil, time.Time{}, c.now.Add(time.Second))
	is.Equal(c.engine.Decide(c.now.Add(time.Second)).StartedStates, []jobs.Record{jobs.StateRecord(submission.ID, jobs.StateRunning)})
}

func TestStateOfAStartedJobIsEmittedOnceAndNotAfterItsEnd(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	submission := testJob(hexID(1), 1, testStep(2, 1))
	c.submit(submission)
	c.engine.Decide(c.now)
	c.engine.MarkRecordsDurable(c.now)
	starts := c.engine.Decide(c.now).Starts
	is.Equal(len(starts), 2)
	for _, start := range starts {
		c.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, c.now)
	}
	is.Equal(len(c.engine.Decide(c.now).StartedStates), 1)
	is.Equal(len(c.engine.Decide(c.now).StartedStates), 0)

	short := testJob(hexID(2), 1, testStep(1, 1))
	c.submit(short)
	c.now = c.now.Add(time.Second)
	c.engine.Decide(c.now)
	c.engine.MarkRecordsDurable(c.now)
	start := c.engine.Decide(c.now).Starts[0]
	c.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, c.now)
	end := EndedTask{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}
	c.engine.Report(start.Worker, c.now, nil, []EndedTask{end}, time.Time{}, c.now)
	plan := c.engine.Decide(c.now)
	is.Equal(len(plan.StartedStates), 0)
	is.Equal(plan.States, []jobs.Record{jobs.StateRecord(short.ID, jobs.StateDone)})
}

// The leader is lost between the state of a started job and the next record of its progress.
func TestNextLeaderKeepsTheStateOfAStartedJob(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	submission := testJob(hexID(1), 1, testStep(1, 1))
	c.submit(submission)
	progress := c.engine.Decide(c.now).Records[0]
	next := testEngine(2)
	next.LoadJobs([]*jobs.Job{{Submission: submission, Progress: progress.Value, RecordedState: jobs.StateRunning}}, FormerLeaderReleased, c.now)
	is.Equal(next.jobs[submission.ID].state, jobs.StateRunning)
	plan := next.Decide(c.now)
	is.Equal(len(plan.States)+len(plan.StartedStates), 0)
}
