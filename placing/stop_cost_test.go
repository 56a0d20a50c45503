package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopsForUrgentWorker submits urgent work that needs one whole worker, and returns the runs that are
// stopped for it, by job.
func (c *cluster) stopsForUrgentWorker() map[string]int {
	c.submit(testJob(hexID(99), 0, gangStep(1, 8)))
	stopped := map[string]int{}
	for range 4 {
		for _, stop := range c.step().Stops {
			stopped[stop.Task.Job]++
		}
	}
	return stopped
}

// A stop of a gang that saves its work loses little of it, but its workers serve nobody meanwhile. A
// single task in its place is stopped, though more of its work is lost.
func TestWideGangThatSavesIsNotFreeToStop(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	wide := wideGang(7, 8)
	wide.Checkpoints = true
	c.submit(testJob(hexID(1), 1, wide))
	c.steps(3)
	c.submit(testJob(hexID(2), 1, testStep(1, 8)))
	c.steps(50)
	is.Equal(c.stopsForUrgentWorker(), map[string]int{hexID(2): 1})
}

// The same work is not stopped again and again: work that has given way before is dearer to stop
// than work that has lost a little more.
func TestWorkThatGaveWayIsDearerToStop(t *testing.T) {
	for _, earlierStops := range []int{0, 1} {
		is := is.New(t)
		c := newClusterOf(1, 2)
		c.submit(testJob(hexID(1), 1, testStep(1, 8)))
		c.steps(6)
		c.submit(testJob(hexID(2), 1, testStep(1, 8)))
		c.steps(10)
		c.engine.jobs[hexID(2)].allTasks()[0].roomStops = earlierStops
		victim := hexID(2)
		if earlierStops > 0 {
			victim = hexID(1)
		}
		is.Equal(c.stopsForUrgentWorker(), map[string]int{victim: 1})
	}
}

// A stop is counted at the task or gang that gave way, once however many members it has.
func TestStopForRoomIsCountedOnce(t *testing.T) {
	is := is.New(t)
	c := newClusterOf(1, 2)
	c.submit(testJob(hexID(1), 1, gangStep(2, 8)))
	c.steps(4)
	is.Equal(c.stopsForUrgentWorker(), map[string]int{hexID(1): 2})
	is.Equal(c.engine.jobs[hexID(1)].allTasks()[0].roomStops, 1)
}

// The cost of a stop follows the settings: the work between two checkpoints, the time to resume and
// the time of the stop.
func TestCostOfAStopFollowsTheSettings(t *testing.T) {
	for _, example := range []struct {
		name        string
		checkpoints bool
		gang        bool
		seconds     float64 // for each core equivalent, at two seconds of work
	}{
		{"saves nothing", false, false, 2 + 0.9},
		{"saves at the stop", true, false, 0.1 + 0.9},
		{"gang ends with its first member", true, true, 0.1 + 0.5 + 0.9},
	} {
		t.Run(example.name, func(t *testing.T) {
			is := is.New(t)
			c := newClusterOf(1, 1)
			step := testStep(1, 8)
			step.Checkpoints, step.Gang = example.checkpoints, example.gang
			c.submit(testJob(hexID(1), 1, step))
			c.steps(3)
			run := c.engine.jobs[hexID(1)].allTasks()[0].run
			cost := c.engine.stopCost(run.stoppedTogether(), run.startedAt.Add(2*time.Second))
			is.Equal(int(1000*cost), int(1000*example.seconds*coreEquivalents(step.Need)))
		})
	}
}
