package placing

import (
	"testing"

	"github.com/matryer/is"
)

// Starts of guaranteed work overtake others on a full link only if the order says so.
func TestStartsCarryThePriorityOfTheirJobs(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.engine.Configure(nil, map[string]int64{"manchester": 8}, nil)
	bulk, guaranteed, beyond := testJob(hexID(1), 1, testStep(1, 1)), testJob(hexID(2), 0, testStep(1, 8)), testJob(hexID(3), 0, testStep(1, 8))
	beyond.Workspace = "leeds"
	c.submit(bulk)
	c.submit(guaranteed)
	c.submit(beyond)
	priorities := map[string]StartPriority{}
	for range 4 {
		for _, start := range c.step().Starts {
			priorities[start.Task.Job] = start.Priority
		}
	}
	is.Equal(priorities, map[string]StartPriority{bulk.ID: StartOrdinary, guaranteed.ID: StartGuaranteed, beyond.ID: StartUrgent})
}
