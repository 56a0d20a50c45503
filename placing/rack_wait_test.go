package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// racksOfSix is a pool of 48 workers, six to a rack.
func racksOfSix() *cluster { return newClusterOf(8, 6) }

// beginsWithin lets time pass until a job has begun, at most for limit.
func (c *cluster) beginsWithin(id string, limit time.Duration) bool {
	for end := c.now.Add(limit); c.now.Before(end); {
		for _, start := range c.step().Starts {
			if start.Task.Job == id {
				return true
			}
		}
	}
	return false
}

func TestGangWiderThanEveryRackBeginsBesideIdleWorkers(t *testing.T) {
	for _, tasks := range []int{13, 14, 16, 24} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			is := is.New(t)
			c := racksOfSix()
			gang := gangStep(tasks, 4) // a rack holds twelve
			gang.EstimateMS = 117_907
			held := testJob(hexID(1), 1, gang)
			c.submit(held)
			is.True(c.beginsWithin(held.ID, overdueAfter)) // 48 idle workers
		})
	}
}
