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

// startsByWorker starts a batch of some tasks that can wait and returns how many each worker gets.
func startsByWorker(e *Engine, id string, tasks int, now time.Time) map[string]int {
	e.ApplyJob(&jobs.Job{Submission: testJob(id, 2, testStep(tasks, 1))}, now)
	starts := map[string]int{}
	for _, start := range startAll(e, now.Add(100*time.Millisecond)) {
		starts[start.Worker]++
	}
	return starts
}

// Work that can wait goes to workers of unknown speed, so that they are known when an urgent gang
// comes. One task on each tells as much as eight on one of them, and of more workers.
func TestBatchGoesToWorkersOfUnknownSpeed(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, speedOfWorker)
	unknown := []string{"w01", "w07", "w13", "w14", "w20", "w28"}
	for _, id := range unknown {
		e.nodes[id].speed = speedEstimate{}
	}
	starts := startsByWorker(e, hexID(2), minSpeedSiblings, now)
	is.Equal(len(starts), len(unknown))
	for _, id := range unknown {
		is.Equal(starts[id], 1)
	}
}

// Guards against batch work that is spread over whole workers, which gangs need, for a speed that a
// task there is about to show: the next batch fills the fullest workers as usual.
func TestWorkerWhoseSpeedIsBeingLearnedGetsNoMoreForIt(t *testing.T) {
	is := is.New(t)
	e, now := mixedFleet(is, speedOfWorker)
	e.nodes["w07"].speed = speedEstimate{}
	is.Equal(startsByWorker(e, hexID(2), minSpeedSiblings, now)["w07"], 1)
	is.True(e.nodes["w07"].showsSpeed())
	v := e.schedulableView(now)
	is.True(!v.explores(e.nodes["w07"], &unit{tier: tierOnTime, step: e.jobs[hexID(2)].occurrences[0].steps[0]}))
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
