package placing

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a gang that waits for capacity held by starts that wait to be sent over a full link.
func TestStartsThatCannotBeSentSoonHoldNoCapacity(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.engine.SetStartLimit(10)
	bulk := testJob(hexID(1), 2, testStep(90, 1))
	c.submit(bulk)
	c.now = c.now.Add(testLimits.ReclaimTimeout)
	c.engine.Decide(c.now)
	is.Equal(len(c.engine.pendingRuns)+len(c.engine.recordingRuns), 10)
	c.engine.SetStartLimit(0)
	gang, urgent := testJob(hexID(2), 1, gangStep(3, 8)), testJob(hexID(3), 0, gangStep(2, 8))
	c.submit(gang)
	c.submit(urgent)
	c.steps(4)
	is.True(c.allRunning(urgent.ID)) // urgent work is not limited
	is.Equal(len(c.racksOf(gang.ID)), 0)
	c.engine.SetStartLimit(1)
	c.steps(4)
	is.True(c.allRunning(gang.ID)) // a gang is placed as a whole
	c.engine.SetStartLimit(UnlimitedStarts)
	c.steps(4)
	running := 0
	for _, task := range c.engine.jobs[bulk.ID].allTasks() {
		if task.run != nil {
			running++
		}
	}
	is.Equal(running, 96-3*8-2*8) // all that is left
}
