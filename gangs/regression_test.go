package gangs_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/gangs"
	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

// Each test below is a failure that the property found, made small.

var (
	began    = time.Unix(1_800_000_000, 0)
	errCut   = errors.New("cut off")
	twoOfOne = []structs.Member{{Worker: "w0", Accelerators: 8}, {Worker: "w1", Accelerators: 8}}
)

func newCoordinator() *gangs.Coordinator {
	return gangs.New(gangs.Config{Term: 1, LeaseTTL: ttl, ReclaimWithin: time.Second, RecordWait: 3 * time.Second})
}

// calls picks the calls of one kind out of actions.
func calls(actions []gangs.Action, kind gangs.CallKind) []gangs.Call {
	var found []gangs.Call
	for _, action := range actions {
		if call, ok := action.(gangs.Call); ok && call.Kind == kind {
			found = append(found, call)
		}
	}
	return found
}

// starting brings a run of two members to the point where its starts are on their way.
func starting(c *gangs.Coordinator) []gangs.Call {
	launched := c.Step(gangs.Launch{Place: scheduler.Place{Job: "j", Run: "j#1", Members: twoOfOne}}, began)
	for _, reserve := range calls(launched, gangs.CallReserve) {
		c.Step(gangs.CallEnded{Call: reserve}, began)
	}
	return calls(c.Step(gangs.StartRead{Run: "j#1", Valid: true}, began), gangs.CallStart)
}

func TestNoLeaseIsReleasedWhileAStartIsOnItsWay(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	starts := starting(c)
	is.Equal(len(starts), 2)
	after := c.Step(gangs.CallEnded{Call: starts[0], Err: errCut}, began)
	is.Equal(len(calls(after, gangs.CallRelease)), 0) // the other start may still arrive
	after = c.Step(gangs.CallEnded{Call: starts[1]}, began)
	is.Equal(len(calls(after, gangs.CallRelease)), 2)
}

func TestCancelWhileStartingWaitsForTheStarts(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	starts := starting(c)
	after := c.Step(gangs.StopRun{Run: "j#1", Reason: structs.ReasonCancelled}, began)
	is.Equal(len(after), 0)
	c.Step(gangs.CallEnded{Call: starts[0]}, began)
	after = c.Step(gangs.CallEnded{Call: starts[1]}, began)
	is.Equal(len(calls(after, gangs.CallRelease)), 2)
}

func TestNoMemberIsRenewedAloneBeforeTheRunStarted(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	for _, start := range starting(c) {
		is.True(start.MinLease > 0) // a worker with less left must refuse
	}
	for _, action := range c.Step(gangs.Tick{LogAvailable: true}, began.Add(ttl/2)) {
		_, poll := action.(gangs.Poll)
		is.True(!poll)
	}
}

func TestAStaleReservationIsRenewedBeforeTheStart(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	launched := c.Step(gangs.Launch{Place: scheduler.Place{Job: "j", Run: "j#1", Members: twoOfOne}}, began)
	for _, reserve := range calls(launched, gangs.CallReserve) {
		c.Step(gangs.CallEnded{Call: reserve}, began)
	}
	late := c.Step(gangs.StartRead{Run: "j#1", Valid: true}, began.Add(ttl*3/4))
	is.Equal(len(calls(late, gangs.CallStart)), 0)
	is.Equal(len(calls(late, gangs.CallReserve)), 2)
}

func TestAnAdoptedRunIsReleasedOnlyOnceEveryMemberAnswered(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	c.Step(gangs.Adopt{Job: "j", Run: "j#0", Members: twoOfOne}, began)
	after := c.Step(gangs.StopRun{Run: "j#0", Reason: structs.ReasonCancelled}, began)
	is.Equal(len(after), 0) // the earlier holder's start may be on its way to either
	state := worker.State{Tasks: []worker.Task{{Run: "j#0", Phase: worker.TaskRunning}}}
	after = c.Step(gangs.WorkerState{Worker: "w0", Asked: began, State: state}, began)
	is.Equal(len(calls(after, gangs.CallRelease)), 0)
	after = c.Step(gangs.WorkerState{Worker: "w1", Asked: began, State: state}, began)
	is.True(len(calls(after, gangs.CallRelease)) >= 2) // both; a release may go out twice
}

func TestAnAdoptedRunThatNeverStartedGoesBackToTheQueue(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	c.Step(gangs.Adopt{Job: "j", Run: "j#0", Members: twoOfOne}, began)
	state := worker.State{Tasks: []worker.Task{{Run: "j#0", Phase: worker.TaskReserved}}}
	c.Step(gangs.WorkerState{Worker: "w0", Asked: began, State: state}, began)
	after := c.Step(gangs.WorkerState{Worker: "w1", Asked: began, State: state}, began)
	for _, action := range after {
		if stop, ok := action.(gangs.AppendStop); ok {
			is.True(stop.Stop.NotStarted) // so a job that may not be repeated may still run
			return
		}
	}
	t.Fatal("the run was not stopped")
}
