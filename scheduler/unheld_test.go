package scheduler_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// heldWait is how long a job may wait for an inventory that holds its shape.
const heldWait = 10 * scheduler.Minute

func gangOf(members int) scheduler.JobSpec {
	gang := jobOf("gang", "b", members, 8)
	gang.Shape.Adjacent = true
	return gang
}

// endsUnheld checks that the gang is ended as one that no inventory holds, heldWait from now.
func (i *idler) endsUnheld(outcome structs.Outcome) {
	i.is.True(!i.starts("gang", heldWait-scheduler.Second))
	i.is.True(i.starts("gang", 3*scheduler.Second))
	i.is.Equal(i.ends["gang"].Reason, structs.ReasonImpossibleShape)
	i.is.Equal(i.ends["gang"].Outcome, outcome)
	i.is.Equal(i.s.Queued(), 0)
}

// The holder has once seen the worker that does not come back.
func TestGangWhoseWorkerStaysAwayIsEnded(t *testing.T) {
	i := newIdler(t, 4, 4)
	i.submit(gangOf(4))
	i.step(scheduler.WorkerDown{Worker: "w002"})
	i.end("gang", scheduler.RunLost, "w002")
	i.endsUnheld(structs.OutcomeUnknown)
}

// The same under a holder that never saw the worker.
func TestGangThatNoListedRackHoldsIsEndedByANewHolder(t *testing.T) {
	i := newIdler(t, 3, 3)
	i.submit(gangOf(4))
	i.endsUnheld(structs.OutcomeNotRun)
}

// Each absence counts alone.
func TestWorkerThatComesBackBeginsTheWaitAnew(t *testing.T) {
	i := newIdler(t, 4, 4)
	i.submit(jobOf("other", "c", 1, 8)) // keeps the gang from its rack
	i.submit(gangOf(4))
	away := "w000"
	if i.runs["other"].Members[0].Worker == away {
		away = "w001"
	}
	for range 3 {
		i.step(scheduler.WorkerDown{Worker: away})
		i.is.True(!i.starts("gang", heldWait-2*scheduler.Second))
		i.step(scheduler.WorkerUp{Worker: scheduler.WorkerSpec{ID: away}})
		i.is.True(!i.starts("gang", 3*scheduler.Second))
	}
	i.drop("other")
	i.is.True(i.starts("gang", 3*scheduler.Second))
	i.is.Equal(len(i.ends), 0)
}

// Guarantees of others may be all that keeps a job out.
func TestUnholdableJobsAreKnownBeforeTheyAreAccepted(t *testing.T) {
	is := is.New(t)
	workers := workersOf(4, 4)
	inForce := &targets.Targets{Workspaces: map[string]targets.Workspace{
		"a": {Name: "a", Guarantee: []structs.Shape{{Members: 2, Accelerators: 8, Adjacent: true}}}, "b": {Name: "b"}}}
	gang := gangOf(4)
	is.Equal(scheduler.Unholdable(workers, inForce, gang), "")
	is.True(scheduler.Unholdable(workers[:3], inForce, gang) != "")
	gang.Idempotent = false
	is.True(scheduler.Unholdable(workers, inForce, gang) != "")
	gang.Shape.Members = 2
	is.Equal(scheduler.Unholdable(workers, inForce, gang), "")
}
