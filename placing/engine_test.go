package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

var testLimits = Limits{
	MaxLease:            6 * time.Second,
	MaxStopTime:         900 * time.Millisecond,
	ReclaimTimeout:      3 * time.Second,
	EndedJobRetention:   120 * time.Second,
	LostLeaderTimeout:   9 * time.Second,
	ReleasedTermTimeout: 3 * time.Second,
	ExitedLeaderTimeout: 2 * time.Second,
}

var testStart = time.Unix(1_000_000, 0)

func testEngine(epoch int64) *Engine {
	return New(testLimits, epoch, func(at time.Time) int64 { return at.UnixMilli() })
}

func testWorker(id, rack string) WorkerEntry {
	return WorkerEntry{ID: id, Address: id, Pool: "pool", Kind: "a", Rack: rack, Labels: []string{"a", rack},
		Capacity: jobs.Resources{MilliCores: 64000, MemoryMB: 128 << 10, Accelerators: 8}}
}

func testJob(id string, priority int, steps ...jobs.Step) *jobs.Submission {
	return &jobs.Submission{
		ID:        id,
		Workspace: "manchester",
		Queue:     jobs.Queue{Name: "queue", Pool: "pool", Priority: priority, MaxAttempts: 2, Stretch: 3, TargetMS: 1000},
		Steps:     steps,
	}
}

func testStep(tasks int, accelerators int64) jobs.Step {
	return jobs.Step{Tasks: tasks, Need: jobs.Resources{MilliCores: 8000, MemoryMB: 1000, Accelerators: accelerators}, EstimateMS: 4000}
}

// startAll lets an engine place, record and start what it can.
func startAll(e *Engine, now time.Time) []Start {
	starts := placeAll(e, now)
	for _, start := range starts {
		e.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, now)
	}
	return starts
}

// placeAll makes the records of new placements durable and returns the starts.
func placeAll(e *Engine, now time.Time) []Start {
	e.Decide(now)
	e.MarkRecordsDurable(now)
	return e.Decide(now).Starts
}

// A worker lists an end until it is acknowledged. If the leader changes after
// the end was recorded and before it was acknowledged, the next leader receives it
// again, and must not count the failure twice.
func TestFailureListedAgainAfterTakeOverCountsOnce(t *testing.T) {
	is := is.New(t)
	submission := testJob("0000000000000001", 1, testStep(1, 1))
	first := testEngine(1)
	first.LoadJobs([]*jobs.Job{{Submission: submission}}, FormerLeaderReleased, testStart)
	first.UpdateWorkers([]WorkerEntry{testWorker("w1", "r1-1")}, testStart)
	first.Report("w1", testStart, nil, nil, time.Time{}, testStart)
	starts := startAll(first, testStart)
	is.Equal(len(starts), 1)
	later := testStart.Add(time.Second)
	ended := []EndedTask{{Number: 1, Task: starts[0].Task, Run: 1, Kind: EndFailed}}
	first.Report(starts[0].Worker, later, nil, ended, time.Time{}, later)
	plan := first.Decide(later)

	table := jobs.NewTable()
	record, err := jobs.SubmissionRecord(submission)
	is.NoErr(err)
	for offset, written := range append([]jobs.Record{record}, plan.Records...) {
		_, err := table.Apply(written, 0, int64(offset))
		is.NoErr(err)
	}
	second := testEngine(2)
	second.LoadJobs(table.All(), FormerLeaderReleased, later)
	second.UpdateWorkers([]WorkerEntry{testWorker("w1", "r1-1")}, later)
	second.Report(starts[0].Worker, later, nil, ended, time.Time{}, later)
	is.Equal(second.jobs[submission.ID].state, jobs.StateRunning) // one failure of two allowed
}

