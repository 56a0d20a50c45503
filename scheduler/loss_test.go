package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
)

// lossHarness drives a scheduler whose runs are lost with their workers.
type lossHarness struct {
	is   *is.I
	s    *scheduler.Scheduler
	now  scheduler.Time
	runs map[string]scheduler.Place // running jobs, by job ID
	ends map[string]scheduler.End
}

func newLossHarness(t *testing.T, workers int) *lossHarness {
	return &lossHarness{is: is.New(t), s: scheduler.New(scheduler.Config{Workers: newWorkers(workers, 4)}),
		runs: map[string]scheduler.Place{}, ends: map[string]scheduler.End{}}
}

func (l *lossHarness) step(event scheduler.Event) {
	for _, action := range l.s.Step(event, l.now) {
		switch a := action.(type) {
		case scheduler.Place:
			l.runs[a.Job] = a
		case scheduler.End:
			l.ends[a.Job] = a
		}
	}
}

// loseRun restarts a worker of a job's run after a time, which loses the run.
func (l *lossHarness) loseRun(job string, after scheduler.Time) {
	place, running := l.runs[job]
	l.is.True(running)
	delete(l.runs, job)
	l.now += after
	worker := place.Members[0].Worker
	l.step(scheduler.WorkerDown{Worker: worker})
	l.step(scheduler.RunEnded{Run: place.Run, Result: scheduler.RunLost, Worker: worker})
	for _, spec := range newWorkers(8, 4) {
		if spec.ID == worker {
			l.step(scheduler.WorkerUp{Worker: spec})
		}
	}
}

// A job that crashes its workers reports no failure. Without a bound on early losses it would
// be placed again without end.
func TestJobThatCrashesItsWorkersIsEnded(t *testing.T) {
	l := newLossHarness(t, 8)
	l.step(scheduler.JobSubmitted{Job: newJobSpec("j", "b", 1, 8)})
	for range 3 {
		l.is.Equal(len(l.ends), 0)
		l.loseRun("j", 5*scheduler.Second)
	}
	l.is.Equal(l.ends["j"].Reason, structs.ReasonJobFailsEverywhere)
	l.is.Equal(l.ends["j"].Outcome, structs.OutcomeRan)
	l.is.Equal(len(l.runs), 0)
}

// A job that runs for hours outlives workers. Losses long after its start do not count against
// it and reset the count of early losses.
func TestLateLossesEndNoJob(t *testing.T) {
	l := newLossHarness(t, 8)
	l.step(scheduler.JobSubmitted{Job: newJobSpec("j", "b", 1, 8)})
	for range 10 {
		l.loseRun("j", 5*scheduler.Second)
		l.loseRun("j", 5*scheduler.Second)
		l.loseRun("j", 20*scheduler.Minute)
	}
	l.is.Equal(len(l.ends), 0)
	l.is.Equal(len(l.runs), 1)
}

// If many runs are lost at once, a rack or the network is at fault and not the jobs.
func TestSimultaneousLossesEndNoJob(t *testing.T) {
	l := newLossHarness(t, 8)
	for n := range 8 {
		l.step(scheduler.JobSubmitted{Job: newJobSpec(fmt.Sprintf("j%d", n), "b", 1, 8)})
	}
	for range 6 {
		for n := range 8 {
			l.loseRun(fmt.Sprintf("j%d", n), 100*scheduler.Millisecond)
		}
		l.now += 30 * scheduler.Second
	}
	l.is.Equal(len(l.ends), 0)
	l.is.Equal(len(l.runs), 8)
}
