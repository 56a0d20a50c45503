package placing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// resize changes the number of accelerators that a worker offers.
func (c *cluster) resize(worker string, accelerators int64) {
	var entries []WorkerEntry
	for _, id := range c.workerIDs {
		entry := c.engine.nodes[id].entry
		if id == worker {
			entry.Capacity.Accelerators = accelerators
		}
		entries = append(entries, entry)
	}
	c.engine.UpdateWorkers(entries, c.now)
}

// oneWorker returns a cluster of one worker with eight accelerators.
func oneWorker() *cluster {
	c := newCluster(1)
	c.workerIDs = c.workerIDs[:1]
	c.resize("w00", 8)
	return c
}

// A worker may shrink below what runs on it. Its runs go on, and nothing new is placed until it
// has free capacity again.
func TestShrunkWorkerGetsNothingBeyondItsCapacity(t *testing.T) {
	is := is.New(t)
	c := oneWorker()
	c.submit(testJob(hexID(1), 1, testStep(5, 1)))
	c.steps(2)
	c.resize("w00", 4)
	c.submit(testJob(hexID(2), 1, testStep(1, 1)))
	c.submit(testJob(hexID(3), 2, testStep(1, 1)))
	c.steps(2)
	is.True(c.allRunning(hexID(1)))
	is.Equal(c.countWaiting(hexID(2)), 1)
	is.Equal(c.countWaiting(hexID(3)), 1)
	c.resize("w00", 8)
	c.steps(2)
	is.Equal(c.countWaiting(hexID(2)), 0)
	is.Equal(c.countWaiting(hexID(3)), 0)
}

// The start is sent only after its placement is recorded. Meanwhile the worker may have shrunk,
// and one that does not check its capacity would start the task all the same.
func TestPlacedStartIsNotSentToAWorkerThatShrank(t *testing.T) {
	for name, step := range map[string]jobs.Step{"alone": testStep(2, 4), "gang": gangStep(2, 4)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(1)
			c.submit(testJob(hexID(1), 1, step))
			c.engine.Decide(c.now) // placed, the record is being appended
			worker := c.engine.jobs[hexID(1)].allTasks()[0].run.node.entry.ID
			c.resize(worker, 4)
			c.engine.MarkRecordsDurable(c.now)
			acceleratorsOn := map[string]int64{}
			for range 4 {
				for _, start := range c.step().Starts {
					acceleratorsOn[start.Worker] += 4
				}
			}
			is.True(acceleratorsOn[worker] <= 4)
			is.True(c.allRunning(hexID(1)))
		})
	}
}

// Capacity reserved for urgent work is not used if the worker no longer offers it.
func TestReservationOnShrunkWorkerIsNotUsed(t *testing.T) {
	is := is.New(t)
	c := oneWorker()
	c.submit(testJob(hexID(1), 2, testStep(8, 1)))
	c.steps(2)
	c.submit(testJob(hexID(2), 0, testStep(1, 4)))
	c.step() // others are stopped for it
	c.resize("w00", 3)
	c.steps(8)
	is.Equal(c.countWaiting(hexID(2)), 1)
	c.resize("w00", 8)
	c.steps(8)
	is.Equal(c.countWaiting(hexID(2)), 0)
}

// The list of workers may be unreachable while progress can be written. Workers that do not
// check their capacity then get nothing new, as they may have shrunk; the others do.
func TestUncheckedWorkerGetsNothingWhenTheListIsOld(t *testing.T) {
	for name, unchecked := range map[string]bool{"checked": false, "unchecked": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(1)
			c.engine.Configure(nil, nil, map[string]bool{"pool": unchecked})
			c.engine.SetListReadAt(c.now)
			c.submit(testJob(hexID(1), 1, testStep(1, 1)))
			c.steps(2)
			is.True(c.allRunning(hexID(1)))
			c.now = c.now.Add(maxListAge)
			c.submit(testJob(hexID(2), 1, testStep(1, 1)))
			c.steps(2)
			is.Equal(c.allRunning(hexID(2)), !unchecked)
			c.engine.SetListReadAt(c.now)
			c.steps(2)
			is.True(c.allRunning(hexID(2)))
		})
	}
}