// The parts of the log are read separately, so a new leader may learn a job's
// progress, and its runs at workers, before the submission itself.
func TestLateSubmissionKeepsItsProgress(t *testing.T) {
	is := is.New(t)
	submission := testJob("0000000000000002", 1, testStep(1, 1))
	e := testEngine(2)
	e.LoadJobs(nil, FormerLeaderUnknown, testStart)
	e.UpdateWorkers([]WorkerEntry{testWorker("w1", "r1-1"), testWorker("w2", "r1-1")}, testStart)
	task := jobs.TaskKey{Job: submission.ID}
	row := RunningTask{Task: task, Run: 1, Percent: 10}
	end := EndedTask{Number: 1, Task: task, Run: 1, Kind: EndDone}
	e.Report("w1", testStart, []RunningTask{row}, nil, time.Time{}, testStart)
	is.Equal(len(e.Decide(testStart).Stops), 0) // the run may belong to a job that is not read yet
	later := testStart.Add(time.Second)
	e.Report("w1", later, nil, []EndedTask{end}, time.Time{}, later)
	is.Equal(len(e.Decide(later).Acks), 0) // nor may its end be acknowledged
	record, err := jobs.ProgressRecord(submission.ID, &jobs.Progress{
		State: jobs.StateRunning,
		Tasks: []jobs.TaskProgress{{Run: 1, Worker: "w1"}},
	})
	is.NoErr(err)
	e.ApplyJob(&jobs.Job{Submission: submission, Progress: record.Value}, later)
	e.MarkJobsComplete()
	is.Equal(len(startAll(e, later)), 0) // run 1 is recorded at w1
	e.Report("w1", later, nil, []EndedTask{end}, time.Time{}, later)
	is.Equal(e.jobs[submission.ID].state, jobs.StateDone)
}

// A group of records has a size limit; records that do not fit come with the next one,
// and no run starts before its own record is durable.
func TestStartsWaitForTheirOwnRecord(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	e.groupLimit = 1
	e.LoadJobs(nil, FormerLeaderReleased, testStart)
	e.UpdateWorkers([]WorkerEntry{testWorker("w1", "r1-1")}, testStart)
	e.Report("w1", testStart, nil, nil, time.Time{}, testStart)
	for index := range 3 {
		e.ApplyJob(&jobs.Job{Submission: testJob(hexID(index+1), 1, testStep(1, 1))}, testStart)
	}
	started, durable := map[string]bool{}, map[string]bool{}
	for range 5 {
		plan := e.Decide(testStart)
		is.True(len(plan.Records) <= 1)
		for _, start := range plan.Starts {
			is.True(durable["p/"+start.Task.Job])
			started[start.Task.Job] = true
		}
		for _, record := range plan.Records {
			durable[record.Key] = true
		}
		e.MarkRecordsDurable(testStart)
	}
	is.Equal(len(started), 3)
}

// A former leader may have recorded a job as done and lost the term before its
// progress was written: the job is done, its listed runs are stopped, and
// its progress is written. In the opposite case its state is written.
func TestStateAndProgressAreMadeToAgree(t *testing.T) {
	is := is.New(t)
	submission := testJob(hexID(1), 1, testStep(1, 1))
	running, err := jobs.ProgressRecord(submission.ID, &jobs.Progress{State: jobs.StateRunning,
		Tasks: []jobs.TaskProgress{{Run: 1, Worker: "w"}}})
	is.NoErr(err)
	done, err := jobs.ProgressRecord(submission.ID, &jobs.Progress{State: jobs.StateDone})
	is.NoErr(err)
	for _, stored := range []*jobs.Job{
		{Submission: submission, Progress: running.Value, RecordedState: jobs.StateDone},
		{Submission: submission, Progress: done.Value, RecordedState: jobs.StateRunning},
		{Submission: submission, RecordedState: jobs.StateDone},
	} {
		e := testEngine(2)
		e.LoadJobs([]*jobs.Job{stored}, FormerLeaderReleased, testStart)
		e.MarkJobsComplete()
		e.UpdateWorkers([]WorkerEntry{testWorker("w", "r1-0")}, testStart)
		listed := RunningTask{Task: jobs.TaskKey{Job: submission.ID}, Run: 1}
		e.Report("w", testStart, []RunningTask{listed}, nil, time.Time{}, testStart)
		plan := e.Decide(testStart.Add(2 * time.Second))
		is.Equal(len(plan.Starts), 0)
		is.True(len(plan.Stops) > 0)
		is.Equal(string(plan.Records[0].Value[:1]), "d")
		is.Equal(len(plan.States) == 1, stored.RecordedState != jobs.StateDone)
	}
}

