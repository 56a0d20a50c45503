package placing

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// partialReport is an engine of a new term that does not know all jobs yet. One worker has the run of
// a job that it knows; another worker is idle.
type partialReport struct {
	engine *Engine
	run    RunningTask
	worker string
	job    *jobs.Submission
}

func newPartialReport(t *testing.T) *partialReport {
	is := is.New(t)
	entries := []WorkerEntry{testWorker("w1", "r1-1"), testWorker("w2", "r1-1")}
	former := testEngine(1)
	submission := testJob(hexID(1), 1, testStep(1, 1))
	former.LoadJobs([]*jobs.Job{{Submission: submission}}, FormerLeaderReleased, testStart)
	former.MarkJobsComplete()
	former.UpdateWorkers(entries, testStart)
	for _, entry := range entries {
		former.Report(entry.ID, testStart, nil, nil, time.Time{}, testStart)
	}
	starts := startAll(former, testStart)
	is.Equal(len(starts), 1)
	record := former.jobs[submission.ID].progressRecord()

	p := &partialReport{engine: testEngine(2), run: RunningTask{Task: starts[0].Task, Run: starts[0].Run, Percent: 50}, worker: starts[0].Worker, job: submission}
	p.engine.LoadJobs([]*jobs.Job{{Submission: submission, Progress: record.Value, RecordedState: jobs.StateRunning}}, FormerLeaderReleased, testStart)
	p.engine.UpdateWorkers(entries, testStart)
	for _, entry := range entries {
		if entry.ID != p.worker {
			p.engine.Report(entry.ID, testStart, nil, nil, time.Time{}, testStart)
		}
	}
	return p
}

// unknownEnd is the end of a run of a job that the engine does not know.
func unknownEnd(number int64) EndedTask {
	return EndedTask{Number: number, Task: jobs.TaskKey{Job: hexID(9), Index: int(number)}, Run: 1, Kind: EndDone}
}

// fullPage returns as many such ends as a worker lists in one answer.
func fullPage() []EndedTask {
	page := make([]EndedTask, 0, maxListedEnds)
	for number := range int64(maxListedEnds) {
		page = append(page, unknownEnd(number+1))
	}
	return page
}

func (p *partialReport) report(now time.Time, running []RunningTask, ended ...EndedTask) {
	p.engine.Report(p.worker, now, running, ended, now.Add(6*time.Second), now)
}

func (p *partialReport) state() jobs.State { return p.engine.jobs[p.job.ID].state }

// Guards against a second start of a task whose end as done is listed behind the end of a job that the
// leader does not know yet.
func TestRunIsNotOverWhileItsEndIsBehindThatOfAnUnknownJob(t *testing.T) {
	for _, seen := range []bool{true, false} {
		t.Run("the run was reported in this term: "+strconv.FormatBool(seen), func(t *testing.T) {
			is := is.New(t)
			p := newPartialReport(t)
			now := testStart.Add(time.Second)
			if seen {
				p.report(now, []RunningTask{p.run}, unknownEnd(1))
			}
			done := EndedTask{Number: 2, Task: p.run.Task, Run: p.run.Run, Kind: EndDone}
			for range 20 {
				now = now.Add(100 * time.Millisecond)
				p.report(now, nil, unknownEnd(1), done)
				is.Equal(len(startAll(p.engine, now)), 0)
			}
			p.engine.MarkJobsComplete()
			p.report(now.Add(time.Second), nil, unknownEnd(1), done)
			is.Equal(p.state(), jobs.StateDone)
		})
	}
}

// Guards against a run that is never over because its absence once did not count.
func TestMissingRunIsOverOnceTheJobsAreKnown(t *testing.T) {
	is := is.New(t)
	p := newPartialReport(t)
	now := testStart.Add(time.Second)
	p.report(now, []RunningTask{p.run}, unknownEnd(1))
	now = now.Add(time.Second)
	p.report(now, nil, unknownEnd(1))
	is.Equal(len(startAll(p.engine, now)), 0)
	p.engine.MarkJobsComplete()
	now = now.Add(time.Second)
	p.report(now, nil, unknownEnd(1))
	starts := startAll(p.engine, now)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task, p.run.Task)
}

// Guards against a stop that never takes effect: once the jobs are known, the run is over without an end.
func TestStoppedRunIsOverOnceTheJobsAreKnown(t *testing.T) {
	is := is.New(t)
	p := newPartialReport(t)
	now := testStart.Add(time.Second)
	p.report(now, []RunningTask{p.run}, unknownEnd(1))
	node := p.engine.nodes[p.worker]
	p.engine.stopRun(node.runs[0], "test", now)
	p.engine.StopAcknowledged(p.worker, p.run.Task, p.run.Run, now)
	p.report(now.Add(time.Second), nil, unknownEnd(1))
	is.Equal(len(node.runs), 1)
	p.engine.MarkJobsComplete()
	p.report(now.Add(2*time.Second), nil, unknownEnd(1))
	is.Equal(len(node.runs), 0)
}

// Guards against a second start of a task whose end as done is beyond the page of ends in an answer.
func TestRunIsNotOverWhileMoreEndsMayFollow(t *testing.T) {
	is := is.New(t)
	p := newPartialReport(t)
	p.engine.MarkJobsComplete()
	now := testStart.Add(time.Second)
	p.report(now, []RunningTask{p.run})
	now = now.Add(time.Second)
	p.report(now, nil, fullPage()...)
	is.Equal(len(startAll(p.engine, now)), 0)
	now = now.Add(time.Second)
	p.report(now, nil, EndedTask{Number: maxListedEnds + 1, Task: p.run.Task, Run: p.run.Run, Kind: EndDone})
	is.Equal(p.state(), jobs.StateDone)
}

// Guards against a run that is never over: the next answer after a full page decides.
func TestMissingRunIsOverOnceNoMoreEndsFollow(t *testing.T) {
	is := is.New(t)
	p := newPartialReport(t)
	p.engine.MarkJobsComplete()
	now := testStart.Add(time.Second)
	p.report(now, []RunningTask{p.run})
	p.report(now.Add(time.Second), nil, fullPage()...)
	now = now.Add(2 * time.Second)
	p.report(now, nil)
	is.Equal(len(startAll(p.engine, now)), 1)
}
