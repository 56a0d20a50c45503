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
	startTime        = time.Unix(1_800_000_000, 0)
	errConnectionCut = errors.New("cut off")
	twoMembers       = []structs.Member{{Worker: "w0", Accelerators: 8}, {Worker: "w1", Accelerators: 8}}
)

func newCoordinator() *gangs.Coordinator {
	return gangs.New(gangs.Config{Term: 1, LeaseTTL: leaseTTL, ReclaimWithin: time.Second, RecordWait: 3 * time.Second})
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

// startCalls brings a run of two members to the point where its starts are on their way.
func startCalls(c *gangs.Coordinator) []gangs.Call {
	launched := c.Step(gangs.Launch{Place: scheduler.Place{Job: "j", Run: "j#1", Members: twoMembers}}, startTime)
	for _, reserve := range calls(launched, gangs.CallReserve) {
		c.Step(gangs.CallEnded{Call: reserve}, startTime)
	}
	return calls(c.Step(gangs.StartRead{Run: "j#1", Valid: true}, startTime), gangs.CallStart)
}

func TestLeasesAreNotReleasedWhileAStartCallIsPending(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	starts := startCalls(c)
	is.Equal(len(starts), 2)
	after := c.Step(gangs.CallEnded{Call: starts[0], Err: errConnectionCut}, startTime)
	is.Equal(len(calls(after, gangs.CallRelease)), 0) // the other start may still arrive
	after = c.Step(gangs.CallEnded{Call: starts[1]}, startTime)
	is.Equal(len(calls(after, gangs.CallRelease)), 2)
}

func TestCancelWaitsForPendingStartCalls(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	starts := startCalls(c)
	after := c.Step(gangs.StopRun{Run: "j#1", Reason: structs.ReasonCancelled}, startTime)
	is.Equal(len(after), 0)
	c.Step(gangs.CallEnded{Call: starts[0]}, startTime)
	after = c.Step(gangs.CallEnded{Call: starts[1]}, startTime)
	is.Equal(len(calls(after, gangs.CallRelease)), 2)
}

func TestLeasesAreNotPolledBeforeTheRunStarted(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	for _, start := range startCalls(c) {
		is.True(start.MinLease > 0) // a worker with less left must refuse
	}
	for _, action := range c.Step(gangs.Tick{LogAvailable: true}, startTime.Add(leaseTTL/2)) {
		_, poll := action.(gangs.Poll)
		is.True(!poll)
	}
}

func TestExpiringReservationsAreRenewedBeforeTheStart(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	launched := c.Step(gangs.Launch{Place: scheduler.Place{Job: "j", Run: "j#1", Members: twoMembers}}, startTime)
	for _, reserve := range calls(launched, gangs.CallReserve) {
		c.Step(gangs.CallEnded{Call: reserve}, startTime)
	}
	late := c.Step(gangs.StartRead{Run: "j#1", Valid: true}, startTime.Add(leaseTTL*3/4))
	is.Equal(len(calls(late, gangs.CallStart)), 0)
	is.Equal(len(calls(late, gangs.CallReserve)), 2)
}

func TestAdoptedRunIsReleasedAfterEveryMemberReported(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	c.Step(gangs.Adopt{Job: "j", Run: "j#0", Members: twoMembers}, startTime)
	after := c.Step(gangs.StopRun{Run: "j#0", Reason: structs.ReasonCancelled}, startTime)
	is.Equal(len(after), 0) // the earlier holder's start may be on its way to either
	state := worker.State{Tasks: []worker.Task{{Run: "j#0", Phase: worker.TaskRunning}}}
	after = c.Step(gangs.WorkerState{Worker: "w0", Asked: startTime, State: state}, startTime)
	is.Equal(len(calls(after, gangs.CallRelease)), 0)
	after = c.Step(gangs.WorkerState{Worker: "w1", Asked: startTime, State: state}, startTime)
	is.True(len(calls(after, gangs.CallRelease)) >= 2) // both; a release may go out twice
}

func TestAdoptedRunThatNeverStartedIsRequeued(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	c.Step(gangs.Adopt{Job: "j", Run: "j#0", Members: twoMembers}, startTime)
	state := worker.State{Tasks: []worker.Task{{Run: "j#0", Phase: worker.TaskReserved}}}
	c.Step(gangs.WorkerState{Worker: "w0", Asked: startTime, State: state}, startTime)
	after := c.Step(gangs.WorkerState{Worker: "w1", Asked: startTime, State: state}, startTime)
	for _, action := range after {
		if stop, ok := action.(gangs.AppendStop); ok {
			is.True(stop.Stop.NotStarted) // so a job that may not be repeated may still run
			return
		}
	}
	t.Fatal("the run was not stopped")
}
