package placing

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// The log states how long a run was at work when its worker was lost, and what
// else was lost with it.
func TestLossOfWorkerIsLoggedWithItsRuns(t *testing.T) {
	is := is.New(t)
	now := testStart
	engine := testEngine(1)
	engine.LoadJobs([]*jobs.Job{{Submission: testJob("0000000000000001", 1, testStep(2, 1))}}, FormerLeaderReleased, now)
	engine.UpdateWorkers([]WorkerEntry{testWorker("w1", "r1-1")}, now)
	engine.Report("w1", now, nil, nil, time.Time{}, now)
	is.Equal(len(startAll(engine, now)), 2)

	engine.WorkerUnreachable("w1", now.Add(6*time.Second), now.Add(20*time.Millisecond))
	engine.ReplaceIncarnation("w1", 0, now.Add(3*time.Second))
	plan := engine.Decide(now.Add(3 * time.Second))

	is.Equal(eventDetails(plan, "worker_lost"), []string{"worker reborn runs 2 silent_ms 2980"})
	runDetails := eventDetails(plan, "run_over")
	is.Equal(len(runDetails), 2)
	is.True(strings.HasSuffix(runDetails[0], "worker reborn run 1 started true worked_ms 20 percent 0"))
}

func eventDetails(plan Plan, event string) []string {
	var list []string
	for _, logEvent := range plan.LogEvents {
		if logEvent.Event == event {
			list = append(list, logEvent.Detail)
		}
	}
	return list
}

// A worker that leaves as announced takes along the runs that did not end in time. That
// counts against no task, and the next worker at its address is not recently restarted.
func TestWorkerThatLeavesBlamesNoTask(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.submit(testJob(hexID(1), 1, testStep(1, 1)))
	c.steps(2)
	task := c.engine.jobs[hexID(1)].allTasks()[0]
	leaving := task.run.node.entry
	leaving.Leaving = true
	leaving.MinRemaining = 100 * time.Millisecond
	entries := []WorkerEntry{leaving}
	for _, id := range c.workerIDs {
		if id != leaving.ID {
			entries = append(entries, c.engine.nodes[id].entry)
		}
	}
	c.engine.UpdateWorkers(entries, c.now)
	c.now = c.now.Add(100 * time.Millisecond)
	c.engine.WorkerUnreachable(leaving.ID, c.now.Add(time.Second), c.now)
	c.engine.UpdateWorkers(entries[1:], c.now)
	c.now = c.now.Add(2 * time.Second)
	c.engine.Decide(c.now)
	is.Equal(task.losses.total, 0)
	is.Equal(len(c.engine.recentlyRestarted), 0)
}

// Until the loss of a worker is noticed, orders are still sent to it. Unanswered ones do not
// count against their tasks: a job goes on although three of its starts went to lost workers.
func TestStartsThatMetDeadWorkersEndNoJob(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	e.addJob(testJob(hexID(1), 1, testStep(1, 8)), testStart)
	e.MarkJobsComplete()
	job := e.jobs[hexID(1)]
	now := testStart
	for incarnation := range int64(3) {
		entry := incarnationEntry("w1", 100+incarnation)
		e.recentlyRestarted = map[string]time.Time{} // so that each counts as another worker
		e.UpdateWorkers([]WorkerEntry{entry}, now)
		e.Report(entry.ID, now, nil, nil, now.Add(10*time.Second), now)
		e.Decide(now)
		e.MarkRecordsDurable(now)
		is.Equal(len(e.Decide(now).Starts), 1)
		now = now.Add(500 * time.Millisecond)
		e.WorkerUnreachable(entry.ID, now.Add(6*time.Second), now)
		now = now.Add(3 * time.Second)
		e.UpdateWorkers(nil, now)
		e.ReplaceIncarnation(entry.ID, 0, now)
		now = now.Add(3 * time.Second)
	}
	is.True(!job.state.Final())
	is.Equal(job.task(jobs.TaskKey{Job: hexID(1)}).losses, losses{total: 3, lastRun: 3, newestAt: now.Add(-3 * time.Second)})
}
