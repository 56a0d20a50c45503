package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// reportPercent reports the same progress for all runs of all workers.
func (c *cluster) reportPercent(percent int) {
	for _, id := range c.workerIDs {
		var rows []RunningTask
		for _, run := range c.engine.nodes[id].runs {
			rows = append(rows, RunningTask{Task: run.task.key, Run: run.number, Percent: percent})
		}
		c.engine.Report(id, c.now, rows, nil, time.Time{}, c.now)
	}
}

// Workers count work at the speed of a healthy one, so a run on a slow worker reports all
// of its work as done seconds before it ends. It is not stopped; a run that makes no
// progress before that is.
func TestOverdueRunIsNotStoppedAsStalled(t *testing.T) {
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
