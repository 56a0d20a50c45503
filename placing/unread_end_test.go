package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// silentRun is an engine in which the worker of a task's first run has fallen silent. The run's lease
// has expired at expiry; another worker has capacity.
type silentRun struct {
	engine *Engine
	run    Start
	expiry time.Time
	others []WorkerEntry
}

func newSilentRun(t *testing.T) *silentRun {
	is := is.New(t)
	entries := []WorkerEntry{testWorker("w1", "r1-1"), testWorker("w2", "r1-1")}
	e := testEngine(1)
	e.LoadJobs([]*jobs.Job{{Submission: testJob(hexID(1), 1, testStep(1, 1))}}, FormerLeaderReleased, testStart)
	e.MarkJobsComplete()
	e.UpdateWorkers(entries, testStart)
	for _, entry := range entries {
		e.Report(entry.ID, testStart, nil, nil, time.Time{}, testStart)
	}
	starts := startAll(e, testStart)
	is.Equal(len(starts), 1)
	s := &silentRun{engine: e, run: starts[0], expiry: testStart.Add(6 * time.Second)}
	e.WorkerUnreachable(s.run.Worker, s.expiry, testStart.Add(2*time.Second))
	for _, entry := range entries {
		if entry.ID != s.run.Worker {
			s.others = append(s.others, entry)
		}
	}
	return s
}

// reportDone reports that the first run had ended as done.
func (s *silentRun) reportDone(now time.Time) {
	end := EndedTask{Number: 1, Task: s.run.Task, Run: s.run.Run, Kind: EndDone}
	s.engine.Report(s.run.Worker, now, nil, []EndedTask{end}, now.Add(6*time.Second), now)
}

func (s *silentRun) state() jobs.State { return s.engine.jobs[s.run.Task.Job].state }

// Guards against a second start of a task that had ended as done on a worker that was silent for
// longer than its lease, but alive.
func TestRunOnAListedWorkerIsNotTakenAsOverBeforeItsEndCanBeRead(t *testing.T) {
	is := is.New(t)
	s := newSilentRun(t)
	now := s.expiry.Add(2 * time.Second)
	is.Equal(len(startAll(s.engine, now)), 0)
	s.reportDone(now)
	is.Equal(s.state(), jobs.StateDone)
	is.Equal(len(startAll(s.engine, now)), 0)
}

// The ends of a worker that is not listed any more are lost with it.
func TestRunOnAWorkerThatIsGoneRunsAgainOnceItsLeaseHasExpired(t *testing.T) {
	is := is.New(t)
	s := newSilentRun(t)
	s.engine.UpdateWorkers(s.others, s.expiry)
	is.Equal(len(startAll(s.engine, s.expiry)), 1)
}

// Guards against a start that is sent although the end of an earlier run has been read since it was
// planned.
func TestEndAsDoneWithdrawsAPlannedRun(t *testing.T) {
	is := is.New(t)
	s := newSilentRun(t)
	s.engine.UpdateWorkers(s.others, s.expiry)
	s.engine.Decide(s.expiry) // plans the second run
	is.True(s.engine.jobs[s.run.Task.Job].task(s.run.Task).run != nil)
	s.engine.UpdateWorkers(append(s.others, testWorker(s.run.Worker, "r1-1")), s.expiry)
	s.reportDone(s.expiry)
	is.Equal(s.state(), jobs.StateDone)
	s.engine.MarkRecordsDurable(s.expiry)
	is.Equal(len(s.engine.Decide(s.expiry).Starts), 0)
}

// Guards against a second start of a task that had ended as done on a worker whose entry had expired
// while the store was down, or that a new leader has not read yet.
func TestRunOnAWorkerThatIsAbsentFromAnIncompleteListIsNotTakenAsOver(t *testing.T) {
	is := is.New(t)
	s := newSilentRun(t)
	s.engine.UpdateWorkers(s.others, s.expiry)
	s.engine.SetListIncomplete(true)
	now := s.expiry.Add(2 * time.Second)
	is.Equal(len(startAll(s.engine, now)), 0)
	s.engine.UpdateWorkers(append(s.others, testWorker(s.run.Worker, "r1-1")), now)
	s.reportDone(now)
	is.Equal(s.state(), jobs.StateDone)
	is.Equal(len(startAll(s.engine, now)), 0)
}