// The ends of jobs do not wait for a group of records that stays in flight: the final state
// is written ahead, once, and the progress follows with the next group.
func TestFinalStateDoesNotWaitForAGroupThatIsStuck(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	e.LoadJobs(nil, FormerLeaderReleased, testStart)
	e.UpdateWorkers([]WorkerEntry{testWorker("w1", "r1-0")}, testStart)
	e.Report("w1", testStart, nil, nil, time.Time{}, testStart)
	first := testJob(hexID(1), 1, testStep(1, 1))
	e.ApplyJob(&jobs.Job{Submission: first}, testStart)
	startAll(e, testStart)
	e.ApplyJob(&jobs.Job{Submission: testJob(hexID(2), 1, testStep(1, 1))}, testStart)
	now := testStart.Add(time.Second)
	is.Equal(len(e.Decide(now).Records), 1) // in flight from now on
	key := jobs.TaskKey{Job: first.ID}
	e.Report("w1", now, nil, []EndedTask{{Number: 1, Task: key, Run: 1, Kind: EndDone}}, time.Time{}, now)
	is.Equal(len(e.Decide(now.Add(earlyStateDelay/2)).EarlyStates), 0)
	early := e.Decide(now.Add(earlyStateDelay)).EarlyStates
	is.Equal(early, []jobs.Record{jobs.StateRecord(first.ID, jobs.StateDone)})
	is.Equal(len(e.Decide(now.Add(2*earlyStateDelay)).EarlyStates), 0)
	e.MarkRecordsDurable(now.Add(2 * earlyStateDelay))
	plan := e.Decide(now.Add(2*earlyStateDelay + time.Second))
	is.Equal(len(plan.Records), 1)
	is.Equal(len(plan.States), 0)
}

// A worker that left during a change of leader is not listed, so its runs count as
// running until every lease that the former leader may have granted has expired. A
// leader whose process has ended grants none.
func TestRunsAtUnknownWorkersWaitAsLongAsTheFormerHolderMayGoOn(t *testing.T) {
	for former, wait := range map[FormerLeaderState]time.Duration{
		FormerLeaderUnknown: testLimits.LostLeaderTimeout, FormerLeaderReleased: testLimits.ReleasedTermTimeout, FormerLeaderExited: testLimits.ExitedLeaderTimeout,
	} {
		t.Run(former.String(), func(t *testing.T) {
			is := is.New(t)
			submission := testJob(hexID(1), 1, testStep(1, 1))
			record, err := jobs.ProgressRecord(submission.ID, &jobs.Progress{State: jobs.StateRunning,
				Tasks: []jobs.TaskProgress{{Run: 1, Worker: "left"}}})
			is.NoErr(err)
			e := testEngine(2)
			e.LoadJobs([]*jobs.Job{{Submission: submission, Progress: record.Value}}, former, testStart)
			e.UpdateWorkers([]WorkerEntry{testWorker("w1", "r1-1")}, testStart)
			e.Report("w1", testStart, nil, nil, time.Time{}, testStart)
			expiry := testStart.Add(LeaseExpiry(testLimits.MaxLease) + wait)
			is.Equal(len(startAll(e, expiry.Add(-time.Millisecond))), 0)
			is.Equal(len(startAll(e, expiry.Add(time.Second))), 1)
		})
	}
}
