package scheduler_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// unschedulableTimeout is how long a job waits for an inventory that fits its shape.
const unschedulableTimeout = 10 * scheduler.Minute

func newGang(members int) scheduler.JobSpec {
	gang := newJobSpec("gang", "b", members, 8)
	gang.Shape.Adjacent = true
	return gang
}

// expectUnschedulable checks that the gang is ended as unschedulable unschedulableTimeout from
// now.
func (h *harness) expectUnschedulable(outcome structs.Outcome) {
	h.is.True(!h.startsOrEnds("gang", unschedulableTimeout-scheduler.Second))
	h.is.True(h.startsOrEnds("gang", 3*scheduler.Second))
	h.is.Equal(h.ends["gang"].Reason, structs.ReasonImpossibleShape)
	h.is.Equal(h.ends["gang"].Outcome, outcome)
	h.is.Equal(h.s.QueueLength(), 0)
}

// The leader has seen the worker before.
func TestGangIsEndedWhenALostWorkerDoesNotReturn(t *testing.T) {
	h := newHarness(t, 4, 4)
	h.submit(newGang(4))
	h.step(scheduler.WorkerDown{Worker: "w002"})
	h.endRun("gang", scheduler.RunLost, "w002")
	h.expectUnschedulable(structs.OutcomeUnknown)
}

// The new leader has never seen the fourth worker of the rack.
func TestGangThatFitsNoListedRackIsEndedByANewLeader(t *testing.T) {
	h := newHarness(t, 3, 3)
	h.submit(newGang(4))
	h.expectUnschedulable(structs.OutcomeNotRun)
}

// Each absence of the worker starts the timeout anew.
func TestReturningWorkerResetsTheUnschedulableTimeout(t *testing.T) {
	h := newHarness(t, 4, 4)
	h.submit(newJobSpec("other", "c", 1, 8)) // occupies a worker of the gang's rack
	h.submit(newGang(4))
	missing := "w000"
	if h.runs["other"].Members[0].Worker == missing {
		missing = "w001"
	}
	for range 3 {
		h.step(scheduler.WorkerDown{Worker: missing})
		h.is.True(!h.startsOrEnds("gang", unschedulableTimeout-2*scheduler.Second))
		h.step(scheduler.WorkerUp{Worker: scheduler.WorkerSpec{ID: missing}})
		h.is.True(!h.startsOrEnds("gang", 3*scheduler.Second))
	}
	h.cancelAndEnd("other")
	h.is.True(h.startsOrEnds("gang", 3*scheduler.Second))
	h.is.Equal(len(h.ends), 0)
}

// A job that fits the workers may still not fit beside the guarantees of other workspaces.
func TestUnschedulableJobsAreDetectedBeforeAcceptance(t *testing.T) {
	is := is.New(t)
	workers := newWorkers(4, 4)
	current := &targets.Targets{Workspaces: map[string]targets.Workspace{
		"a": {Name: "a", Guarantee: []structs.Shape{{Members: 2, Accelerators: 8, Adjacent: true}}}, "b": {Name: "b"}}}
	gang := newGang(4)
	is.Equal(scheduler.UnschedulableReason(workers, current, gang), "")
	is.True(scheduler.UnschedulableReason(workers[:3], current, gang) != "")
	gang.Idempotent = false
	is.True(scheduler.UnschedulableReason(workers, current, gang) != "")
	gang.Shape.Members = 2
	is.Equal(scheduler.UnschedulableReason(workers, current, gang), "")
}
