package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// adviceBaseTime and advicePerWorkerTime are the response time of the service to a
	// request, and the part added for each worker in it.
	adviceBaseTime      = 100 * time.Millisecond
	advicePerWorkerTime = 20 * time.Millisecond
	// ticketValidity is how long its tickets are valid.
	ticketValidity = 3 * time.Second
)

// adviceService simulates the service: it handles one request after the other.
type adviceService struct {
	cluster    *cluster
	pending    *AdviceRequest
	sentAt     time.Time
	requests   map[string]int  // by job
	unanswered map[string]bool // jobs whose requests fail after three seconds
}

// step advances 50 ms and returns the jobs of the tasks that were started.
func (a *adviceService) step() []string {
	c := a.cluster
	c.now = c.now.Add(50 * time.Millisecond)
	if a.pending != nil && !c.now.Before(a.answerAt()) {
		request := a.pending
		a.pending = nil
		tickets := map[string]string{}
		for _, worker := range request.Workers {
			tickets[worker.ID] = "ticket"
		}
		c.engine.HandleAdvice(*request, !a.unanswered[request.Job], tickets, ticketValidity, a.sentAt, c.now)
	}
	var started []string
	for range 2 {
		plan := c.engine.Decide(c.now)
		c.engine.MarkRecordsDurable(c.now)
		if plan.AdviceRequest != nil {
			a.pending, a.sentAt = plan.AdviceRequest, c.now
			a.requests[plan.AdviceRequest.Job]++
		}
		for _, start := range plan.Starts {
			c.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, c.now)
			started = append(started, start.Task.Job)
		}
	}
	return started
}

func (a *adviceService) answerAt() time.Time {
	if a.unanswered[a.pending.Job] {
		return a.sentAt.Add(3 * time.Second)
	}
	return a.sentAt.Add(adviceBaseTime + time.Duration(len(a.pending.Workers))*advicePerWorkerTime)
}

func newAdviceService(racks int) *adviceService {
	return &adviceService{cluster: newCluster(racks), requests: map[string]int{}, unanswered: map[string]bool{}}
}

func (a *adviceService) submit(id string, tasks int, gang bool) {
	step := testStep(tasks, 8)
	step.Gang = gang
	job := testJob(id, 1, step)
	job.Queue.NeedsAdvice = true
	a.cluster.submit(job)
}

// startsWithin reports whether a task of a job starts within a time.
func (a *adviceService) startsWithin(id string, within time.Duration) bool {
	for begin := a.cluster.now; a.cluster.now.Sub(begin) < within; {
		for _, job := range a.step() {
			if job == id {
				return true
			}
		}
	}
	return false
}

// A step too wide for the fleet, whose tickets expire again and again, does not keep the
// next one from its first request.
func TestUnplaceableStepDoesNotBlockAdviceForOthers(t *testing.T) {
	is := is.New(t)
	a := newAdviceService(40)
	a.submit(hexID(1), 200, true)
	a.submit(hexID(2), 1, false)
	started := a.startsWithin(hexID(2), 10*time.Second)
	is.True(started)
}

// A step whose requests are never answered does not keep the other from its request.
func TestUnansweredAdviceRequestDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	a := newAdviceService(2)
	a.unanswered[hexID(1)] = true
	a.submit(hexID(1), 1, false)
	a.submit(hexID(2), 1, false)
	started := a.startsWithin(hexID(2), 10*time.Second)
	t.Log("requests for the first step:", a.requests[hexID(1)], "for the other:", a.requests[hexID(2)])
	is.True(started)
}
