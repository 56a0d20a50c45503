package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
)

// cautionMost is how long a job may wait for a worker that is held in doubt while
// everything is idle.
const cautionMost = 2 * scheduler.Minute

// idler plays a scheduler whose runs end only as a test says.
type idler struct {
	is   *is.I
	s    *scheduler.Scheduler
	now  scheduler.Time
	runs map[string]scheduler.Place // by job
	ends map[string]scheduler.End
}

func newIdler(t *testing.T, workers, inRack int) *idler {
	return &idler{is: is.New(t), s: scheduler.New(scheduler.Config{Workers: workersOf(workers, inRack)}),
		runs: map[string]scheduler.Place{}, ends: map[string]scheduler.End{}}
}

func (i *idler) step(event scheduler.Event) {
	for _, action := range i.s.Step(event, i.now) {
		switch a := action.(type) {
		case scheduler.Place:
			i.runs[a.Job] = a
		case scheduler.End:
			i.ends[a.Job] = a
		}
	}
}

func (i *idler) submit(job scheduler.JobSpec) {
	job.Submit = i.now
	job.Deadline += i.now
	i.step(scheduler.Submitted{Job: job})
}

func (i *idler) end(job string, result scheduler.Result, worker string) {
	place, running := i.runs[job]
	i.is.True(running)
	delete(i.runs, job)
	i.step(scheduler.RunEnded{Run: place.Run, Result: result, Worker: worker})
}

// starts reports whether a job that waits is placed or ended within a time.
func (i *idler) starts(job string, within scheduler.Time) bool {
	until := i.now + within
	for ; i.now < until; i.now += scheduler.Second {
		i.step(scheduler.Tick{})
		if _, placed := i.runs[job]; placed {
			return true
		}
	}
	_, ended := i.ends[job]
	return ended
}

// A gang that fills the only rack that holds it never ran again once a task had
// failed on one of its workers.
func TestGangWhoseOnlyRackFailedItRunsAgain(t *testing.T) {
	i := newIdler(t, 4, 4)
	gang := jobOf("gang", "b", 4, 8)
	gang.Shape.Adjacent = true
	i.submit(gang)
	i.end("gang", scheduler.RunFailed, "w001")
	i.is.True(i.starts("gang", cautionMost))
}

// A job that fails wherever it runs is ended in the end, on a small fleet too.
func TestJobThatFailsOnAllOfASmallFleetIsEnded(t *testing.T) {
	i := newIdler(t, 1, 1)
	i.submit(jobOf("j", "b", 1, 8))
	for range 3 {
		i.is.True(i.starts("j", cautionMost))
		i.end("j", scheduler.RunFailed, "w000")
	}
	i.is.Equal(i.ends["j"].Reason, structs.ReasonJobFails)
}

// Jobs behind one that avoids the free workers waited with it, though they avoid none.
func TestJobThatAvoidsTheFreeWorkersHoldsUpNoOther(t *testing.T) {
	i := newIdler(t, 2, 1)
	i.submit(jobOf("j", "b", 1, 8))
	i.end("j", scheduler.RunFailed, i.runs["j"].Members[0].Worker)
	i.end("j", scheduler.RunFailed, i.runs["j"].Members[0].Worker)
	i.submit(jobOf("other", "b", 1, 8))
	i.is.True(i.starts("other", 3*scheduler.Second))
}

// A job with one try never started on an idle fleet of which each worker had failed a job.
func TestJobWithOneTryDoesNotWaitForEverForAnUndoubtedWorker(t *testing.T) {
	i := newIdler(t, 2, 1)
	for n := range 2 {
		failing := fmt.Sprintf("f%d", n)
		i.submit(jobOf(failing, "c", 1, 8))
		i.end(failing, scheduler.RunFailed, i.runs[failing].Members[0].Worker)
		i.end(failing, scheduler.RunFailed, i.runs[failing].Members[0].Worker)
		i.step(scheduler.Cancelled{Job: failing})
	}
	once := jobOf("once", "b", 1, 8)
	once.Idempotent = false
	i.submit(once)
	i.is.True(i.starts("once", cautionMost))
}

// A worker that had been in quarantine was kept for a small job that may never come.
func TestGangUsesWorkersThatNoSmallJobTriesAgain(t *testing.T) {
	i := newIdler(t, 2, 2)
	for n := range 3 {
		failing := fmt.Sprintf("f%d", n)
		i.submit(jobOf(failing, "c", 2, 8))
		i.end(failing, scheduler.RunFailed, "w001")
		i.step(scheduler.Cancelled{Job: failing})
	}
	i.now += 10 * scheduler.Minute // the quarantine is over
	i.submit(jobOf("gang", "b", 2, 8))
	i.is.True(i.starts("gang", cautionMost))
}
