package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// reportPercent has a worker say how far its runs are.
func (c *cluster) reportPercent(percent int) {
	for _, id := range c.workerIDs {
		var rows []RunningTask
		for _, run := range c.engine.nodes[id].runs {
			rows = append(rows, RunningTask{Task: run.task.key, Run: run.number, Percent: percent})
		}
		c.engine.Report(id, c.now, rows, nil, time.Time{}, c.now)
	}
}

// Workers count work at the speed of a sound one, so a slow worker's run stands
// at all of its work for seconds before it ends. One that stands still before
// that is stopped.
func TestSlowRunIsNotHeldToStandStill(t *testing.T) {
	for _, c := range []struct {
		percent int
		stops   int
	}{{100, 0}, {40, 1}} {
		is := is.New(t)
		cluster := newCluster(1)
		cluster.submit(testJob(hexID(1), 1, testStep(1, 1)))
		cluster.steps(2)
		is.True(cluster.allRunning(hexID(1)))
		cluster.reportPercent(c.percent)
		stops := 0
		for range 8 {
			cluster.now = cluster.now.Add(time.Second)
			cluster.reportPercent(c.percent)
			stops += len(cluster.step().Stops)
		}
		is.Equal(min(1, stops), c.stops)
	}
}
