package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A start that every worker refuses does not count against any worker. Without a backoff the
// task is placed, recorded and ordered again every 50 ms here, and as often as the log takes
// appends in a real deployment.
func TestRefusedStartsBackOff(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.submit(testJob(hexID(1), 1, testStep(1, 1)))
	refused := 0
	for range 200 { // 10 s
		for _, start := range c.stepRefusingStarts(hexID(1)) {
			is.True(start.Task.Job == hexID(1))
			refused++
		}
	}
	is.True(refused >= 5)  // it is still retried
	is.True(refused <= 20) // twice a second on average

	c.steps(50)
	is.True(c.allRunning(hexID(1))) // and is accepted within the maximum backoff
}

// A long-running task that fails at its start is restarted, but with a backoff and not at once
// each time.
func TestLongRunningTaskThatFailsAtStartBacksOff(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.submit(testJob(hexID(1), 1, longRunningStep(1)))
	starts := 0
	for range 200 {
		for _, start := range c.step().Starts {
			starts++
			c.endNumbers[start.Worker]++
			end := EndedTask{Number: c.endNumbers[start.Worker], Task: start.Task, Run: start.Run, Kind: EndFailed}
			c.now = c.now.Add(10 * time.Millisecond)
			c.engine.Report(start.Worker, c.now, nil, []EndedTask{end}, time.Time{}, c.now)
		}
	}
	is.True(starts >= 5)
	is.True(starts <= 20)
}

// stepRefusingStarts makes a step in which all starts of a job are refused.
func (c *cluster) stepRefusingStarts(id string) []Start {
	c.now = c.now.Add(50 * time.Millisecond)
	c.engine.Decide(c.now)
	c.engine.MarkRecordsDurable(c.now)
	plan := c.engine.Decide(c.now)
	for _, start := range plan.Starts {
		result := StartAccepted
		if start.Task.Job == id {
			result = StartRefused
		}
		c.engine.StartAnswered(start.Worker, start.Task, start.Run, result, c.now)
	}
	return plan.Starts
}
