package gangs_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/gangs"
	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

// recording returns a coordinator with a reserved run whose start is being recorded.
func recording() *gangs.Coordinator {
	c := newCoordinator()
	launched := c.Step(gangs.Launch{Place: scheduler.Place{Job: "j", Run: "j#1", Members: twoMembers}}, startTime)
	for _, reserve := range calls(launched, gangs.CallReserve) {
		c.Step(gangs.CallEnded{Call: reserve}, startTime)
	}
	return c
}

// adoptedAndReserved returns a coordinator with an adopted run of which no task was started.
func adoptedAndReserved() *gangs.Coordinator {
	c := newCoordinator()
	c.Step(gangs.Adopt{Job: "j", Run: "j#1", Members: twoMembers}, startTime)
	return c
}

// reservedReport is a worker's report that the run is reserved there.
func reservedReport(name string) gangs.WorkerState {
	state := worker.State{Tasks: []worker.Task{{Run: "j#1", Job: "j", Phase: worker.TaskReserved}}}
	return gangs.WorkerState{Worker: name, PolledAt: startTime.Add(time.Millisecond), State: state}
}

// Guards against withdrawals that are all recorded as refused reservations.
func TestWithdrawalIsRecordedWithItsCause(t *testing.T) {
	renewal := func(c *gangs.Coordinator) gangs.Call {
		return calls(c.Step(gangs.Tick{LogAvailable: true}, startTime.Add(leaseTTL/2+time.Millisecond)), gangs.CallReserve)[0]
	}
	for _, test := range []struct {
		name   string
		begin  func() *gangs.Coordinator
		event  func(*gangs.Coordinator) gangs.Event
		after  time.Duration
		reason structs.Reason
	}{
		{"cancelled", recording, func(*gangs.Coordinator) gangs.Event {
			return gangs.StopRun{Run: "j#1", Reason: structs.ReasonCancelled}
		}, 0, structs.ReasonCancelled},
		{"preempted", recording, func(*gangs.Coordinator) gangs.Event {
			return gangs.StopRun{Run: "j#1", Checkpoint: true, Reason: structs.ReasonPreempted}
		}, 0, structs.ReasonPreempted},
		{"lease not renewed", recording, func(c *gangs.Coordinator) gangs.Event {
			return gangs.CallEnded{Call: renewal(c), Err: worker.ErrNoCapacity}
		}, leaseTTL/2 + 2*time.Millisecond, structs.ReasonReserveRefused},
		{"start not recorded", recording, func(*gangs.Coordinator) gangs.Event {
			return gangs.Tick{LogAvailable: true}
		}, 4 * time.Second, structs.ReasonLogUnavailable},
		{"never started by the former leader", adoptedAndReserved, func(c *gangs.Coordinator) gangs.Event {
			c.Step(reservedReport("w0"), startTime.Add(2*time.Millisecond))
			return reservedReport("w1")
		}, 2 * time.Millisecond, structs.ReasonStaleTerm},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := test.begin()
			var stops []structs.Stop
			for _, action := range c.Step(test.event(c), startTime.Add(test.after)) {
				if stop, ok := action.(gangs.AppendStop); ok {
					stops = append(stops, stop.Stop)
				}
			}
			is.Equal(stops, []structs.Stop{{Job: "j", Run: "j#1", Term: 1, Reason: test.reason, NotStarted: true}})
		})
	}
}
