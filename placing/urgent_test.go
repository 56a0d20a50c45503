package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// cluster drives an engine with workers that carry out orders at once.
type cluster struct {
	engine     *Engine
	now        time.Time
	workerIDs  []string
	endNumbers map[string]int64
}

// newCluster returns a cluster with racks of four workers with eight accelerators each.
func newCluster(racks int) *cluster { return newClusterOf(racks, 4) }

func newClusterOf(racks, perRack int) *cluster {
	c := &cluster{engine: testEngine(1), now: testStart, endNumbers: map[string]int64{}}
	c.engine.LoadJobs(nil, FormerLeaderReleased, c.now)
	var entries []WorkerEntry
	for i := range racks * perRack {
		id := fmt.Sprintf("w%02d", i)
		c.workerIDs = append(c.workerIDs, id)
		entries = append(entries, testWorker(id, fmt.Sprintf("r1-%d", i/perRack)))
	}
	c.engine.UpdateWorkers(entries, c.now)
	for _, id := range c.workerIDs {
		c.engine.Report(id, c.now, nil, nil, time.Time{}, c.now)
	}
	return c
}

func (c *cluster) submit(submission *jobs.Submission) {
	c.engine.ApplyJob(&jobs.Job{Submission: submission}, c.now)
}

// step advances time by 50 ms: records are durable, starts are accepted, and stopped runs are
// reported as ended, which the next step sees.
func (c *cluster) step() Plan {
	c.now = c.now.Add(50 * time.Millisecond)
	plan := c.engine.Decide(c.now)
	c.engine.MarkRecordsDurable(c.now)
	started := c.engine.Decide(c.now)
	plan.Starts = append(plan.Starts, started.Starts...)
	plan.Stops = append(plan.Stops, started.Stops...)
	for _, start := range plan.Starts {
		c.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, c.now)
	}
	for _, stop := range plan.Stops {
		c.endNumbers[stop.Worker]++
		end := EndedTask{Number: c.endNumbers[stop.Worker], Task: stop.Task, Run: stop.Run, Kind: EndStopped}
		c.engine.Report(stop.Worker, c.now, c.runningTasks(stop), []EndedTask{end}, time.Time{}, c.now)
	}
	return plan
}

// runningTasks returns the runs that the engine has on a worker, without the one that is being
// stopped.
func (c *cluster) runningTasks(stop Stop) []RunningTask {
	var rows []RunningTask
	for _, run := range c.engine.nodes[stop.Worker].runs {
		if run.phase != phasePlanned && (run.task.key != stop.Task || run.number != stop.Run) {
			rows = append(rows, RunningTask{Task: run.task.key, Run: run.number, Percent: 1})
		}
	}
	return rows
}

func (c *cluster) steps(count int) {
	for range count {
		c.step()
	}
}

// racksOf returns the racks in which tasks of a job are placed.
func (c *cluster) racksOf(id string) map[string]bool {
	racks := map[string]bool{}
	for _, task := range c.engine.jobs[id].allTasks() {
		if task.run != nil {
			racks[task.run.node.entry.Rack] = true
		}
	}
	return racks
}

// fillWorkers fills every accelerator of some workers with low-priority tasks.
func (c *cluster) fillWorkers(workers int) {
	for i := range workers {
		c.submit(testJob(hexID(i+1), 2, testStep(8, 1)))
	}
	c.steps(3)
}

func (c *cluster) allRunning(id string) bool {
	for _, task := range c.engine.jobs[id].allTasks() {
		if task.run == nil || task.run.phase != phaseRunning {
			return false
		}
	}
	return true
}

func gangStep(tasks int, accelerators int64) jobs.Step {
	step := testStep(tasks, accelerators)
	step.Gang, step.OneRack = true, true
	return step
}

// Low-priority tasks use every accelerator when an urgent gang that needs half a rack arrives.
// It starts in one rack within the reclaim time, and only the tasks in its place are stopped.
func TestUrgentGangTakesRoomInOneRack(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.fillWorkers(12)
	urgent := testJob(hexID(99), 0, gangStep(2, 8))
	c.submit(urgent)
	stopped := 0
	start := c.now
	for !c.allRunning(urgent.ID) && c.now.Sub(start) < testLimits.ReclaimTimeout {
		stopped += len(c.step().Stops)
	}
	is.True(c.allRunning(urgent.ID))
	is.Equal(len(c.racksOf(urgent.ID)), 1)
	is.Equal(stopped, 16)
}

// A burst of urgent gangs arrives at full workers. First-come first-fit would make them wait
// for tasks of 4 s; all gangs that fit into the racks have to start at once.
func TestBurstOfUrgentGangsStarts(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.fillWorkers(12)
	for i := range 6 {
		c.submit(testJob(hexID(50+i), 0, gangStep(2, 8)))
	}
	c.steps(int(testLimits.ReclaimTimeout / (50 * time.Millisecond)))
	for i := range 6 {
		is.True(c.allRunning(hexID(50 + i)))
		is.Equal(len(c.racksOf(hexID(50+i))), 1)
	}
}

