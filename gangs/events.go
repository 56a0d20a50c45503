package gangs

import (
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

// Action is something the executor must do.
type Action interface{ isAction() }

// CallKind names a call to a worker.
type CallKind int

// Kinds of calls.
const (
	CallReserve CallKind = iota + 1
	CallStart
	CallStop
	CallRelease
)

// Call asks for a call to one worker; its end comes back as CallEnded.
type Call struct {
	Kind         CallKind
	Worker       string
	Run          string
	Job          string
	Accelerators int
	Checkpoint   bool
	Resume       bool
	Payload      string
	MinLease     time.Duration // for a start: the least that must be left of the lease
}

// Poll asks for the leases of runs on one worker to be renewed; the worker's
// state comes back as WorkerState.
type Poll struct {
	Worker string
	Runs   []string
}

// AppendStart asks for a run's start to be recorded; what the fold makes of it
// comes back as StartRead.
type AppendStart struct{ Start structs.Start }

// AppendStop asks for a run's stop to be recorded.
type AppendStop struct{ Stop structs.Stop }

// AppendEnd asks for a job's end to be recorded.
type AppendEnd struct{ End structs.End }

// RunEnded tells the scheduler that a run's accelerators are free.
type RunEnded struct{ Ended scheduler.RunEnded }

func (Call) isAction()        {}
func (Poll) isAction()        {}
func (AppendStart) isAction() {}
func (AppendStop) isAction()  {}
func (AppendEnd) isAction()   {}
func (RunEnded) isAction()    {}

// Event is something that happened to a run.
type Event interface{ isEvent() }

// Launch starts a run that the scheduler placed.
type Launch struct {
	Place      scheduler.Place
	Payload    string
	Idempotent bool
}

// Adopt takes over a run that another instance recorded as started.
type Adopt struct {
	Job     string
	Run     string
	Members []structs.Member
}

// StopRun ends a run for others (Checkpoint) or at once.
type StopRun struct {
	Run        string
	Checkpoint bool
	Reason     structs.Reason
}

// CallEnded is the end of a call. Err is nil, one of package worker's errors,
// or another one that leaves open whether the call took effect.
type CallEnded struct {
	Call Call
	Err  error
}

// StartRead says how the fold ruled on a run's start.
type StartRead struct {
	Run   string
	Valid bool
}

// WorkerState is a worker's answer to a poll, or the lack of one.
type WorkerState struct {
	Worker string
	Asked  time.Time // before the poll was sent
	State  worker.State
	Err    error
}

// Tick lets time-dependent steps happen. LogAvailable says whether appends are
// being answered.
type Tick struct{ LogAvailable bool }

func (Launch) isEvent()      {}
func (Adopt) isEvent()       {}
func (StopRun) isEvent()     {}
func (CallEnded) isEvent()   {}
func (StartRead) isEvent()   {}
func (WorkerState) isEvent() {}
func (Tick) isEvent()        {}
