package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
)

const (
	// maxIdleWait bounds how long a job waits for workers it does not suspect while all
	// workers are idle.
	maxIdleWait = 2 * scheduler.Minute
	// maxBusyWait bounds the same wait while such workers are in use.
	maxBusyWait = 61 * scheduler.Minute
)

// harness drives a scheduler whose runs end only when a test ends them.
type harness struct {
	is   *is.I
	s    *scheduler.Scheduler
	now  scheduler.Time
	runs map[string]scheduler.Place // running jobs, by job ID
	ends map[string]scheduler.End
}

func newHarness(t *testing.T, workers, perRack int) *harness {
	return &harness{is: is.New(t), s: scheduler.New(scheduler.Config{Workers: newWorkers(workers, perRack)}),
		runs: map[string]scheduler.Place{}, ends: map[string]scheduler.End{}}
}

func (h *harness) step(event scheduler.Event) {
	for _, action := range h.s.Step(event, h.now) {
		switch a := action.(type) {
		case scheduler.Place:
			h.runs[a.Job] = a
		case scheduler.End:
			h.ends[a.Job] = a
		}
	}
}

func (h *harness) submit(job scheduler.JobSpec) {
	job.SubmitTime = h.now
	job.Deadline += h.now
	h.step(scheduler.JobSubmitted{Job: job})
}

func (h *harness) endRun(job string, result scheduler.Result, worker string) {
	place, running := h.runs[job]
	h.is.True(running)
	delete(h.runs, job)
	h.step(scheduler.RunEnded{Run: place.Run, Result: result, Worker: worker})
}

// cancelAndEnd cancels a job and ends its run, if it has one.
func (h *harness) cancelAndEnd(job string) {
	h.step(scheduler.JobCancelled{Job: job})
	if _, running := h.runs[job]; running {
		h.endRun(job, scheduler.RunAborted, "")
	}
}

// startsOrEnds advances the clock and reports whether a queued job is placed or ended within a
// time.
func (h *harness) startsOrEnds(job string, within scheduler.Time) bool {
	until := h.now + within
	for ; h.now < until; h.now += scheduler.Second {
		h.step(scheduler.Tick{})
		if _, placed := h.runs[job]; placed {
			return true
		}
	}
	_, ended := h.ends[job]
	return ended
}

// The gang fills the only rack that fits it, so no other worker can replace the suspect one.
func TestGangIsRetriedOnItsOnlyRackAfterAFailure(t *testing.T) {
	h := newHarness(t, 4, 4)
	gang := newJobSpec("gang", "b", 4, 8)
	gang.Shape.Adjacent = true
	h.submit(gang)
	h.endRun("gang", scheduler.RunFailed, "w001")
	h.is.True(h.startsOrEnds("gang", maxIdleWait))
}

// On a fleet with fewer workers than maxJobFailures, repeated failures on the same worker must
// end the job.
func TestJobThatFailsOnEveryWorkerOfASmallFleetIsEnded(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.submit(newJobSpec("j", "b", 1, 8))
	for range 3 {
		h.is.True(h.startsOrEnds("j", maxIdleWait))
		h.endRun("j", scheduler.RunFailed, "w000")
	}
	h.is.Equal(h.ends["j"].Reason, structs.ReasonJobFailsEverywhere)
}

// Jobs of one class and shape share a group in the queue, but jobs that avoid different
// workers must not: the blocked first job would block the rest.
func TestJobThatAvoidsFreeWorkersDoesNotBlockOthers(t *testing.T) {
	h := newHarness(t, 2, 1)
	h.submit(newJobSpec("j", "b", 1, 8))
	h.endRun("j", scheduler.RunFailed, h.runs["j"].Members[0].Worker)
	h.endRun("j", scheduler.RunFailed, h.runs["j"].Members[0].Worker)
	h.submit(newJobSpec("other", "b", 1, 8))
	h.is.True(h.startsOrEnds("other", 3*scheduler.Second))
}

