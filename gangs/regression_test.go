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

// Each test below is a minimal reproduction of a failure that the property test found.

var (
	startTime        = time.Unix(1_800_000_000, 0)
	errConnectionCut = errors.New("cut off")
	twoMembers       = []structs.Member{{Worker: "w0", Accelerators: 8}, {Worker: "w1", Accelerators: 8}}
)

func newCoordinator() *gangs.Coordinator {
	return gangs.New(gangs.Config{Term: 1, LeaseTTL: leaseTTL, ReclaimTimeout: time.Second, RecordTimeout: 3 * time.Second})
}

// calls returns the calls of one kind among actions.
func calls(actions []gangs.Action, kind gangs.CallKind) []gangs.Call {
	var found []gangs.Call
	for _, action := range actions {
		if call, ok := action.(gangs.Call); ok && call.Kind == kind {
			found = append(found, call)
		}
	}
	return found
}

// startCalls launches a run of two members and returns its start calls, which are
// not yet answered.
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
	is.Equal(len(calls(after, gangs.CallRelease)), 0) // the other start call may still take effect
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
		is.True(start.MinLease > 0) // a worker whose lease has less time left must refuse
	}
	for _, action := range c.Step(gangs.Tick{LogAvailable: true}, startTime.Add(leaseTTL/2)) {
		_, isPoll := action.(gangs.Poll)
		is.True(!isPoll)
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
	is.Equal(len(after), 0) // a start call of the previous leader may be in flight to either worker
	state := worker.State{Tasks: []worker.Task{{Run: "j#0", Phase: worker.TaskRunning}}}
	after = c.Step(gangs.WorkerState{Worker: "w0", PolledAt: startTime, State: state}, startTime)
	is.Equal(len(calls(after, gangs.CallRelease)), 0)
	after = c.Step(gangs.WorkerState{Worker: "w1", PolledAt: startTime, State: state}, startTime)
	is.True(len(calls(after, gangs.CallRelease)) >= 2) // both members; a release may be sent twice
}

func TestAdoptedRunThatNeverStartedIsRequeued(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	c.Step(gangs.Adopt{Job: "j", Run: "j#0", Members: twoMembers}, startTime)
	state := worker.State{Tasks: []worker.Task{{Run: "j#0", Phase: worker.TaskReserved}}}
	c.Step(gangs.WorkerState{Worker: "w0", PolledAt: startTime, State: state}, startTime)
	after := c.Step(gangs.WorkerState{Worker: "w1", PolledAt: startTime, State: state}, startTime)
	for _, action := range after {
		if stop, ok := action.(gangs.AppendStop); ok {
			is.True(stop.Stop.NotStarted) // so that a job that is not idempotent may run again
			return
		}
	}
	t.Fatal("no stop record was appended for the run")
}

// Guards against a run placed on accelerators that are still leased: a release that is not answered
// may not have taken effect.
func TestRunWithAnUnansweredReleaseEndsWithItsLeases(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	for _, start := range startCalls(c) {
		c.Step(gangs.CallEnded{Call: start}, startTime)
	}
	releases := calls(c.Step(gangs.StopRun{Run: "j#1", Reason: structs.ReasonCancelled}, startTime), gangs.CallRelease)
	is.Equal(len(releases), 2)
	after := c.Step(gangs.CallEnded{Call: releases[0]}, startTime)
	after = append(after, c.Step(gangs.CallEnded{Call: releases[1], Err: errConnectionCut}, startTime)...)
	after = append(after, c.Step(gangs.Tick{LogAvailable: true}, startTime.Add(leaseTTL*5/4))...) // a poll may renew the lease meanwhile
	is.Equal(endedRuns(after), 0)
	is.Equal(endedRuns(c.Step(gangs.Tick{LogAvailable: true}, startTime.Add(leaseTTL*5/4+time.Millisecond))), 1)
}

func TestRunEndsOnceItsWorkersHoldNoLease(t *testing.T) {
	is := is.New(t)
	c := newCoordinator()
	for _, start := range startCalls(c) {
		c.Step(gangs.CallEnded{Call: start}, startTime)
	}
	releases := calls(c.Step(gangs.StopRun{Run: "j#1", Reason: structs.ReasonCancelled}, startTime), gangs.CallRelease)
	c.Step(gangs.CallEnded{Call: releases[0]}, startTime)
	is.Equal(endedRuns(c.Step(gangs.CallEnded{Call: releases[1], Err: worker.ErrNoLease}, startTime)), 1)
}

func endedRuns(actions []gangs.Action) int {
	count := 0
	for _, action := range actions {
		if _, ok := action.(gangs.RunEnded); ok {
			count++
		}
	}
	return count
}
