package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// incarnationEntry returns the entry of one incarnation of a worker.
func incarnationEntry(name string, bornMS int64) WorkerEntry {
	entry := testWorker(name, "r1-1")
	entry.Name = name
	entry.BornMS = bornMS
	entry.ID = IncarnationID(name, bornMS)
	return entry
}

// engineWithRunningTask returns an engine with one task that was reported as running on
// the first incarnation of worker w1, and the task's key.
func engineWithRunningTask(t *testing.T) (*Engine, jobs.TaskKey) {
	t.Helper()
	e := testEngine(1)
	first := incarnationEntry("w1", 100)
	e.UpdateWorkers([]WorkerEntry{first}, testStart)
	e.Report(first.ID, testStart, nil, nil, time.Time{}, testStart)
	submission := testJob(hexID(1), 1, testStep(1, 8))
	e.addJob(submission, testStart)
	e.MarkJobsComplete()
	starts := startAll(e, testStart)
	if len(starts) != 1 || starts[0].Worker != first.ID {
		t.Fatalf("starts %v", starts)
	}
	key := starts[0].Task
	now := testStart.Add(time.Second)
	e.Report(first.ID, now, []RunningTask{{Task: key, Run: 1, Percent: 10}}, nil, now.Add(10*time.Second), now)
	return e, key
}

// The first report of a later incarnation ends the former: a run that was seen in it is
// lost, counts against its task, and is placed anew.
func TestAnswerOfLaterIncarnationEndsTheFormer(t *testing.T) {
	is := is.New(t)
	e, key := engineWithRunningTask(t)
	later := incarnationEntry("w1", 200)
	now := testStart.Add(2 * time.Second)
	e.UpdateWorkers([]WorkerEntry{later}, now)
	is.Equal(len(e.Decide(now).Starts), 0) // a list alone proves nothing: the former may go on
	e.Report(later.ID, now, nil, nil, now.Add(6*time.Second), now)
	is.Equal(e.jobs[key.Job].task(key).losses.total, 1)
	is.Equal(len(e.nodes), 1)
	starts := startAll(e, now.Add(time.Second))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, later.ID)
	is.Equal(starts[0].Run, 2)
}

// Answers of a former incarnation may arrive after those of the next. Neither its runs nor
// its ends count any more, nor does an outdated list entry.
func TestLateAnswersOfFormerIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	e, key := engineWithRunningTask(t)
	former, present := incarnationEntry("w1", 100), incarnationEntry("w1", 200)
	now := testStart.Add(2 * time.Second)
	e.UpdateWorkers([]WorkerEntry{present}, now)
	e.Report(present.ID, now, nil, nil, now.Add(6*time.Second), now)
	is.Equal(len(startAll(e, now.Add(time.Second))), 1)
	e.Report(former.ID, now, nil, []EndedTask{{Number: 1, Task: key, Run: 1, Kind: EndDone}}, now, now)
	e.ReplaceIncarnation(former.ID, 200, now)
	e.WorkerUnreachable(former.ID, now, now)
	e.StartAnswered(former.ID, key, 2, StartRefused, now)
	is.Equal(len(e.UpdateWorkers([]WorkerEntry{former}, now)), 0)
	is.True(!e.jobs[key.Job].task(key).done)
	is.Equal(e.jobs[key.Job].task(key).run.number, 2)
	is.Equal(len(e.Decide(now.Add(2*time.Second)).Acks), 0)
}

// A start that was not seen running may have been taken by the next incarnation, as an
// order addresses the worker by name alone: it is stopped there before its task runs
// elsewhere.
func TestStartThatLaterIncarnationMayHaveTakenIsStoppedThere(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	first, other := incarnationEntry("w1", 100), incarnationEntry("w2", 100)
	e.UpdateWorkers([]WorkerEntry{first}, testStart)
	e.Report(first.ID, testStart, nil, nil, time.Time{}, testStart)
	e.addJob(testJob(hexID(1), 1, testStep(1, 8)), testStart)
	e.MarkJobsComplete()
	key := startAll(e, testStart)[0].Task
	now := testStart.Add(time.Second)
	e.UpdateWorkers([]WorkerEntry{first, other}, now) // the list does not show the next incarnation yet
	e.Report(other.ID, now, nil, nil, time.Time{}, now)
	next, mustPoll := e.ReplaceIncarnation(first.ID, 200, now)
	is.True(mustPoll)
	is.Equal(next.ID, IncarnationID("w1", 200))
	plan := e.Decide(now)
	is.Equal(plan.Stops, []Stop{{Task: key, Run: 1, Worker: next.ID}})
	is.Equal(len(startAll(e, now.Add(time.Second))), 0) // not while it may be there
	now = now.Add(2 * time.Second)
	e.StopAcknowledged(next.ID, key, 1, now)
	e.Report(next.ID, now.Add(time.Second), nil, []EndedTask{{Number: 1, Task: key, Run: 1, Kind: EndStopped}}, time.Time{}, now.Add(time.Second))
	starts := startAll(e, now.Add(2*time.Second))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, other.ID)
}

