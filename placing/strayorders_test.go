package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// currentRun returns the number of a task's run; 0 for none.
func currentRun(e *Engine, key jobs.TaskKey) int {
	run := e.jobs[key.Job].task(key).run
	if run == nil {
		return 0
	}
	return run.number
}

// engineWithStart returns an engine that has sent the start of a task to an incarnation, and the task's key.
func engineWithStart(incarnation WorkerEntry) (*Engine, jobs.TaskKey) {
	e := testEngine(1)
	e.UpdateWorkers([]WorkerEntry{incarnation}, testStart)
	e.Report(incarnation.ID, testStart, nil, nil, time.Time{}, testStart)
	e.addJob(testJob(hexID(1), 1, testStep(1, 8)), testStart)
	e.MarkJobsComplete()
	return e, placeAll(e, testStart)[0].Task
}

// Guards against a second run of a task whose start the next incarnation of its worker accepted: its lease
// there lasts longer than the one that the former incarnation was granted.
func TestRunThatNextIncarnationMayHaveStartedOutlastsFormerLease(t *testing.T) {
	const poll = 100 * time.Millisecond // sent before the crash, given up after 2.5 s
	formerExpiry := testStart.Add(poll + LeaseExpiry(testLimits.MaxLease))
	answeredAt := testStart.Add(1200 * time.Millisecond)
	givenUpAt := testStart.Add(poll + 2500*time.Millisecond)
	for _, c := range []struct {
		name   string
		result StartResult
		origin AnswerOrigin
		overAt time.Time
	}{
		{"answer of the incarnation itself", StartAccepted, OriginOwn, formerExpiry},
		{"answer that does not tell", StartAccepted, OriginUnknown, givenUpAt.Add(LeaseExpiry(testLimits.MaxLease))},
		{"answer of the next incarnation", StartAccepted, OriginOther, givenUpAt.Add(LeaseExpiry(testLimits.MaxLease))},
		{"no answer", StartUnknown, OriginUnknown, givenUpAt.Add(LeaseExpiry(testLimits.MaxLease))},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, other := incarnationEntry("w1", 100), incarnationEntry("w2", 100)
			e, key := engineWithStart(first)
			e.SetStartOrigin(first.ID, key, 1, c.origin)
			e.StartAnswered(first.ID, key, 1, c.result, answeredAt)
			e.WorkerUnreachable(first.ID, formerExpiry, givenUpAt)
			e.UpdateWorkers([]WorkerEntry{other}, givenUpAt)
			e.Report(other.ID, givenUpAt, nil, nil, time.Time{}, givenUpAt)
			e.WorkerUnreachable(first.ID, formerExpiry, givenUpAt.Add(time.Second)) // this poll requested no lease
			e.Decide(c.overAt.Add(-time.Millisecond))
			is.Equal(currentRun(e, key), 1)
			e.Decide(c.overAt)
			is.True(currentRun(e, key) != 1)
		})
	}
}

// Guards against a second run of a task that was moved to an incarnation of which only the list was known,
// and which then fell silent.
func TestRunMovedToListedIncarnationWaitsForOrdersOnTheirWay(t *testing.T) {
	is := is.New(t)
	first, later, other := incarnationEntry("w1", 100), incarnationEntry("w1", 200), incarnationEntry("w2", 100)
	e, key := engineWithStart(first)
	e.SetStartOrigin(first.ID, key, 1, OriginOther)
	e.StartAnswered(first.ID, key, 1, StartAccepted, testStart)
	e.UpdateWorkers([]WorkerEntry{later, other}, testStart)
	replacedAt := testStart.Add(time.Second)
	e.ReplaceIncarnation(first.ID, 200, replacedAt)
	is.Equal(e.jobs[key.Job].task(key).losses.total, 0) // it was never at the former incarnation
	e.WorkerUnreachable(later.ID, time.Time{}, replacedAt)
	e.UpdateWorkers([]WorkerEntry{other}, replacedAt)
	e.Report(other.ID, replacedAt, nil, nil, time.Time{}, replacedAt)
	e.Decide(replacedAt.Add(LeaseExpiry(testLimits.MaxLease)))
	is.Equal(currentRun(e, key), 1)
	e.Decide(replacedAt.Add(maxLeaseOrderDelay + LeaseExpiry(testLimits.MaxLease)))
	is.True(currentRun(e, key) != 1)
}

