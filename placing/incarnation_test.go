package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// lifeOf is a worker's entry in one of its lives.
func lifeOf(name string, bornMS int64) WorkerEntry {
	entry := testWorker(name, "r1-1")
	entry.Name = name
	entry.BornMS = bornMS
	entry.ID = LifeID(name, bornMS)
	return entry
}

// hasRunningTask returns an engine with one task at work, seen there, on the first of two
// workers' lives, and the task's key.
func atWork(t *testing.T) (*Engine, jobs.TaskKey) {
	t.Helper()
	e := testEngine(1)
	first := lifeOf("w1", 100)
	e.List([]WorkerEntry{first}, testStart)
	e.Report(first.ID, testStart, nil, nil, time.Time{}, testStart)
	submission := testJob(hexID(1), 1, testStep(1, 8))
	e.addJob(submission, testStart)
	e.Complete()
	starts := startAll(e, testStart)
	if len(starts) != 1 || starts[0].Worker != first.ID {
		t.Fatalf("starts %v", starts)
	}
	key := starts[0].Task
	now := testStart.Add(time.Second)
	e.Report(first.ID, now, []RunningTask{{Task: key, Run: 1, Percent: 10}}, nil, now.Add(10*time.Second), now)
	return e, key
}

// The first word of a later life ends the former, whoever says so first: what was seen at
// work in it is lost with it, counts against its task, and is placed anew.
func TestWordOfALaterLifeEndsTheFormer(t *testing.T) {
	is := is.New(t)
	e, key := atWork(t)
	later := lifeOf("w1", 200)
	now := testStart.Add(2 * time.Second)
	e.List([]WorkerEntry{later}, now)
	is.Equal(len(e.Decide(now).Starts), 0) // a list alone proves nothing: the former may go on
	e.Report(later.ID, now, nil, nil, now.Add(6*time.Second), now)
	is.Equal(e.jobs[key.Job].task(key).losses.total, 1)
	is.Equal(len(e.nodes), 1)
	starts := startAll(e, now.Add(time.Second))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, later.ID)
	is.Equal(starts[0].Run, 2)
}

// What a former life has said may come after the word of the next. Neither its runs nor
// its ends count any more, nor does an entry that lags behind.
func TestLateWordOfAFormerLifeCountsForNothing(t *testing.T) {
	is := is.New(t)
	e, key := atWork(t)
	former, later := lifeOf("w1", 100), lifeOf("w1", 200)
	now := testStart.Add(2 * time.Second)
	e.List([]WorkerEntry{later}, now)
	e.Report(later.ID, now, nil, nil, now.Add(6*time.Second), now)
	is.Equal(len(startAll(e, now.Add(time.Second))), 1)
	e.Report(former.ID, now, nil, []EndedTask{{Number: 1, Task: key, Run: 1, How: EndDone}}, now, now)
	e.Reborn(former.ID, 200, now)
	e.Unreachable(former.ID, now, now)
	e.StartAnswered(former.ID, key, 2, StartRefused, now)
	is.Equal(len(e.List([]WorkerEntry{former}, now)), 0)
	is.True(!e.jobs[key.Job].task(key).done)
	is.Equal(e.jobs[key.Job].task(key).run.number, 2)
	is.Equal(len(e.Decide(now.Add(2*time.Second)).Acks), 0)
}

// A start that was not seen at work may have been taken by the next life, as an order
// names the worker alone: it is stopped there before its task runs elsewhere.
func TestStartThatALaterLifeMayHaveTakenIsStoppedThere(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	first, other := lifeOf("w1", 100), lifeOf("w2", 100)
	e.List([]WorkerEntry{first}, testStart)
	e.Report(first.ID, testStart, nil, nil, time.Time{}, testStart)
	e.addJob(testJob(hexID(1), 1, testStep(1, 8)), testStart)
	e.Complete()
	key := startAll(e, testStart)[0].Task
	now := testStart.Add(time.Second)
	e.List([]WorkerEntry{first, other}, now) // the list does not show the next life yet
	e.Report(other.ID, now, nil, nil, time.Time{}, now)
	next, watch := e.Reborn(first.ID, 200, now)
	is.True(watch)
	is.Equal(next.ID, LifeID("w1", 200))
	plan := e.Decide(now)
	is.Equal(plan.Stops, []Stop{{Task: key, Run: 1, Worker: next.ID}})
	is.Equal(len(startAll(e, now.Add(time.Second))), 0) // not while it may be there
	now = now.Add(2 * time.Second)
	e.StopAnswered(next.ID, key, 1, now)
	e.Report(next.ID, now.Add(time.Second), nil, []EndedTask{{Number: 1, Task: key, Run: 1, How: EndStopped}}, time.Time{}, now.Add(time.Second))
	starts := startAll(e, now.Add(2*time.Second))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, other.ID)
}

