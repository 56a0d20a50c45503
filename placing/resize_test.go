package placing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// resize has a worker offer another number of accelerators from now on.
func (c *cluster) resize(worker string, accelerators int64) {
	var entries []WorkerEntry
	for _, id := range c.ids {
		entry := c.engine.nodes[id].entry
		if id == worker {
			entry.Capacity.Accelerators = accelerators
		}
		entries = append(entries, entry)
	}
	c.engine.List(entries, c.now)
}

// oneWorker is a cluster of one worker with eight accelerators.
func oneWorker() *cluster {
	c := newCluster(1)
	c.ids = c.ids[:1]
	c.resize("w00", 8)
	return c
}

// A worker may offer less for some time, below what runs there. What runs goes on, and
// nothing new comes until there is room again.
func TestShrunkWorkerGetsNothingBeyondItsRoom(t *testing.T) {
	is := is.New(t)
	c := oneWorker()
	c.submit(testJob(hexID(1), 1, testStep(5, 1)))
	c.steps(2)
	c.resize("w00", 4)
	c.submit(testJob(hexID(2), 1, testStep(1, 1)))
	c.submit(testJob(hexID(3), 2, testStep(1, 1)))
	c.steps(2)
	is.True(c.begun(hexID(1)))
	is.Equal(c.waiting(hexID(2)), 1)
	is.Equal(c.waiting(hexID(3)), 1)
	c.resize("w00", 8)
	c.steps(2)
	is.Equal(c.waiting(hexID(2)), 0)
	is.Equal(c.waiting(hexID(3)), 0)
}

// A placement waits for its record before its start is ordered. Meanwhile the worker may
// have shrunk, and one that does not guard its room would take the start all the same.
func TestStartIsNotOrderedOntoAWorkerThatShrankMeanwhile(t *testing.T) {
	for name, step := range map[string]jobs.Step{"alone": testStep(2, 4), "gang": gangStep(2, 4)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(1)
			c.submit(testJob(hexID(1), 1, step))
			c.engine.Decide(c.now) // placed, the record is on its way
			worker := c.engine.jobs[hexID(1)].allTasks()[0].run.node.entry.ID
			c.resize(worker, 4)
			c.engine.Recorded(c.now)
			on := map[string]int64{}
			for range 4 {
				for _, start := range c.step().Starts {
					on[start.Worker] += 4
				}
			}
			is.True(on[worker] <= 4)
			is.True(c.begun(hexID(1)))
		})
	}
}

// Room that was set aside for urgent work is not used where it is gone.
func TestClaimOnAShrunkWorkerIsNotUsed(t *testing.T) {
	is := is.New(t)
	c := oneWorker()
	c.submit(testJob(hexID(1), 2, testStep(8, 1)))
	c.steps(2)
	c.submit(testJob(hexID(2), 0, testStep(1, 4)))
	c.step() // others are stopped for it
	c.resize("w00", 3)
	c.steps(8)
	is.Equal(c.waiting(hexID(2)), 1)
	c.resize("w00", 8)
	c.steps(8)
	is.Equal(c.waiting(hexID(2)), 0)
}

// The list of workers may be out of reach while progress can be written. Workers that do
// not guard their room get nothing new then, as they may have shrunk; those that do go on.
func TestUnguardedWorkerGetsNothingOnAnOldList(t *testing.T) {
	for name, unguarded := range map[string]bool{"guarded": false, "unguarded": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(1)
			c.engine.Configure(nil, nil, map[string]bool{"pool": unguarded})
			c.engine.ListSeen(c.now)
			c.submit(testJob(hexID(1), 1, testStep(1, 1)))
			c.steps(2)
			is.True(c.begun(hexID(1)))
			c.now = c.now.Add(listTrust)
			c.submit(testJob(hexID(2), 1, testStep(1, 1)))
			c.steps(2)
			is.Equal(c.begun(hexID(2)), !unguarded)
			c.engine.ListSeen(c.now)
			c.steps(2)
			is.True(c.begun(hexID(2)))
		})
	}
}