// Guards against a run that is never over while the list stays incomplete, and one that waits on after
// the list is complete.
func TestWaitForACompleteListIsBounded(t *testing.T) {
	for _, complete := range []bool{false, true} {
		is := is.New(t)
		s := newSilentRun(t)
		s.engine.UpdateWorkers(s.others, s.expiry)
		s.engine.SetListIncomplete(true)
		is.Equal(len(startAll(s.engine, s.expiry.Add(maxEndWait-time.Second))), 0)
		s.engine.SetListIncomplete(!complete)
		overAt := s.expiry.Add(maxEndWait)
		if complete {
			overAt = s.expiry.Add(maxEndWait - time.Second/2)
		}
		is.Equal(len(startAll(s.engine, overAt)), 1)
	}
}

// A former leader may have granted a lease at a worker that was listed, and answered, before the job was read.
func TestRunOfAJobReadLateCountsUntilFormerLeasesExpire(t *testing.T) {
	for name, answers := range map[string]bool{"the worker has answered": true, "the worker was never reached": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			submission := testJob(hexID(1), 1, testStep(1, 1))
			record, err := jobs.ProgressRecord(submission.ID, &jobs.Progress{State: jobs.StateRunning, Tasks: []jobs.TaskProgress{{Run: 1, Worker: "w1"}}})
			is.NoErr(err)
			others := []WorkerEntry{testWorker("w2", "r1-1")}
			e := testEngine(2)
			e.LoadJobs(nil, FormerLeaderUnknown, testStart)
			e.UpdateWorkers(append(others, testWorker("w1", "r1-1")), testStart)
			e.Report("w2", testStart, nil, nil, time.Time{}, testStart)
			if answers {
				e.Report("w1", testStart, []RunningTask{{Task: jobs.TaskKey{Job: submission.ID}, Run: 1}}, nil, time.Time{}, testStart)
			}
			later := testStart.Add(time.Second)
			e.ApplyJob(&jobs.Job{Submission: submission, Progress: record.Value}, later)
			e.MarkJobsComplete()
			e.WorkerUnreachable("w1", time.Time{}, later)
			e.UpdateWorkers(others, later)
			expiry := testStart.Add(LeaseExpiry(testLimits.MaxLease) + testLimits.LostLeaderTimeout)
			is.Equal(len(startAll(e, expiry.Add(-time.Millisecond))), 0)
			is.Equal(len(startAll(e, expiry.Add(time.Second))), 1)
		})
	}
}

// This leader has renewed the leases of a run that it did not know, at a worker that left the list since.
func TestRunOfAJobReadLateCountsUntilLeasesOfItsOwnLeaderExpire(t *testing.T) {
	is := is.New(t)
	submission := testJob(hexID(1), 1, testStep(1, 1))
	record, err := jobs.ProgressRecord(submission.ID, &jobs.Progress{State: jobs.StateRunning, Tasks: []jobs.TaskProgress{{Run: 1, Worker: "w1"}}})
	is.NoErr(err)
	e := testEngine(2)
	e.LoadJobs(nil, FormerLeaderReleased, testStart)
	e.UpdateWorkers([]WorkerEntry{testWorker("w1", "r1-1"), testWorker("w2", "r1-1")}, testStart)
	former := e.FormerLeasesExpireAt()
	renewed := former.Add(-time.Second)
	expiry := renewed.Add(LeaseExpiry(testLimits.MaxLease))
	e.Report("w1", renewed, []RunningTask{{Task: jobs.TaskKey{Job: submission.ID}, Run: 1}}, nil, expiry, renewed)
	e.UpdateWorkers([]WorkerEntry{testWorker("w2", "r1-1")}, renewed)
	e.WorkerUnreachable("w1", expiry, renewed)
	e.ApplyJob(&jobs.Job{Submission: submission, Progress: record.Value}, renewed)
	e.MarkJobsComplete()
	e.Report("w2", renewed, nil, nil, time.Time{}, renewed)
	is.Equal(len(startAll(e, expiry.Add(-time.Millisecond))), 0)
	is.Equal(len(startAll(e, expiry.Add(time.Second))), 1)
}