// Progress on record names the life of a run's worker, or none if a former version wrote
// it: a new holder of the term finds the run in the life that answers, or knows it lost.
func TestRunOnRecordIsLookedForInTheLifeThatAnswers(t *testing.T) {
	key := jobs.TaskKey{Job: hexID(1)}
	there := []RunningTask{{Task: key, Run: 1, Percent: 10}}
	for _, c := range []struct {
		name   string
		bornMS int64 // on record
		rows   []RunningTask
		goesOn bool
		losses int
	}{
		{"no life on record, the run is there", 0, there, true, 0},
		{"no life on record, it is not there", 0, nil, false, 0},
		{"the life on record, it is there", 200, there, true, 0},
		{"the life on record, it is not there", 200, nil, false, 0},
		{"a former life on record", 100, nil, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := testEngine(2)
			job := e.addJob(testJob(hexID(1), 1, testStep(1, 8)), testStart)
			e.applyProgress(job, &jobs.Progress{State: jobs.StateRunning, Tasks: []jobs.TaskProgress{{Run: 1, Worker: "w1", BornMS: c.bornMS}}}, testStart.Add(10*time.Second))
			e.Complete()
			life := lifeOf("w1", 200)
			e.List([]WorkerEntry{life}, testStart)
			e.Report(life.ID, testStart, c.rows, nil, time.Time{}, testStart)
			task := job.task(key)
			is.Equal(task.run != nil && task.run.number == 1, c.goesOn)
			is.Equal(task.losses.total, c.losses)
			is.Equal(len(e.Decide(testStart.Add(time.Second)).Stops), 0)
			is.Equal(len(e.nodes), 1)
		})
	}
}

// Where workers have a new name for each life nothing of this shows.
func TestLifeWithoutABirthIsItsName(t *testing.T) {
	is := is.New(t)
	is.Equal(LifeID("i-1", 0), "i-1")
	is.Equal(LifeID("i-1", 5), "i-1@5")
}

// A word of a former life that comes late, in answer to what was asked of the present one,
// ends nothing that runs.
func TestLateAnswerOfAFormerLifeEndsNothing(t *testing.T) {
	is := is.New(t)
	e, key := atWork(t)
	life := lifeOf("w1", 100)
	now := testStart.Add(2 * time.Second)
	e.Reborn(life.ID, 50, now)
	is.True(e.jobs[key.Job].task(key).run != nil)
	e.Report(life.ID, now, []RunningTask{{Task: key, Run: 1, Percent: 20}}, nil, now.Add(6*time.Second), now)
	is.Equal(e.jobs[key.Job].task(key).run.number, 1)
	is.Equal(e.jobs[key.Job].task(key).losses.total, 0)
	is.Equal(len(e.List([]WorkerEntry{life}, now)), 1)
}

// A worker whose time of day was put back begins a life that seems to be an earlier one. It
// gets work again once nobody has heard of the other for a while.
func TestWorkerWhoseTimeWasPutBackIsUsedAgain(t *testing.T) {
	is := is.New(t)
	e, key := atWork(t)
	former, present := lifeOf("w1", 100), lifeOf("w1", 40)
	now := testStart.Add(2 * time.Second)
	is.Equal(len(e.List([]WorkerEntry{present}, now)), 0)
	e.Unreachable(former.ID, now.Add(6*time.Second), now)
	e.Reborn(former.ID, 40, now)
	now = now.Add(7 * time.Second)
	e.Decide(now)
	is.True(e.jobs[key.Job].task(key).run == nil) // its leases have lapsed
	now = now.Add(answerRetention)
	e.List(nil, now)
	is.Equal(len(e.List([]WorkerEntry{present}, now)), 1)
	e.Report(present.ID, now, nil, nil, now.Add(6*time.Second), now)
	is.Equal(len(startAll(e, now)), 0) // a task that was lost waits for a steady worker, for a while
	starts := startAll(e, now.Add(maxIsolationDelay+time.Second))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, present.ID)
}
