package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A start that every worker refuses says nothing of a worker, so nothing kept its task
// from being placed again at once: a placement, a record and an order every 50 ms, and
// as often as the log takes appends on a real site.
func TestRefusedStartsAreTriedLessAndLessOften(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.submit(testJob(hexID(1), 1, testStep(1, 1)))
	refused := 0
	for range 200 { // 10 s
		for _, start := range c.stepRefusing(hexID(1)) {
			is.True(start.Task.Job == hexID(1))
			refused++
		}
	}
	is.True(refused >= 5)  // it goes on being tried
	is.True(refused <= 20) // twice a second on average

	c.steps(50)
	is.True(c.begun(hexID(1))) // and is accepted within the longest pause
}

// A lasting task that fails as it starts is owed restarts, not a restart at once each
// time.
func TestLastingTaskThatFailsAtOnceIsStartedLessAndLessOften(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.submit(testJob(hexID(1), 1, lastingStep(1)))
	starts := 0
	for range 200 {
		for _, start := range c.step().Starts {
			starts++
			c.ends[start.Worker]++
			end := EndedTask{Number: c.ends[start.Worker], Task: start.Task, Run: start.Run, How: EndFailed}
			c.now = c.now.Add(10 * time.Millisecond)
			c.engine.Report(start.Worker, c.now, nil, []EndedTask{end}, time.Time{}, c.now)
		}
	}
	is.True(starts >= 5)
	is.True(starts <= 20)
}

// stepRefusing is a step in which all starts of a job are refused.
func (c *cluster) stepRefusing(id string) []Start {
	c.now = c.now.Add(50 * time.Millisecond)
	c.engine.Decide(c.now)
	c.engine.Recorded(c.now)
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
