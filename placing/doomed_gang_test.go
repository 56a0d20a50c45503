package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// placeGang places a gang of two whole workers, and returns it after its record was written.
func placeGang(c *cluster) string {
	gang := testJob(hexID(1), 1, gangStep(2, 8))
	c.submit(gang)
	c.now = c.now.Add(50 * time.Millisecond)
	c.engine.Decide(c.now)
	return gang.ID
}

// Guards against a gang whose members wait for one at a worker that is gone until their time is over.
func TestGangIsStoppedOnceAStartOfItIsNotAnswered(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	placeGang(c)
	c.engine.MarkRecordsDurable(c.now)
	starts := c.engine.Decide(c.now).Starts
	is.Equal(len(starts), 2)
	c.engine.StartAnswered(starts[0].Worker, starts[0].Task, 1, StartAccepted, c.now)
	c.engine.StartAnswered(starts[1].Worker, starts[1].Task, 1, StartUnknown, c.now)
	plan := c.engine.Decide(c.now)
	is.Equal(stopsOf(plan, starts[0].Task), 1)
	is.Equal(stopsOf(plan, starts[1].Task), 1)
}

// Guards against starts at a worker that announced that it leaves while the record of the placement was
// being written, for seconds where the store is overloaded.
func TestNothingStartsAtAWorkerThatLeavesBeforeThePlacementIsOnRecord(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	job := placeGang(c)
	entries := []WorkerEntry{}
	leaving := c.engine.jobs[job].allTasks()[0].run.node.entry.ID
	for _, id := range c.workerIDs {
		entry := c.engine.nodes[id].entry
		entry.Leaving = id == leaving
		entry.MinRemaining = 8 * time.Second
		entries = append(entries, entry)
	}
	c.engine.UpdateWorkers(entries, c.now)
	c.engine.MarkRecordsDurable(c.now)
	is.Equal(len(c.engine.Decide(c.now).Starts), 0)
	c.steps(8)
	is.True(c.allRunning(job)) // at other workers
}
