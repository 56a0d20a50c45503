package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// decideTime and eachTime are how long the service takes for a question, and for
	// each worker that it names.
	decideTime = 100 * time.Millisecond
	eachTime   = 20 * time.Millisecond
	// ticketTime is how long its tickets are valid.
	ticketTime = 3 * time.Second
)

// adviser answers questions, one after the other, after the time that each takes.
type adviser struct {
	cluster *cluster
	asked   *Ask
	sent    time.Time
	asks    map[string]int  // by job
	hangs   map[string]bool // jobs whose questions go unanswered for three seconds
}

// step passes 50 ms and returns the jobs of which tasks were started.
func (a *adviser) step() []string {
	c := a.cluster
	c.now = c.now.Add(50 * time.Millisecond)
	if a.asked != nil && !c.now.Before(a.answerAt()) {
		asked := a.asked
		a.asked = nil
		tickets := map[string]string{}
		for _, worker := range asked.Workers {
			tickets[worker.ID] = "ticket"
		}
		c.engine.Advised(*asked, !a.hangs[asked.Job], tickets, ticketTime, a.sent, c.now)
	}
	var started []string
	for range 2 {
		plan := c.engine.Decide(c.now)
		c.engine.Recorded(c.now)
		if plan.Ask != nil {
			a.asked, a.sent = plan.Ask, c.now
			a.asks[plan.Ask.Job]++
		}
		for _, start := range plan.Starts {
			c.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, c.now)
			started = append(started, start.Task.Job)
		}
	}
	return started
}

func (a *adviser) answerAt() time.Time {
	if a.hangs[a.asked.Job] {
		return a.sent.Add(3 * time.Second)
	}
	return a.sent.Add(decideTime + time.Duration(len(a.asked.Workers))*eachTime)
}

func newAdviser(racks int) *adviser {
	return &adviser{cluster: newCluster(racks), asks: map[string]int{}, hangs: map[string]bool{}}
}

func (a *adviser) submit(id string, tasks int, gang bool) {
	step := testStep(tasks, 8)
	step.Gang = gang
	job := testJob(id, 1, step)
	job.Queue.Advised = true
	a.cluster.submit(job)
}

// startsWithin reports whether a task of a job starts within a time.
func (a *adviser) startsWithin(id string, within time.Duration) bool {
	for begin := a.cluster.now; a.cluster.now.Sub(begin) < within; {
		for _, job := range a.step() {
			if job == id {
				return true
			}
		}
	}
	return false
}

// A step too wide for the fleet, whose tickets run out again and again, does not keep the
// next from its first question.
func TestStepThatWaitsForRoomDoesNotKeepOthersFromAdvice(t *testing.T) {
	is := is.New(t)
	a := newAdviser(40)
	a.submit(hexID(1), 200, true)
	a.submit(hexID(2), 1, false)
	started := a.startsWithin(hexID(2), 10*time.Second)
	is.True(started)
}

// A question that is never answered keeps all others from being asked.
func TestQuestionWithoutAnAnswerDoesNotKeepOthersFromAdvice(t *testing.T) {
	is := is.New(t)
	a := newAdviser(2)
	a.hangs[hexID(1)] = true
	a.submit(hexID(1), 1, false)
	a.submit(hexID(2), 1, false)
	started := a.startsWithin(hexID(2), 10*time.Second)
	t.Log("questions for the first step:", a.asks[hexID(1)], "for the other:", a.asks[hexID(2)])
	is.True(started)
}
