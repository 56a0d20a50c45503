package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// jobsFromLog returns the jobs that a new leader loads from the log.
func jobsFromLog(t *testing.T, submission *jobs.Submission, written []jobs.Record) []*jobs.Job {
	t.Helper()
	table := jobs.NewTable()
	first, err := jobs.SubmissionRecord(submission)
	if err != nil {
		t.Fatal(err)
	}
	for offset, record := range append([]jobs.Record{first}, written...) {
		if _, err := table.Apply(record, 0, int64(offset)); err != nil {
			t.Fatal(err)
		}
	}
	return table.All()
}

func TestReadyTimeOfStepDoesNotDependOnLeader(t *testing.T) {
	is := is.New(t)
	second := testStep(1, 1)
	second.After = []int{0}
	second.RequiredLabel = "nowhere"
	submission := testJob(hexID(1), 1, testStep(1, 1), second)
	submission.AcceptedMS = testStart.UnixMilli()
	c := newCluster(1)
	c.submit(submission)
	c.steps(1)
	first := c.engine.jobs[submission.ID].occurrence(0).steps[0].tasks[0]
	c.now = c.now.Add(4 * time.Second)
	ready := c.now
	end := EndedTask{Number: 1, Task: first.key, Run: 1, Kind: EndDone}
	c.engine.Report(first.run.node.entry.ID, c.now, nil, []EndedTask{end}, time.Time{}, c.now)
	records := c.engine.Decide(c.now).Records

	for _, later := range []time.Duration{time.Second, 5 * time.Second} {
		next := testEngine(2)
		next.LoadJobs(jobsFromLog(t, submission, records), FormerLeaderReleased, ready.Add(later))
		next.MarkJobsComplete()
		next.Decide(ready.Add(later))
		step := next.jobs[submission.ID].occurrence(0).steps[1]
		is.True(step.readyAt.Equal(ready))
		is.True(step.observedReadyAt.Equal(ready.Add(later)))
	}
}

func TestReadyTimeOfFirstStepIsWhenItsJobWasAccepted(t *testing.T) {
	is := is.New(t)
	submission := testJob(hexID(1), 1, testStep(1, 1))
	submission.Steps[0].RequiredLabel = "nowhere"
	for age, ready := range map[time.Duration]time.Time{
		7 * time.Second:  testStart.Add(-7 * time.Second),
		-7 * time.Second: testStart, // accepted by an instance whose time of day is ahead
	} {
		submission.AcceptedMS = testStart.Add(-age).UnixMilli()
		e := testEngine(1)
		e.LoadJobs([]*jobs.Job{{Submission: submission}}, FormerLeaderReleased, testStart)
		e.Decide(testStart)
		is.True(e.jobs[submission.ID].occurrence(0).steps[0].readyAt.Equal(ready))
	}
}
