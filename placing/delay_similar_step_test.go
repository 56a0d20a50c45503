package placing

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

func advisedJob(number, priority int, step jobs.Step) *jobs.Submission {
	job := testJob(hexID(number), priority, step)
	job.Queue.NeedsAdvice = true
	return job
}

// The first step may run on no worker. The one behind it has the same shape and may run on
// all.
func TestUnschedulableStepDoesNotBlockSimilarStep(t *testing.T) {
	for name, gang := range map[string]bool{"tasks": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 2, 6)
			step := testStep(2, 4)
			step.Gang, step.EstimateMS = gang, defaultRunTime.Milliseconds()
			unschedulable := advisedJob(1, 1, step)
			s.allowed = func(job, _ string) bool { return job != unschedulable.ID }
			s.submit(unschedulable)
			s.run(time.Second)
			behind := s.submit(advisedJob(2, 1, step))
			is.True(s.waitForStart(behind, 0) <= maxIdleDelay)
		})
	}
}

// The first step still waits for tickets. The one behind it has the same shape and has
// tickets.
func TestStepWithoutTicketsDoesNotBlockSimilarStepWithTickets(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 2, 6)
	s.ticketLifetime = 30 * time.Second
	for worker := range 12 {
		s.occupy(worker, 8)
	}
	s.run(time.Second)
	long, short := testStep(1, 1), testStep(1, 1)
	long.EstimateMS, short.EstimateMS = 2*defaultRunTime.Milliseconds(), defaultRunTime.Milliseconds()
	behind := s.submit(advisedJob(2, 1, long))
	s.run(time.Second) // advice on all workers is requested
	is.Equal(s.countRunning(behind, 0), 0)
	s.adviceLatency = 10 * time.Second
	s.submit(advisedJob(1, 1, short))
	s.run(time.Second)
	for _, w := range s.workers {
		for _, key := range w.runningTasks() {
			s.runTimes[key.Job] = time.Second
		}
	}
	s.run(2 * delaySimTick)
	is.True(s.waitForStart(behind, 0) <= maxIdleDelay)
}

// Deferrable work leaves idle workers free; late work of the same shape takes them, whether or
// not deferrable work is queued too.
func TestDeferrableWorkDoesNotBlockSimilarLateWork(t *testing.T) {
	for _, example := range []struct {
		name  string
		step  jobs.Step
		racks int // racks of four workers each, all but one of them in use
	}{{"task", testStep(1, 4), 3}, {"gang", wideGang(2, 4), 10}} {
		for _, alone := range []bool{true, false} {
			t.Run(example.name+" alone "+strconv.FormatBool(alone), func(t *testing.T) {
				is := is.New(t)
				c := newCluster(example.racks)
				for _, node := range c.engine.nodeOrder[4:] {
					node.used = node.entry.Capacity
				}
				late := testJob(hexID(1), 1, example.step)
				late.AcceptedMS = c.now.Add(-12 * time.Second).UnixMilli()
				c.submit(late)
				if !alone {
					c.submit(testJob(hexID(2), 1, example.step))
				}
				c.engine.demandsOf("pool").urgent.update(40, c.now)
				units := c.engine.waitingUnits(c.now)
				is.Equal(units[0].deferrable, !alone)
				is.Equal(units[len(units)-1].tier, tierLate)
				starts := startAll(c.engine, c.now)
				is.Equal(len(starts), example.step.Tasks)
				for _, start := range starts {
					is.Equal(start.Task.Job, late.ID)
				}
			})
		}
	}
}