// Another job failed on each worker of the idle fleet.
func TestNonIdempotentJobStartsWhenAllWorkersAreSuspect(t *testing.T) {
	h := newHarness(t, 2, 1)
	for n := range 2 {
		failing := fmt.Sprintf("f%d", n)
		h.submit(newJobSpec(failing, "c", 1, 8))
		h.endRun(failing, scheduler.RunFailed, h.runs[failing].Members[0].Worker)
		h.endRun(failing, scheduler.RunFailed, h.runs[failing].Members[0].Worker)
		h.cancelAndEnd(failing)
	}
	once := newJobSpec("once", "b", 1, 8)
	once.Idempotent = false
	h.submit(once)
	h.is.True(h.startsOrEnds("once", maxIdleWait))
}

// A worker on probation waits for a small job to probe it, which may never be submitted.
func TestGangUsesWorkersOnProbationThatNoJobProbes(t *testing.T) {
	h := newHarness(t, 2, 2)
	for n := range 3 {
		failing := fmt.Sprintf("f%d", n)
		h.submit(newJobSpec(failing, "c", 2, 8))
		h.endRun(failing, scheduler.RunFailed, "w001")
		h.cancelAndEnd(failing)
	}
	h.now += 10 * scheduler.Minute // the quarantine is over, the probation is not
	h.submit(newJobSpec("gang", "b", 2, 8))
	h.is.True(h.startsOrEnds("gang", maxIdleWait))
}

// Another job failed on the only idle worker.
func TestNonIdempotentJobUsesSuspectWorkerAfterTimeout(t *testing.T) {
	h := newHarness(t, 2, 1)
	h.submit(newJobSpec("failing", "c", 1, 8))
	suspect := h.runs["failing"].Members[0].Worker
	h.endRun("failing", scheduler.RunFailed, suspect)
	h.cancelAndEnd("failing")
	long := newJobSpec("long", "c", 1, 8)
	h.submit(long)
	if h.runs["long"].Members[0].Worker == suspect {
		h.submit(newJobSpec("longer", "c", 1, 8))
		h.endRun("long", scheduler.RunAborted, "")
	}
	once := newJobSpec("once", "b", 1, 8)
	once.Idempotent = false
	h.submit(once)
	h.is.True(h.startsOrEnds("once", maxBusyWait))
	h.is.Equal(h.runs["once"].Members[0].Worker, suspect)
}

// The timeout counts from the failure that made the worker suspect.
func TestRefusedStartDoesNotRestartTheSuspectTimeout(t *testing.T) {
	h := newHarness(t, 3, 1)
	h.submit(newJobSpec("j", "b", 1, 8))
	failed := h.runs["j"].Members[0].Worker
	h.endRun("j", scheduler.RunFailed, failed)
	refusing := h.runs["j"].Members[0].Worker
	for n := range 2 { // all workers but the one the job failed on are in use
		h.submit(newJobSpec(fmt.Sprintf("long%d", n), "c", 1, 8))
	}
	for n := range 2 {
		if long := fmt.Sprintf("long%d", n); h.runs[long].Members[0].Worker == failed {
			h.cancelAndEnd(long)
		}
	}
	for until := h.now + maxBusyWait; h.now < until; {
		h.endRun("j", scheduler.RunNotStarted, refusing)
		h.is.True(h.startsOrEnds("j", 5*scheduler.Second))
		if h.runs["j"].Members[0].Worker == failed {
			return
		}
	}
	t.Fatal("the job did not use the suspect worker within maxBusyWait")
}

// A worker is missing when a new leader takes over.
func TestQueuedGangIsNotEndedByABriefWorkerOutage(t *testing.T) {
	is := is.New(t)
	gang := newJobSpec("gang", "b", 4, 8)
	gang.Shape.Adjacent = true
	all := newWorkers(4, 4)
	h := &harness{is: is, s: scheduler.New(scheduler.Config{Workers: all[:3], Epoch: 2}), now: scheduler.Minute,
		runs: map[string]scheduler.Place{}, ends: map[string]scheduler.End{}}
	h.step(scheduler.JobSubmitted{Job: gang}) // accepted a minute ago, while all four workers were listed
	is.Equal(h.ends, map[string]scheduler.End{})
	h.step(scheduler.WorkerUp{Worker: all[3]})
	is.True(h.startsOrEnds("gang", 3*scheduler.Second))
}
