package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// cluster drives an engine with workers that do as they are told at once.
type cluster struct {
	engine *Engine
	now    time.Time
	ids    []string
	ends   map[string]int64
}

// newCluster has racks of four workers with eight accelerators each.
func newCluster(racks int) *cluster { return newClusterOf(racks, 4) }

func newClusterOf(racks, each int) *cluster {
	c := &cluster{engine: testEngine(1), now: testStart, ends: map[string]int64{}}
	c.engine.Load(nil, FormerHandedOver, c.now)
	var entries []WorkerEntry
	for index := range racks * each {
		id := fmt.Sprintf("w%02d", index)
		c.ids = append(c.ids, id)
		entries = append(entries, testWorker(id, fmt.Sprintf("r1-%d", index/each)))
	}
	c.engine.List(entries, c.now)
	for _, id := range c.ids {
		c.engine.Report(id, c.now, nil, nil, time.Time{}, c.now)
	}
	return c
}

func (c *cluster) submit(submission *jobs.Submission) {
	c.engine.Learn(&jobs.Job{Submission: submission}, c.now)
}

// step lets 50 ms pass: records are durable, starts are accepted, and stops end
// their runs with the next step.
func (c *cluster) step() Plan {
	c.now = c.now.Add(50 * time.Millisecond)
	plan := c.engine.Decide(c.now)
	c.engine.Recorded(c.now)
	started := c.engine.Decide(c.now)
	plan.Starts = append(plan.Starts, started.Starts...)
	plan.Stops = append(plan.Stops, started.Stops...)
	for _, start := range plan.Starts {
		c.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, c.now)
	}
	for _, stop := range plan.Stops {
		c.ends[stop.Worker]++
		end := EndedTask{Number: c.ends[stop.Worker], Task: stop.Task, Run: stop.Run, How: EndStopped}
		c.engine.Report(stop.Worker, c.now, c.running(stop), []EndedTask{end}, time.Time{}, c.now)
	}
	return plan
}

