package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
)

const (
	// cautionMost is how long a job may wait for workers that are not in doubt while
	// everything is idle.
	cautionMost = 2 * scheduler.Minute
	// cautionBusy is the same while such workers are in use.
	cautionBusy = 61 * scheduler.Minute
)

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

// drop cancels a job and ends its run, if it has one.
func (i *idler) drop(job string) {
	i.step(scheduler.Cancelled{Job: job})
	if _, running := i.runs[job]; running {
		i.end(job, scheduler.RunAborted, "")
	}
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

// The gang fills the only rack that holds it.
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

// Alike jobs are tried as one, but for the workers that they avoid.
func TestJobThatAvoidsTheFreeWorkersHoldsUpNoOther(t *testing.T) {
	i := newIdler(t, 2, 1)
	i.submit(jobOf("j", "b", 1, 8))
	i.end("j", scheduler.RunFailed, i.runs["j"].Members[0].Worker)
	i.end("j", scheduler.RunFailed, i.runs["j"].Members[0].Worker)
	i.submit(jobOf("other", "b", 1, 8))
	i.is.True(i.starts("other", 3*scheduler.Second))
}

// Each worker of the idle fleet has failed another job.
func TestJobWithOneTryDoesNotWaitForEverForAnUndoubtedWorker(t *testing.T) {
	i := newIdler(t, 2, 1)
	for n := range 2 {
		failing := fmt.Sprintf("f%d", n)
		i.submit(jobOf(failing, "c", 1, 8))
		i.end(failing, scheduler.RunFailed, i.runs[failing].Members[0].Worker)
		i.end(failing, scheduler.RunFailed, i.runs[failing].Members[0].Worker)
		i.drop(failing)
	}
	once := jobOf("once", "b", 1, 8)
	once.Idempotent = false
	i.submit(once)
	i.is.True(i.starts("once", cautionMost))
}

// A worker that comes out of quarantine is to be tried by a small job, which may never come.
func TestGangUsesWorkersThatNoSmallJobTriesAgain(t *testing.T) {
	i := newIdler(t, 2, 2)
	for n := range 3 {
		failing := fmt.Sprintf("f%d", n)
		i.submit(jobOf(failing, "c", 2, 8))
		i.end(failing, scheduler.RunFailed, "w001")
		i.drop(failing)
	}
	i.now += 10 * scheduler.Minute // the quarantine is over
	i.submit(jobOf("gang", "b", 2, 8))
	i.is.True(i.starts("gang", cautionMost))
}

// The only idle worker has failed another job.
func TestJobWithOneTryDoesNotWaitForAllRunsOfOthers(t *testing.T) {
	i := newIdler(t, 2, 1)
	i.submit(jobOf("failing", "c", 1, 8))
	doubted := i.runs["failing"].Members[0].Worker
	i.end("failing", scheduler.RunFailed, doubted)
	i.drop("failing")
	long := jobOf("long", "c", 1, 8)
	i.submit(long)
	if i.runs["long"].Members[0].Worker == doubted {
		i.submit(jobOf("longer", "c", 1, 8))
		i.end("long", scheduler.RunAborted, "")
	}
	once := jobOf("once", "b", 1, 8)
	once.Idempotent = false
	i.submit(once)
	i.is.True(i.starts("once", cautionBusy))
	i.is.Equal(i.runs["once"].Members[0].Worker, doubted)
}

// The bound counts from the failure that put a worker in doubt.
func TestRefusedStartDoesNotBeginTheWaitForOtherWorkersAnew(t *testing.T) {
	i := newIdler(t, 3, 1)
	i.submit(jobOf("j", "b", 1, 8))
	failed := i.runs["j"].Members[0].Worker
	i.end("j", scheduler.RunFailed, failed)
	refusing := i.runs["j"].Members[0].Worker
	for n := range 2 { // all but the worker that failed it are in use
		i.submit(jobOf(fmt.Sprintf("long%d", n), "c", 1, 8))
	}
	for n := range 2 {
		if long := fmt.Sprintf("long%d", n); i.runs[long].Members[0].Worker == failed {
			i.drop(long)
		}
	}
	for until := i.now + cautionBusy; i.now < until; {
		i.end("j", scheduler.RunNotStarted, refusing)
		i.is.True(i.starts("j", 5*scheduler.Second))
		if i.runs["j"].Members[0].Worker == failed {
			return
		}
	}
	t.Fatal("it waits anew after each refusal")
}

// The worker is away as another instance begins to place.
func TestGangThatWaitsIsNotEndedForAWorkerThatIsAwayForAMoment(t *testing.T) {
	is := is.New(t)
	gang := jobOf("gang", "b", 4, 8)
	gang.Shape.Adjacent = true
	all := workersOf(4, 4)
	i := &idler{is: is, s: scheduler.New(scheduler.Config{Workers: all[:3], Epoch: 2}), now: scheduler.Minute,
		runs: map[string]scheduler.Place{}, ends: map[string]scheduler.End{}}
	i.step(scheduler.Submitted{Job: gang}) // accepted a minute ago, with all four listed
	is.Equal(i.ends, map[string]scheduler.End{})
	i.step(scheduler.WorkerUp{Worker: all[3]})
	is.True(i.starts("gang", 3*scheduler.Second))
}