// An urgent gang is not spread over racks, where it would be three times as slow, while the
// tasks in its place are being stopped.
func TestUrgentGangWaitsForItsRack(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	for i := range 8 {
		filler := testStep(7, 1)
		filler.MaxPerWorker = 7
		filler.Need.MilliCores = 9000 // no second job fits on the worker, so one accelerator stays free
		c.submit(testJob(hexID(i+1), 2, filler))
	}
	c.steps(3)
	urgent := testJob(hexID(99), 0, gangStep(6, 1))
	c.submit(urgent)
	c.engine.Decide(c.now.Add(50 * time.Millisecond)) // stops are sent, no run has ended
	is.Equal(len(c.racksOf(urgent.ID)), 0)
	c.steps(40)
	is.Equal(len(c.racksOf(urgent.ID)), 1)
}

// No rack has capacity for an urgent gang, because urgent work that must not be stopped takes
// most of each. After its rack delay the gang is spread and starts as soon as the tasks in its
// place have ended, though similar gangs wait too.
func TestSpreadUrgentGangTakesTheRoomMadeForIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	for i := range 3 {
		c.submit(testJob(hexID(i+1), 0, gangStep(3, 8)))
	}
	c.steps(3)
	for i := range 3 {
		c.submit(testJob(hexID(10+i), 2, testStep(8, 1)))
	}
	c.steps(3)
	spread := testJob(hexID(98), 0, gangStep(3, 8))
	c.submit(spread)
	c.submit(testJob(hexID(99), 0, gangStep(4, 8)))
	rackDelay := time.Duration(urgentDelayShare * float64(testLimits.ReclaimTimeout))
	c.steps(int(rackDelay/(50*time.Millisecond)) + 4)
	is.True(c.allRunning(spread.ID))
	is.Equal(len(c.racksOf(spread.ID)), 3)
}

// Beyond the guarantee of its workspace an urgent job must not cost more than it is worth;
// within it, the job starts at any cost.
func TestLossIsBoundedBeyondTheGuarantee(t *testing.T) {
	for _, guarantee := range []int64{0, 8} {
		is := is.New(t)
		c := newCluster(1)
		c.engine.Configure(nil, map[string]int64{"manchester": guarantee}, nil)
		c.submit(testJob(hexID(1), 1, gangStep(4, 8)))
		c.steps(200) // ten seconds of work on each accelerator
		small := testJob(hexID(2), 0, testStep(1, 1))
		small.Steps[0].EstimateMS = 500
		c.submit(small)
		c.steps(10)
		is.Equal(c.allRunning(small.ID), guarantee > 0)
	}
}

// Urgent work of a workspace beyond its guarantee fills the workers. A job within the
// guarantee of another workspace still starts within the reclaim time, and only the tasks in
// its place are stopped.
func TestGuaranteeIsTakenBackFromUrgentWorkBeyondItsOwn(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.engine.Configure(nil, map[string]int64{"manchester": 16, "nashua": 16}, nil)
	for i := range 8 {
		c.submit(testJob(hexID(i+1), 0, testStep(8, 1)))
	}
	c.steps(3)
	guaranteed := testJob(hexID(99), 0, gangStep(2, 8))
	guaranteed.Workspace = "nashua"
	c.submit(guaranteed)
	start, stopped := c.now, 0
	for !c.allRunning(guaranteed.ID) && c.now.Sub(start) < testLimits.ReclaimTimeout {
		stopped += len(c.step().Stops)
	}
	is.True(c.allRunning(guaranteed.ID))
	is.Equal(stopped, 16)
	second := testJob(hexID(100), 0, gangStep(2, 8)) // beyond the guarantee, so it waits
	c.submit(second)
	c.steps(int(testLimits.ReclaimTimeout / (50 * time.Millisecond)))
	is.True(!c.allRunning(second.ID))
}

// A short urgent job soon exceeds three times its objective. It must not be given up for that,
// because it still has to start within the reclaim time.
func TestShortUrgentJobIsNotGivenUpWithinTheReclaimTime(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.fillWorkers(4)
	short := testJob(hexID(9), 0, gangStep(1, 8))
	short.Steps[0].EstimateMS = 100
	short.Queue.TargetMS = 100
	c.submit(short)
	c.now = c.now.Add(1700 * time.Millisecond) // no pass for this long, as during a leader change
	c.steps(4)
	is.True(c.allRunning(short.ID))
}

// The backoff of a failing worker grows with each failure and ends with a successful run.
func TestFailingWorkersBackOff(t *testing.T) {
	is := is.New(t)
	var h health
	h.markFailed(testStart)
	is.Equal(h.backoffUntil.Sub(testStart), minWorkerBackoff)
	h.markFailed(testStart)
	is.Equal(h.backoffUntil.Sub(testStart), 2*minWorkerBackoff)
	for range 9 {
		h.markFailed(testStart)
	}
	is.Equal(h.backoffUntil.Sub(testStart), maxWorkerBackoff)
	h.reset()
	is.True(h.backoffUntil.IsZero())
}