// running lists what the engine has at a worker but for a run that stops.
func (c *cluster) running(stop Stop) []RunningTask {
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

// racksOf returns the racks in which a job's tasks run.
func (c *cluster) racksOf(id string) map[string]bool {
	racks := map[string]bool{}
	for _, task := range c.engine.jobs[id].allTasks() {
		if task.run != nil {
			racks[task.run.node.entry.Rack] = true
		}
	}
	return racks
}

// fill gives every accelerator of some workers to work of low priority.
func (c *cluster) fill(workers int) {
	for index := range workers {
		c.submit(testJob(hexID(index+1), 2, testStep(8, 1)))
	}
	c.steps(3)
}

func (c *cluster) begun(id string) bool {
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

// The load: every accelerator taken by low-priority tasks when an urgent gang
// comes that needs half a rack. It begins in one rack, within the reclaim time,
// and no more is stopped than what stands in its place.
func TestUrgentGangTakesRoomInOneRack(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.fill(12)
	urgent := testJob(hexID(99), 0, gangStep(2, 8))
	c.submit(urgent)
	stopped := 0
	begin := c.now
	for !c.begun(urgent.ID) && c.now.Sub(begin) < testLimits.Reclaim {
		stopped += len(c.step().Stops)
	}
	is.True(c.begun(urgent.ID))
	is.Equal(len(c.racksOf(urgent.ID)), 1)
	is.Equal(stopped, 16)
}

// A burst of urgent gangs on full workers: first-come first-fit would have them
// wait for tasks of 4 s; here all that the racks hold begin at once.
func TestBurstOfUrgentGangsBegins(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.fill(12)
	for index := range 6 {
		c.submit(testJob(hexID(50+index), 0, gangStep(2, 8)))
	}
	c.steps(int(testLimits.Reclaim / (50 * time.Millisecond)))
	for index := range 6 {
		is.True(c.begun(hexID(50 + index)))
		is.Equal(len(c.racksOf(hexID(50+index))), 1)
	}
}

// While what stands in its place is being stopped, an urgent gang is not spread
// over racks, where it would be three times as slow.
func TestUrgentGangWaitsForItsRack(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	for index := range 8 {
		filler := testStep(7, 1)
		filler.PerWorker = 7
		filler.Need.MilliCores = 9000 // a second job does not fit beside: one accelerator stays free
		c.submit(testJob(hexID(index+1), 2, filler))
	}
	c.steps(3)
	urgent := testJob(hexID(99), 0, gangStep(6, 1))
	c.submit(urgent)
	c.engine.Decide(c.now.Add(50 * time.Millisecond)) // stops are sent, none has ended
	is.Equal(len(c.racksOf(urgent.ID)), 0)
	c.steps(40)
	is.Equal(len(c.racksOf(urgent.ID)), 1)
}

// No rack has room for an urgent gang, as urgent work that must not be stopped
// takes most of each. Once its patience is over the gang is spread, and begins
// as soon as what stood in its place has ended, though alike gangs wait too.
func TestSpreadUrgentGangTakesTheRoomMadeForIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	for index := range 3 {
		c.submit(testJob(hexID(index+1), 0, gangStep(3, 8)))
	}
	c.steps(3)
	for index := range 3 {
		c.submit(testJob(hexID(10+index), 2, testStep(8, 1)))
	}
	c.steps(3)
	spread := testJob(hexID(98), 0, gangStep(3, 8))
	c.submit(spread)
	c.submit(testJob(hexID(99), 0, gangStep(4, 8)))
	patience := time.Duration(urgentShare * float64(testLimits.Reclaim))
	c.steps(int(patience/(50*time.Millisecond)) + 4)
	is.True(c.begun(spread.ID))
	is.Equal(len(c.racksOf(spread.ID)), 3)
}

// Beyond its workspace's guarantee an urgent job does not cost more than it is
// worth; inside, it begins whatever it costs.
func TestLossIsBoundedBeyondTheGuarantee(t *testing.T) {
	for _, guarantee := range []int64{0, 8} {
		is := is.New(t)
		c := newCluster(1)
		c.engine.Configure(nil, map[string]int64{"manchester": guarantee}, nil)
		c.submit(testJob(hexID(1), 1, gangStep(4, 8)))
		c.steps(200) // ten seconds of work on every accelerator
		small := testJob(hexID(2), 0, testStep(1, 1))
		small.Steps[0].EstimateMS = 500
		c.submit(small)
		c.steps(10)
		is.Equal(c.begun(small.ID), guarantee > 0)
	}
}

// Urgent work of a workspace beyond its guarantee fills the workers. A job
// inside the guarantee of another begins within the reclaim time nevertheless,
// and no more of that work is stopped than stands in its place.
func TestGuaranteeIsTakenBackFromUrgentWorkBeyondItsOwn(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.engine.Configure(nil, map[string]int64{"manchester": 16, "nashua": 16}, nil)
	for index := range 8 {
		c.submit(testJob(hexID(index+1), 0, testStep(8, 1)))
	}
	c.steps(3)
	owed := testJob(hexID(99), 0, gangStep(2, 8))
	owed.Workspace = "nashua"
	c.submit(owed)
	begin, stopped := c.now, 0
	for !c.begun(owed.ID) && c.now.Sub(begin) < testLimits.Reclaim {
		stopped += len(c.step().Stops)
	}
	is.True(c.begun(owed.ID))
	is.Equal(stopped, 16)
	more := testJob(hexID(100), 0, gangStep(2, 8)) // beyond: it waits
	c.submit(more)
	c.steps(int(testLimits.Reclaim / (50 * time.Millisecond)))
	is.True(!c.begun(more.ID))
}

// A short urgent job is soon past three times its objective. It still has to
// begin within the reclaim time, so it is not left behind for that.
func TestShortUrgentJobIsNotGivenUpWithinTheReclaimTime(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.fill(4)
	short := testJob(hexID(9), 0, gangStep(1, 8))
	short.Steps[0].EstimateMS = 100
	short.Queue.TargetMS = 100
	c.submit(short)
	c.now = c.now.Add(1700 * time.Millisecond) // no decision for as long, as in a take-over
	c.steps(4)
	is.True(c.begun(short.ID))
}

// A worker that fails rests, longer each time, and is forgiven by a run that is
// done.
func TestFailingWorkersRest(t *testing.T) {
	is := is.New(t)
	var h health
	h.failed(testStart)
	is.Equal(h.until.Sub(testStart), restFirst)
	h.failed(testStart)
	is.Equal(h.until.Sub(testStart), 2*restFirst)
	for range 9 {
		h.failed(testStart)
	}
	is.Equal(h.until.Sub(testStart), restMost)
	h.good()
	is.True(h.until.IsZero())
}