// Recorded progress names the incarnation of a run's worker, or none if a former version
// wrote it: a new leader finds the run in the incarnation that answers, or counts it as lost.
func TestRecordedRunIsLookedForInAnsweringIncarnation(t *testing.T) {
	key := jobs.TaskKey{Job: hexID(1)}
	reported := []RunningTask{{Task: key, Run: 1, Percent: 10}}
	for _, c := range []struct {
		name   string
		bornMS int64 // in the record
		rows   []RunningTask
		goesOn bool
		losses int
	}{
		{"no incarnation recorded, run present", 0, reported, true, 0},
		{"no incarnation recorded, run absent", 0, nil, false, 0},
		{"same incarnation recorded, run present", 200, reported, true, 0},
		{"same incarnation recorded, run absent", 200, nil, false, 0},
		{"former incarnation recorded", 100, nil, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := testEngine(2)
			job := e.addJob(testJob(hexID(1), 1, testStep(1, 8)), testStart)
			e.applyProgress(job, &jobs.Progress{State: jobs.StateRunning, Tasks: []jobs.TaskProgress{{Run: 1, Worker: "w1", BornMS: c.bornMS}}}, testStart.Add(10*time.Second))
			e.MarkJobsComplete()
			entry := incarnationEntry("w1", 200)
			e.UpdateWorkers([]WorkerEntry{entry}, testStart)
			e.Report(entry.ID, testStart, c.rows, nil, time.Time{}, testStart)
			task := job.task(key)
			is.Equal(task.run != nil && task.run.number == 1, c.goesOn)
			is.Equal(task.losses.total, c.losses)
			is.Equal(len(e.Decide(testStart.Add(time.Second)).Stops), 0)
			is.Equal(len(e.nodes), 1)
		})
	}
}

// Where workers have a new name for each incarnation the ID is the name.
func TestIncarnationIDWithoutStartTimeIsTheName(t *testing.T) {
	is := is.New(t)
	is.Equal(IncarnationID("i-1", 0), "i-1")
	is.Equal(IncarnationID("i-1", 5), "i-1@5")
}

// A late answer of a former incarnation to a request to the present one ends no run.
func TestLateAnswerOfFormerIncarnationEndsNoRun(t *testing.T) {
	is := is.New(t)
	e, key := engineWithRunningTask(t)
	entry := incarnationEntry("w1", 100)
	now := testStart.Add(2 * time.Second)
	e.ReplaceIncarnation(entry.ID, 50, now)
	is.True(e.jobs[key.Job].task(key).run != nil)
	e.Report(entry.ID, now, []RunningTask{{Task: key, Run: 1, Percent: 20}}, nil, now.Add(6*time.Second), now)
	is.Equal(e.jobs[key.Job].task(key).run.number, 1)
	is.Equal(e.jobs[key.Job].task(key).losses.total, 0)
	is.Equal(len(e.UpdateWorkers([]WorkerEntry{entry}, now)), 1)
}

// A worker whose time of day was put back begins an incarnation that seems to be an earlier
// one. It gets work again once the other has not answered for a while.
func TestWorkerWithClockPutBackIsUsedAgain(t *testing.T) {
	is := is.New(t)
	e, key := engineWithRunningTask(t)
	former, present := incarnationEntry("w1", 100), incarnationEntry("w1", 40)
	now := testStart.Add(2 * time.Second)
	is.Equal(len(e.UpdateWorkers([]WorkerEntry{present}, now)), 0)
	e.WorkerUnreachable(former.ID, now.Add(6*time.Second), now)
	e.ReplaceIncarnation(former.ID, 40, now)
	now = now.Add(7 * time.Second)
	e.Decide(now)
	is.True(e.jobs[key.Job].task(key).run == nil) // its leases have expired
	now = now.Add(answerRetention)
	e.UpdateWorkers(nil, now)
	is.Equal(len(e.UpdateWorkers([]WorkerEntry{present}, now)), 1)
	e.Report(present.ID, now, nil, nil, now.Add(6*time.Second), now)
	is.Equal(len(startAll(e, now)), 0) // for a while a task that was lost waits for a worker that was not recently restarted
	starts := startAll(e, now.Add(maxIsolationDelay+time.Second))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, present.ID)
}
