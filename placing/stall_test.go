package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// reportWorker reports all runs that the engine has on a worker, with a percentage by job.
func (c *cluster) reportWorker(worker string, percent map[string]int) {
	var rows []RunningTask
	for _, run := range c.engine.nodes[worker].runs {
		if run.phase != phasePlanned {
			rows = append(rows, RunningTask{Task: run.task.key, Run: run.number, Percent: percent[run.task.key.Job]})
		}
	}
	c.engine.Report(worker, c.now, rows, nil, time.Time{}, c.now)
}

func (c *cluster) reportAll(percent map[string]int) {
	for _, id := range c.workerIDs {
		c.reportWorker(id, percent)
	}
}

// stoppedWithin sends reports two seconds apart, as workers do, and returns the time until the
// first run of a job was stopped.
func (c *cluster) stoppedWithin(limit time.Duration, job string, percent func(passed time.Duration) map[string]int) (time.Duration, bool) {
	start := c.now
	for c.now.Sub(start) < limit {
		if c.now.Sub(start)%(2*time.Second) == 0 {
			c.reportAll(percent(c.now.Sub(start)))
		}
		for _, stop := range c.step().Stops {
			if stop.Task.Job == job {
				return c.now.Sub(start), true
			}
		}
	}
	return 0, false
}

// If no run on a worker makes progress, two reports are enough to start its runs elsewhere,
// and the worker gets nothing new. An urgent job of 2.5 s has 1.5 s of slack, so a delay of
// 5.5 s would miss its target.
func TestRunThatStandsStillIsNoticedByTwoReports(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.submit(testJob(hexID(1), 1, testStep(1, 8)))
	c.steps(2)
	after, stopped := c.stoppedWithin(10*time.Second, hexID(1), func(time.Duration) map[string]int { return nil })
	is.True(stopped)
	is.True(after <= 2200*time.Millisecond)
}

// A run on a slow worker is not stopped: eight times slower than estimated, with an estimate
// of 10 s that is three times too short, it shows no progress between some reports.
func TestVerySlowRunGoesOn(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	slow := testJob(hexID(1), 1, testStep(1, 8))
	slow.Steps[0].EstimateMS = 10_000
	c.submit(slow)
	c.steps(2)
	slowRunTime := 8 * 3 * 10 * time.Second
	_, stopped := c.stoppedWithin(time.Minute, hexID(1), func(passed time.Duration) map[string]int {
		return map[string]int{hexID(1): int(100 * passed / slowRunTime)}
	})
	is.True(!stopped)
	for _, node := range c.engine.nodeOrder {
		is.True(!node.health.onProbation)
	}
}

// Members of a gang wait for each other. Until all of them run, none counts as stalled.
func TestGangThatIsNotWholeIsNotHeldToStandStill(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.submit(testJob(hexID(1), 1, gangStep(2, 8)))
	c.steps(2)
	members := c.engine.jobs[hexID(1)].allTasks()
	members[1].run.phase = phasePlanned // not sent to its worker yet
	members[1].run.seen = false
	_, stopped := c.stoppedWithin(3*time.Second, hexID(1), func(passed time.Duration) map[string]int {
		return map[string]int{hexID(1): 0}
	})
	is.True(!stopped)
}

// A gang stalls as a whole. A worker on which other work progresses is not blamed for it; the
// other worker is.
func TestWorkerThatProvesItselfIsNotBlamedForItsGang(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	gang := gangStep(2, 4)
	gang.MaxPerWorker = 1
	c.submit(testJob(hexID(1), 1, gang))
	c.steps(2)
	c.submit(testJob(hexID(2), 2, testStep(1, 4)))
	c.steps(2)
	shared := c.engine.jobs[hexID(2)].allTasks()[0].run.node
	_, stopped := c.stoppedWithin(10*time.Second, hexID(1), func(passed time.Duration) map[string]int {
		return map[string]int{hexID(2): int(passed / time.Second)}
	})
	is.True(stopped)
	is.True(!shared.health.onProbation)
	blamed := 0
	for _, node := range c.engine.nodeOrder {
		if node.health.onProbation {
			blamed++
		}
	}
	is.Equal(blamed, 1)
}

// Stopping a stalled run discards its work, so it gets as long to recover as it had worked.
// Its worker gets nothing new meanwhile. When stopped at once, gangs on days with hanging
// workers lost 0.100 of the value instead of 0.067.
func TestWorkThatWasDoneIsWaitedFor(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.submit(testJob(hexID(1), 1, testStep(1, 4)))
	c.steps(2)
	node := c.engine.jobs[hexID(1)].allTasks()[0].run.node
	after, stopped := c.stoppedWithin(20*time.Second, hexID(1), func(passed time.Duration) map[string]int {
		if passed == 8*time.Second {
			is.True(!node.schedulable(c.now.Add(-50 * time.Millisecond)))
		}
		return map[string]int{hexID(1): int(min(passed, 4*time.Second) / (100 * time.Millisecond))}
	})
	is.True(stopped)
	is.True(after > 7*time.Second)
	is.True(after < 9*time.Second)
}

// A program may report progress in jumps or not at all. If every run without progress were
// stopped as stalled after the same few seconds, such tasks would move from worker to worker
// without end (`run_stopped` with `no progress`, `run_over` with `ended stopped`, `placed`).
func TestTasksThatShowNoProgressAreDoneAllTheSame(t *testing.T) {
	steps := map[string]jobs.Step{"alone": testStep(1, 8), "gang": gangStep(2, 8)}
	for _, c := range []struct {
		percent int
		runTime time.Duration
	}{
		{0, 20 * time.Second},
		{50, 20 * time.Second},
		{100, 100 * time.Second}, // progress from an estimate that is twelve times too short
	} {
		for name, step := range steps {
			t.Run(fmt.Sprintf("%s at %d", name, c.percent), func(t *testing.T) {
				is := is.New(t)
				cluster := newCluster(1)
				step.EstimateMS = 8000
				cluster.submit(testJob(hexID(1), 1, step))
				starts, longest := cluster.longestRun(hexID(1), 5*time.Minute, c.percent)
				is.True(longest >= c.runTime)
				is.True(starts <= 10*step.Tasks)
			})
		}
	}
}

// longestRun reports the same progress for some time, and returns the number of starts of a
// job's tasks and the duration of their longest run.
func (c *cluster) longestRun(job string, limit time.Duration, percent int) (starts int, longest time.Duration) {
	for start := c.now; c.now.Sub(start) < limit; {
		if c.now.Sub(start)%time.Second == 0 {
			c.reportAll(map[string]int{job: percent})
		}
		starts += len(c.step().Starts)
		for _, task := range c.engine.jobs[job].allTasks() {
			if run := task.run; run != nil && run.phase == phaseRunning {
				longest = max(longest, c.now.Sub(run.startedAt))
			}
		}
	}
	return starts, longest
}
