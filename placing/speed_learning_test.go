package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Guards against speeds that are told by tasks that all run on one worker: each of its samples would
// show the usual speed, however fast it is.
func TestTasksOnOneWorkerTellNoSpeed(t *testing.T) {
	is := is.New(t)
	e := testEngine(1)
	e.LoadJobs([]*jobs.Job{{Submission: testJob(hexID(1), 2, testStep(8, 1))}}, FormerLeaderReleased, testStart)
	e.MarkJobsComplete()
	e.UpdateWorkers([]WorkerEntry{testWorker("w1", "r1-1")}, testStart)
	e.Report("w1", testStart, nil, nil, time.Time{}, testStart)
	starts := startAll(e, testStart)
	is.Equal(len(starts), 8)
	later := testStart.Add(2 * speedSampleAfter)
	var rows []RunningTask
	for index, start := range starts {
		rows = append(rows, RunningTask{Task: start.Task, Run: 1, Percent: 40 + index})
	}
	e.Report("w1", later, rows, nil, time.Time{}, later)
	is.Equal(e.nodes["w1"].speed.count, 0.0)
}

// A worker counts once in the comparison, however many of the tasks it runs.
func TestWorkerWithMostTasksIsNotTheUsualSpeed(t *testing.T) {
	is := is.New(t)
	fast, usual, slow := &node{}, &node{}, &node{}
	rates := []progressRate{{usual, 10}, {slow, 6}}
	for range 6 {
		rates = append(rates, progressRate{fast, 16})
	}
	is.True(medianRate(rates) > 9.9 && medianRate(rates) < 10.1)
}

// Work that can wait goes to workers of unknown speed, so that they are known when an urgent gang
// comes.
func TestBatchGoesToWorkersOfUnknownSpeed(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, speedOfWorker)
	unknown := e.nodes["w07"]
	unknown.speed = speedEstimate{}
	e.ApplyJob(&jobs.Job{Submission: testJob(hexID(2), 2, testStep(minSpeedSiblings, 1))}, now)
	for _, start := range startAll(e, now.Add(100*time.Millisecond)) {
		is.Equal(start.Worker, "w07")
	}
}

// An urgent gang goes to workers that are known to be of the usual speed, not to unknown ones.
func TestUrgentGangAvoidsWorkersOfUnknownSpeed(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, speedOfWorker)
	for number, id := range []string{"w00", "w01", "w02", "w03", "w04", "w05"} {
		e.nodes[id].speed = speedEstimate{}
		if number%2 == 0 {
			e.nodes[id].speed = speedEstimate{count: maxSpeedSamples}
		}
	}
	gang := testStep(3, 6)
	gang.Gang, gang.OneRack = true, true
	v := e.schedulableView(now)
	u := &unit{job: e.active[0], step: &step{job: e.active[0], spec: &gang}, tier: tierUrgent, now: now}
	for range 3 {
		u.tasks = append(u.tasks, &task{step: u.step})
	}
	for _, p := range v.pack(u, v.racks[0]) {
		is.True(p.node.speed.count > 0)
	}
}
