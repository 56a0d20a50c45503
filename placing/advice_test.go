package placing

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerAdvice responds to the advice request of a plan: the named workers may run the step.
// It returns the workers that were requested.
func (c *cluster) answerAdvice(plan Plan, validity time.Duration, permitted ...string) []string {
	if plan.AdviceRequest == nil {
		return nil
	}
	tickets := map[string]string{}
	var requested []string
	for _, worker := range plan.AdviceRequest.Workers {
		requested = append(requested, worker.ID)
		if slices.Contains(permitted, worker.ID) {
			tickets[worker.ID] = "ticket of " + worker.ID
		}
	}
	c.engine.HandleAdvice(*plan.AdviceRequest, true, tickets, validity, c.now, c.now)
	return requested
}

// A step of an advised queue starts only on workers with a ticket, and carries that
// ticket. Workers that may not run it are requested once.
func TestAdvisedStepsStartWithTickets(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	job := testJob(hexID(1), 1, testStep(3, 8))
	job.Queue.NeedsAdvice = true
	c.submit(job)
	plan := c.step()
	is.Equal(len(plan.Starts), 0)
	is.Equal(len(c.answerAdvice(plan, 3*time.Second, "w01", "w02")), 4)
	plan = c.step()
	is.Equal(len(plan.Starts), 2)
	for _, start := range plan.Starts {
		is.Equal(start.Ticket, "ticket of "+start.Worker)
	}
	for range 100 { // the tickets expire; the other two are not requested again
		plan = c.step()
		is.Equal(len(plan.Starts), 0)
		for _, worker := range c.answerAdvice(plan, 3*time.Second) {
			is.True(worker != "w00" && worker != "w03")
		}
	}
}

// A failed request is repeated, and a ticket that its worker rejected is not used again.
func TestAdviceIsAskedForAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	job := testJob(hexID(1), 1, testStep(1, 8))
	job.Queue.NeedsAdvice = true
	c.submit(job)
	plan := c.step()
	c.engine.HandleAdvice(*plan.AdviceRequest, false, nil, 0, c.now, c.now)
	is.True(c.step().AdviceRequest == nil) // delayed by adviceRetryDelay
	repeated := Plan{}
	for range 10 {
		if plan = c.step(); plan.AdviceRequest != nil {
			repeated = plan
		}
	}
	c.answerAdvice(repeated, 3*time.Second, "w01")
	c.now = c.now.Add(50 * time.Millisecond)
	c.engine.Decide(c.now)
	c.engine.MarkRecordsDurable(c.now)
	starts := c.engine.Decide(c.now).Starts
	is.Equal(len(starts), 1)
	c.engine.StartAnswered("w01", starts[0].Task, starts[0].Run, StartNoTicket, c.now)
	plan = c.step()
	is.Equal(len(plan.Starts), 0)
	is.True(plan.AdviceRequest != nil)
}