// Guards against leases that late orders are granted at an incarnation that was known, dropped while it was not
// listed, and is known again.
func TestIncarnationKnownAgainWaitsForOrdersOnTheirWay(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	first, later, other := incarnationEntry("w1", 100), incarnationEntry("w1", 200), incarnationEntry("w2", 100)
	e.UpdateWorkers([]WorkerEntry{first}, testStart)
	e.Report(first.ID, testStart, nil, nil, time.Time{}, testStart)
	e.ReplaceIncarnation(first.ID, 200, testStart)
	is.Equal(len(e.nodes), 0)
	listedAt := testStart.Add(time.Second)
	e.UpdateWorkers([]WorkerEntry{later}, listedAt)
	e.Report(later.ID, listedAt, nil, nil, time.Time{}, listedAt)
	e.addJob(testJob(hexID(1), 1, testStep(1, 8)), listedAt)
	e.MarkJobsComplete()
	key := placeAll(e, listedAt)[0].Task
	e.SetStartOrigin(later.ID, key, 1, OriginOwn)
	e.StartAnswered(later.ID, key, 1, StartAccepted, listedAt)
	e.WorkerUnreachable(later.ID, listedAt.Add(LeaseExpiry(testLimits.MaxLease)), listedAt.Add(time.Second))
	e.UpdateWorkers([]WorkerEntry{other}, listedAt)
	e.Report(other.ID, listedAt, nil, nil, time.Time{}, listedAt)
	overAt := testStart.Add(maxLeaseOrderDelay + LeaseExpiry(testLimits.MaxLease))
	e.Decide(overAt.Add(-time.Millisecond))
	is.Equal(currentRun(e, key), 1)
	e.Decide(overAt)
	is.True(currentRun(e, key) != 1)
}

// Guards against a run that is waited for for ever, as a delegate reports its worker's expired lease as one
// that expires now.
func TestExpiredLeaseReportedAgainDelaysNothing(t *testing.T) {
	is := is.New(t)
	first, other := incarnationEntry("w1", 100), incarnationEntry("w2", 100)
	e, key := engineWithStart(first)
	e.StartAnswered(first.ID, key, 1, StartAccepted, testStart)
	e.UpdateWorkers([]WorkerEntry{other}, testStart)
	expiry := testStart.Add(LeaseExpiry(testLimits.MaxLease))
	silentAt := testStart.Add(time.Second)
	overAt := silentAt.Add(LeaseExpiry(testLimits.MaxLease))
	for now := silentAt; now.Before(overAt); now = now.Add(1200 * time.Millisecond) {
		is.Equal(currentRun(e, key), 1)
		e.WorkerUnreachable(first.ID, laterTime(expiry, now.Add(time.Nanosecond)), now)
		e.Decide(now)
	}
	e.Decide(overAt)
	is.Equal(currentRun(e, key), 0)
}

// Guards against a run at a listed worker that is waited for for ever, for the same reason.
func TestExpiredLeaseReportedAgainKeepsNoRunAtListedWorkerOpen(t *testing.T) {
	is := is.New(t)
	e, key := engineWithRunningTask(t)
	first := incarnationEntry("w1", 100)
	silentAt := testStart.Add(2 * time.Second)
	overAt := testStart.Add(11*time.Second + maxEndWait) // when its leases expire, and as long as a listed one may have ends
	for now := silentAt; now.Before(overAt); now = now.Add(1200 * time.Millisecond) {
		is.Equal(currentRun(e, key), 1)
		e.WorkerUnreachable(first.ID, laterTime(testStart.Add(11*time.Second), now.Add(time.Nanosecond)), now)
		e.Decide(now)
	}
	e.Decide(overAt.Add(leaseMargin))
	is.Equal(currentRun(e, key), 0)
}

