package placing

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// allTasks opens all occurrences of a job and lists its tasks.
func (j *job) allTasks() []*task {
	for number := range j.submission.OccurrenceCount() {
		j.occurrence(number)
	}
	return j.openTasks()
}

const (
	// teams is how many workspaces submit scheduled jobs, see docs/CAPACITY.md.
	teams = 190
	// dailyOccurrences is one every half minute.
	dailyOccurrences = 2880
	// smallestMemory is the memory of the smallest machine of the deployments, in bytes.
	smallestMemory = 144 << 20
)

// scheduledJob returns a job of small tasks that begins after a delay and runs every half minute.
func scheduledJob(number, occurrences, tasks int, delay time.Duration) *jobs.Submission {
	submission := testJob(hexID(number), 1, testStep(tasks, 1))
	submission.Occurrences = occurrences
	submission.FirstAtMS = testStart.Add(delay).UnixMilli()
	submission.PeriodMS = 30_000
	return submission
}

// heapGrowth returns by how many bytes the live heap has grown after a call.
func heapGrowth(call func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	call()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// Guards against leaders that are killed for their memory in turn, as each builds the tasks of all occurrences
// of accepted jobs, however far in the future these are due.
func TestJobsThatWaitForTheirTimeHoldNoTasks(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	grown := heapGrowth(func() {
		for number := range teams {
			e.addJob(scheduledJob(number+1, dailyOccurrences, 1, time.Hour), testStart)
		}
		e.Decide(testStart)
	})
	is.True(grown < smallestMemory/4)
	is.Equal(e.openBytes, int64(0))
	is.Equal(len(e.active), teams)
}

// Guards against tasks that stay in memory once they are done.
func TestDoneOccurrencesHoldNoTasks(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	submission := scheduledJob(1, 5, 2, 0)
	submission.PeriodMS = 1000
	c.submit(submission)
	job := c.engine.jobs[submission.ID]
	for number := range 5 {
		c.now = testStart.Add(time.Duration(number) * time.Second)
		for _, start := range placeAll(c.engine, c.now) {
			is.Equal(start.Task.Occurrence, number)
			c.engine.StartAnswered(start.Worker, start.Task, 1, StartAccepted, c.now)
			end := EndedTask{Number: int64(10*number + start.Task.Index + 1), Task: start.Task, Run: 1, Kind: EndDone}
			c.engine.Report(start.Worker, c.now, nil, []EndedTask{end}, time.Time{}, c.now)
		}
		c.now = c.now.Add(200 * time.Millisecond)
		c.engine.Decide(c.now)
		c.engine.MarkRecordsDurable(c.now)
		is.Equal(len(job.occurrences), 0)
	}
	is.Equal(job.state, jobs.StateDone)
}

// Guards against a job whose occurrences are done again, or never, after a change of the leader.
func TestProgressOfClosedOccurrencesIsRestored(t *testing.T) {
	is := is.New(t)
	submission := scheduledJob(1, 4, 3, 0)
	former := newJob(submission, submission.Queue, testStart, testStart.UnixMilli())
	former.completeOccurrence(0)
	partly := former.occurrence(1)
	partly.taskAt(2).done = true
	partly.taskAt(1).lastRun = 3
	former.completeOccurrence(3)
	record := former.progressRecord()
	e := testEngine(1)
	e.LoadJobs([]*jobs.Job{{Submission: submission, Progress: record.Value}}, FormerLeaderReleased, testStart)
	next := e.jobs[submission.ID]
	is.Equal(next.remainingOccurrences, 2)
	is.Equal(len(next.occurrences), 1)
	is.Equal(next.occurrence(1).remainingTasks, 2)
	is.Equal(next.occurrence(1).taskAt(1).lastRun, 3)
	is.Equal(next.occurrence(3).remainingTasks, 0)
	next.closeOccurrences()
	is.Equal(next.progressRecord(), record)
}

// Guards against a leader that needs more memory than it has for work that is due all at once.
func TestMemoryOfOpenTasksIsBounded(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	e.limits.MaxOpenBytes = 100 * (bytesPerOpenStep + 10*bytesPerOpenTask)
	add := func(number, priority, occurrences int) *job {
		submission := scheduledJob(number, occurrences, 10, -100*time.Hour)
		submission.Queue.Priority = priority
		e.addJob(submission, testStart)
		return e.jobs[hexID(number)]
	}
	low, high := add(1, 2, 300), add(2, 1, 30)
	e.waitingUnits(testStart)
	is.Equal(len(high.occurrences), 30) // the higher priority goes first
	is.Equal(len(low.occurrences), 45)
	is.Equal(e.unopenedJobs, 1)
	urgent := add(3, 0, 40)
	e.waitingUnits(testStart)
	is.Equal(len(urgent.occurrences), 25) // a part is kept for urgent work
	is.Equal(e.openBytes, e.limits.MaxOpenBytes)
}

// Guards against scheduled jobs that wait for ever behind jobs without a schedule, under the bound of open tasks.
func TestJobsOpenInTheOrderInWhichTheyAreDue(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	e.limits.MaxOpenBytes = 8 * (bytesPerOpenStep + bytesPerOpenTask) // six for priorities above 0
	for number := range 12 {
		submission := testJob(hexID(number+1), 1, testStep(1, 1))
		if number%2 == 1 {
			submission = scheduledJob(number+1, 1, 1, time.Duration(number)*time.Second)
		}
		e.addJob(submission, testStart.Add(time.Duration(number)*time.Second))
	}
	e.waitingUnits(testStart.Add(time.Minute))
	for number := range 12 {
		is.Equal(len(e.jobs[hexID(number+1)].occurrences) == 1, number < 6)
	}
}

// Guards against an estimate of the memory of open tasks that is too low.
func TestOpenTasksTakeNoMoreMemoryThanEstimated(t *testing.T) {
	for _, c := range []struct{ jobs, occurrences, tasks int }{{100, 1, 3000}, {100, 1000, 1}, {2000, 1, 1}, {500, 10, 10}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			e := testEngine(1)
			for number := range c.jobs {
				e.addJob(scheduledJob(number+1, c.occurrences, c.tasks, -100*time.Hour), testStart)
			}
			grown := heapGrowth(func() { e.waitingUnits(testStart) })
			is.True(grown < e.openBytes*5/4)
			is.True(grown > e.openBytes/3)
		})
	}
}

// Guards against jobs that wait for ever behind the bound of open tasks.
func TestAllWorkIsDoneUnderABoundOfOpenTasks(t *testing.T) {
	is := is.New(t)
	c := newCluster(4)
	c.engine.limits.MaxOpenBytes = 2*bytesPerOpenStep + 12*bytesPerOpenTask
	for number := range 12 {
		c.submit(testJob(hexID(number+1), 1, testStep(1+5*(number%3), 1)))
	}
	for range 200 {
		c.steps(1)
		for _, n := range c.engine.nodeOrder {
			for _, run := range append([]*run(nil), n.runs...) {
				if run.phase == phaseRunning {
					c.engine.applyEnd(n, EndedTask{Number: n.lastEnd + 1, Task: run.task.key, Run: run.number, Kind: EndDone}, c.now)
				}
			}
		}
	}
	for number := range 12 {
		is.Equal(strconv.Itoa(number)+" "+string(c.engine.jobs[hexID(number+1)].state), strconv.Itoa(number)+" done")
	}
}
