package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
)

// loser plays a scheduler whose runs are lost with their workers.
type loser struct {
	is   *is.I
	s    *scheduler.Scheduler
	now  scheduler.Time
	runs map[string]scheduler.Place // by job
	ends map[string]scheduler.End
}

func newLoser(t *testing.T, workers int) *loser {
	return &loser{is: is.New(t), s: scheduler.New(scheduler.Config{Workers: workersOf(workers, 4)}),
		runs: map[string]scheduler.Place{}, ends: map[string]scheduler.End{}}
}

func (l *loser) step(event scheduler.Event) {
	for _, action := range l.s.Step(event, l.now) {
		switch a := action.(type) {
		case scheduler.Place:
			l.runs[a.Job] = a
		case scheduler.End:
			l.ends[a.Job] = a
		}
	}
}

// lose ends the worker of a job's run after a time; it is back at once.
func (l *loser) lose(job string, after scheduler.Time) {
	place, running := l.runs[job]
	l.is.True(running)
	delete(l.runs, job)
	l.now += after
	worker := place.Members[0].Worker
	l.step(scheduler.WorkerDown{Worker: worker})
	l.step(scheduler.RunEnded{Run: place.Run, Result: scheduler.RunLost, Worker: worker})
	for _, spec := range workersOf(8, 4) {
		if spec.ID == worker {
			l.step(scheduler.WorkerUp{Worker: spec})
		}
	}
}

// A job that ends its workers reports nothing, and was placed again without a bound:
// a run that is lost counted for nothing, however soon after its start.
func TestJobThatEndsItsWorkersIsGivenUp(t *testing.T) {
	l := newLoser(t, 8)
	l.step(scheduler.Submitted{Job: jobOf("j", "b", 1, 8)})
	for range 3 {
		l.is.Equal(len(l.ends), 0)
		l.lose("j", 5*scheduler.Second)
	}
	l.is.Equal(l.ends["j"].Reason, structs.ReasonJobFails)
	l.is.Equal(l.ends["j"].Outcome, structs.OutcomeRan)
	l.is.Equal(len(l.runs), 0)
}

// A job that runs for hours outlives workers; losses far from its starts are not its
// fault, and one of them clears it of those before.
func TestLossesLongAfterTheStartEndNoJob(t *testing.T) {
	l := newLoser(t, 8)
	l.step(scheduler.Submitted{Job: jobOf("j", "b", 1, 8)})
	for range 10 {
		l.lose("j", 5*scheduler.Second)
		l.lose("j", 5*scheduler.Second)
		l.lose("j", 20*scheduler.Minute)
	}
	l.is.Equal(len(l.ends), 0)
	l.is.Equal(len(l.runs), 1)
}

// Where many runs are lost together, a rack or the way to it is at fault.
func TestLossesOfManyTogetherEndNoJob(t *testing.T) {
	l := newLoser(t, 8)
	for n := range 8 {
		l.step(scheduler.Submitted{Job: jobOf(fmt.Sprintf("j%d", n), "b", 1, 8)})
	}
	for range 6 {
		for n := range 8 {
			l.lose(fmt.Sprintf("j%d", n), 100*scheduler.Millisecond)
		}
		l.now += 30 * scheduler.Second
	}
	l.is.Equal(len(l.ends), 0)
	l.is.Equal(len(l.runs), 8)
}
