package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

func longRunningStep(tasks int) jobs.Step {
	step := testStep(tasks, 1)
	step.LongRunning = true
	return step
}

// reportLoad reports the runs of a worker, with a load for serving tasks, and runs a pass.
func (c *cluster) reportLoad(id string, load int64) Plan {
	var rows []RunningTask
	for _, run := range c.engine.nodes[id].runs {
		row := RunningTask{Task: run.task.key, Run: run.number, Percent: 100}
		if run.task.step.spec.ResponseTargetMS > 0 {
			row.Load = load
		}
		rows = append(rows, row)
	}
	c.engine.Report(id, c.now, rows, nil, time.Time{}, c.now)
	return c.engine.Decide(c.now)
}

// Long-running tasks restart however they end, count no attempts and are not preempted by
// urgent work.
func TestLastingTasksStartAgainHoweverTheyEnd(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.submit(testJob(hexID(1), 2, longRunningStep(1)))
	c.steps(2)
	for number, kind := range []EndKind{EndFailed, EndDone, EndLeaseExpired, EndFailed, EndGangBroken} {
		task := c.engine.jobs[hexID(1)].allTasks()[0]
		is.True(task.run != nil)
		worker := task.run.node.entry.ID
		end := EndedTask{Number: int64(number + 1), Task: task.key, Run: task.run.number, Kind: kind}
		c.endNumbers[worker]++
		end.Number = c.endNumbers[worker]
		c.engine.Report(worker, c.now, nil, []EndedTask{end}, time.Time{}, c.now)
		c.now = c.now.Add(2 * maxWorkerBackoff)
		c.steps(3)
	}
	is.True(c.allRunning(hexID(1)))
	is.Equal(c.engine.jobs[hexID(1)].state, jobs.StateRunning)
	for i := range 4 {
		c.submit(testJob(hexID(10+i), 0, gangStep(1, 8)))
	}
	c.steps(60)
	is.True(c.allRunning(hexID(1)))
}

// Long-running tasks move off a leaving worker while enough other tasks of their step run, and
// in any case before it leaves.
func TestLastingTasksLeaveAWorkerInTime(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	step := longRunningStep(2)
	step.MaxPerWorker = 1
	step.MaxUnavailable = 1
	c.submit(testJob(hexID(1), 1, step))
	c.steps(2)
	for _, id := range c.workerIDs {
		c.reportLoad(id, 0)
	}
	leaving := c.engine.jobs[hexID(1)].allTasks()[0].run.node
	var entries []WorkerEntry
	for _, id := range c.workerIDs {
		entry := c.engine.nodes[id].entry
		if id == leaving.entry.ID {
			entry.Leaving, entry.MinRemaining = true, 5*time.Second
		}
		entries = append(entries, entry)
	}
	c.engine.UpdateWorkers(entries, c.now)
	c.steps(3)
	is.True(c.allRunning(hexID(1)))
	is.Equal(len(leaving.runs), 0)
}

// Nothing starts on a worker that is leaving or missing from the worker list.
func TestLeavingWorkersGetNothingNew(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	entries := []WorkerEntry{testWorker("w00", "r1-0"), testWorker("w01", "r1-0"), testWorker("w02", "r1-0")}
	entries[0].Leaving, entries[0].MinRemaining = true, time.Minute
	c.engine.UpdateWorkers(entries, c.now) // w03 is not listed
	c.submit(testJob(hexID(1), 0, testStep(32, 1)))
	c.steps(3)
	is.Equal(len(c.engine.nodes["w00"].runs), 0)
	is.True(c.engine.nodes["w03"] == nil)
	is.Equal(len(c.engine.nodes["w01"].runs)+len(c.engine.nodes["w02"].runs), 16)
}

// Fillers pause as soon as a serving task on their worker misses its target, and speed up step
// by step once it meets the target.
func TestFillingTasksGiveWayToServingOnes(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	serving := longRunningStep(1)
	serving.ResponseTargetMS = 100
	c.submit(testJob(hexID(1), 0, serving))
	filler := testStep(3, 1)
	filler.Filler = true
	c.submit(testJob(hexID(2), 2, filler))
	c.steps(2)
	worker := c.engine.jobs[hexID(1)].allTasks()[0].run.node.entry.ID
	setPaces := func(load int64) []int {
		var list []int
		for _, pace := range c.reportLoad(worker, load).Paces {
			list = append(list, pace.Percent)
			c.engine.PaceAcknowledged(pace)
		}
		return list
	}
	is.Equal(len(setPaces(90)), 0)
	is.Equal(setPaces(120), []int{0, 0, 0})
	is.Equal(len(setPaces(130)), 0) // they are paused already
	c.now = c.now.Add(paceRaiseInterval)
	is.Equal(len(setPaces(90)), 0) // too close to the target
	is.Equal(setPaces(50), []int{paceStep, paceStep, paceStep})
	is.Equal(len(setPaces(50)), 0) // one step at a time
	for range 20 {
		c.now = c.now.Add(paceRaiseInterval)
		setPaces(50)
	}
	is.Equal(c.engine.nodes[worker].paceControl.allowedPercent(), fullPace)
}

// Guards against failing a long-running job for workers lost over weeks: runs that outlive
// longRunningProof, but not twice the longest one before them.
func TestLastingTaskIsClearedOfLossesFarApart(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.submit(testJob(hexID(1), 1, longRunningStep(1)))
	task := c.engine.jobs[hexID(1)].allTasks()[0]
	for range 2 * maxLosses {
		c.steps(60)
		is.True(task.run != nil)
		worker := task.run.node.entry.ID
		c.now = c.now.Add(longRunningProof + time.Hour)
		c.reportLoad(worker, 0)
		is.Equal(task.losses.total, 0)
		c.loseWorker(worker)
		is.Equal(task.losses.total, 1)
	}
	is.Equal(c.engine.jobs[hexID(1)].state, jobs.StateRunning)
}
