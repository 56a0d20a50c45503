package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// racksOfSix returns a pool of 48 workers, six to a rack.
func racksOfSix() *cluster { return newClusterOf(8, 6) }

// startsWithin advances the time until a job has started, at most by limit.
func (c *cluster) startsWithin(id string, limit time.Duration) bool {
	for end := c.now.Add(limit); c.now.Before(end); {
		for _, start := range c.step().Starts {
			if start.Task.Job == id {
				return true
			}
		}
	}
	return false
}

func TestGangWiderThanEveryRackStartsOnIdleWorkers(t *testing.T) {
	for _, tasks := range []int{13, 14, 16, 24} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			is := is.New(t)
			c := racksOfSix()
			gang := gangStep(tasks, 4) // a rack holds twelve
			gang.EstimateMS = 117_907
			job := testJob(hexID(1), 1, gang)
			c.submit(job)
			is.True(c.startsWithin(job.ID, overdueAfter)) // 48 idle workers
		})
	}
}

func TestGangStartsElsewhereWhenEveryRackLacksAWorker(t *testing.T) {
	occupy := map[string]func(c *cluster, rack string){
		"unreachable": func(c *cluster, rack string) {
			for _, n := range c.engine.nodeOrder {
				if n.entry.Rack == rack {
					c.engine.WorkerUnreachable(n.entry.ID, time.Time{}, c.now.Add(-reconnectTimeout))
					return
				}
			}
		},
		"in use by a long task": func(c *cluster, rack string) {
			small := testStep(1, 8)
			small.RequiredLabel, small.EstimateMS = rack, 600_000
			c.submit(testJob("long-"+rack, 2, small))
		},
		"in use by a long-running task": func(c *cluster, rack string) {
			small := longRunningStep(1)
			small.RequiredLabel = rack
			c.submit(testJob("long-running-"+rack, 2, small))
		},
	}
	for name, occupyWorker := range occupy {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := racksOfSix()
			for rack := range 8 {
				occupyWorker(c, fmt.Sprintf("r1-%d", rack))
			}
			c.steps(2)
			gang := gangStep(12, 4) // a whole rack
			gang.EstimateMS = 60_000
			job := testJob(hexID(1), 1, gang)
			c.submit(job)
			is.True(c.startsWithin(job.ID, overdueAfter))
		})
	}
}

// Outside of one rack a gang takes three times as long.
func TestGangWaitsForARackThatIsFreedSoon(t *testing.T) {
	is := is.New(t)
	d := newLoadSim(2)
	for rack := range 2 {
		small := testStep(2, 8) // half of the rack
		small.RequiredLabel = fmt.Sprintf("r1-%d", rack)
		d.submitWork(testJob(hexID(rack+1), 1, small), time.Second+time.Duration(rack)*time.Minute)
	}
	d.tick()
	gang := testJob(hexID(9), 1, gangStep(8, 4))
	d.submitWork(gang, time.Second)
	for range 40 {
		if d.tick(); d.allRunning(gang.ID) {
			break
		}
	}
	is.Equal(len(d.racksOf(gang.ID)), 1)
	is.True(d.now.Sub(d.submittedAt[gang.ID]) < 1500*time.Millisecond)
}

func TestTasksBeyondTheirDataRackStartElsewhere(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	step := testStep(6, 8) // the rack holds four
	step.DataRack, step.EstimateMS = "r1-0", 60_000
	job := testJob(hexID(1), 1, step)
	c.submit(job)
	c.steps(4)
	is.Equal(len(c.racksOf(job.ID)), 2)
	for _, task := range c.engine.jobs[job.ID].allTasks() {
		is.True(task.run != nil)
	}
}