// Guards against losses that do not count: the answer to a start came late and was taken for one of another
// incarnation, and then the run was seen.
func TestLossOfSeenRunCountsWhoeverSeemedToAnswer(t *testing.T) {
	is := is.New(t)
	first := incarnationEntry("w1", 100)
	e, key := engineWithStart(first)
	e.SetStartOrigin(first.ID, key, 1, OriginOther)
	e.StartAnswered(first.ID, key, 1, StartAccepted, testStart)
	now := testStart.Add(100 * time.Millisecond)
	e.Report(first.ID, now, []RunningTask{{Task: key, Run: 1, Percent: 1}}, nil, now.Add(LeaseExpiry(testLimits.MaxLease)), now)
	e.ReplaceIncarnation(first.ID, 200, now)
	is.Equal(e.jobs[key.Job].task(key).losses.total, 1)
}

// runsStoppedAt returns the runs of a task that a plan stops at a worker.
func runsStoppedAt(plan Plan, worker string, key jobs.TaskKey) []int {
	var runs []int
	for _, stop := range plan.Stops {
		if stop.Worker == worker && stop.Task == key {
			runs = append(runs, stop.Run)
		}
	}
	return runs
}

// Guards against a copy of a start that arrives at the next incarnation more than three seconds after it was given up,
// beside the next run of its task.
func TestNextRunWaitsUntilNextIncarnationRefusesCopyOfStart(t *testing.T) {
	is := is.New(t)
	first, later, other := incarnationEntry("w1", 100), incarnationEntry("w1", 200), incarnationEntry("w2", 100)
	e, key := engineWithStart(first)
	e.SetStartOrigin(first.ID, key, 1, OriginOwnCopy)
	e.StartAnswered(first.ID, key, 1, StartAccepted, testStart)
	restartedAt := testStart.Add(5 * time.Second)
	e.UpdateWorkers([]WorkerEntry{later, other}, restartedAt)
	e.Report(other.ID, restartedAt, nil, nil, time.Time{}, restartedAt)
	e.Report(later.ID, restartedAt, nil, nil, time.Time{}, restartedAt)
	is.Equal(runsStoppedAt(e.Decide(restartedAt), later.ID, key), []int{1})
	is.Equal(currentRun(e, key), 1)
	e.StopAcknowledged(later.ID, key, 1, restartedAt)
	reportedAt := restartedAt.Add(time.Millisecond)
	e.Report(later.ID, reportedAt, nil, nil, time.Time{}, reportedAt)
	e.Decide(reportedAt)
	is.True(currentRun(e, key) != 1)
}

// Guards against a start of a run that has ended since and arrives after two restarts of its worker: its stops
// are lost, or sent to the first of the next incarnations only.
func TestStartOfEndedRunIsStoppedAtEachIncarnation(t *testing.T) {
	is := is.New(t)
	first := incarnationEntry("w1", 100)
	e, key := engineWithStart(first)
	e.SetStartOrigin(first.ID, key, 1, OriginOwnCopy)
	e.StartAnswered(first.ID, key, 1, StartAccepted, testStart)
	e.Report(first.ID, testStart, nil, []EndedTask{{Number: 1, Task: key, Run: 1, Kind: EndDone}}, time.Time{}, testStart)
	is.Equal(currentRun(e, key), 0)
	for bornMS := int64(200); bornMS <= 300; bornMS += 100 {
		now := testStart.Add(time.Duration(bornMS) * 20 * time.Millisecond)
		later := incarnationEntry("w1", bornMS)
		e.UpdateWorkers([]WorkerEntry{later}, now)
		e.Report(later.ID, now, nil, nil, time.Time{}, now)
		is.Equal(runsStoppedAt(e.Decide(now), later.ID, key), []int{1})
		again := now.Add(stopRetryInterval + time.Millisecond)
		is.Equal(runsStoppedAt(e.Decide(again), later.ID, key), []int{1})
		e.StopAcknowledged(later.ID, key, 1, again)
		is.Equal(len(runsStoppedAt(e.Decide(again.Add(2*stopRetryInterval)), later.ID, key)), 0)
	}
}
