package gangs

import (
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

// Action is an instruction for the executor.
type Action interface{ isAction() }

// CallKind is the kind of a call to a worker.
type CallKind int

// Kinds of calls to a worker.
const (
	CallReserve CallKind = iota + 1
	CallStart
	CallStop
	CallRelease
)

// Call requests a call to one worker. Its result is reported by CallEnded.
type Call struct {
	Kind         CallKind
	Worker       string
	Run          string
	Job          string
	Accelerators int
	Checkpoint   bool
	Resume       bool
	Payload      string
	MinLease     time.Duration // remaining lease time that a start call requires
}

// Poll requests a call that renews the leases of runs on one worker and fetches the
// worker's report, which WorkerState returns.
type Poll struct {
	Worker string
	Runs   []string
}

// AppendStart requests that the start of a run is appended to the log. The
// verdict of the fold is reported by StartRead.
type AppendStart struct{ Start structs.Start }

// AppendStop requests that the stop of a run is appended to the log.
type AppendStop struct{ Stop structs.Stop }

// AppendEnd requests that the end of a job is appended to the log.
type AppendEnd struct{ End structs.End }

// RunEnded notifies the scheduler that the accelerators of a run are free.
type RunEnded struct{ Ended scheduler.RunEnded }

func (Call) isAction()        {}
func (Poll) isAction()        {}
func (AppendStart) isAction() {}
func (AppendStop) isAction()  {}
func (AppendEnd) isAction()   {}
func (RunEnded) isAction()    {}

// Event is an input of the Coordinator.
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

// StopRun ends a run, either after a checkpoint (preemption) or at once.
type StopRun struct {
	Run        string
	Checkpoint bool
	Reason     structs.Reason
}

// CallEnded is the result of a Call. Err is nil, an error of package worker, or
// another error, after which the call may or may not have taken effect.
type CallEnded struct {
	Call Call
	Err  error
}

// StartRead reports that a start record was read back, with the verdict of the fold.
type StartRead struct {
	Run   string
	Valid bool
}

// WorkerState is the result of a Poll. Err is set if the worker did not answer.
type WorkerState struct {
	Worker   string
	PolledAt time.Time // when the poll was sent, or earlier
	State    worker.State
	Err      error
}

// Tick triggers the time-dependent steps. LogAvailable reports whether the log
// acknowledges appends.
type Tick struct{ LogAvailable bool }

func (Launch) isEvent()      {}
func (Adopt) isEvent()       {}
func (StopRun) isEvent()     {}
func (CallEnded) isEvent()   {}
func (StartRead) isEvent()   {}
func (WorkerState) isEvent() {}
func (Tick) isEvent()        {}
