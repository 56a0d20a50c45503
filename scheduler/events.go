package scheduler

import (
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// Time is a point in time or a span, in milliseconds. The origin is the caller's.
type Time int64

// Spans of time.
const (
	Millisecond Time = 1
	Second      Time = 1000
	Minute           = 60 * Second
)

// WorkerSpec describes a worker.
type WorkerSpec struct {
	ID               string
	Rack             string
	AvailabilityZone string
	Accelerators     int
}

// JobSpec describes a job as submitted.
type JobSpec struct {
	ID         string
	Workspace  string
	Class      string
	Shape      structs.Shape
	Submit     Time
	Deadline   Time // submission plus the class's target
	Declared   Time // the caller's guess of the run time; 0 if none
	Idempotent bool
	// Pinned says that the job has started before and may not be repeated, so
	// that it must never be stopped for others. It follows from Idempotent for
	// new jobs.
	Pinned bool
}

// Event is something the scheduler must know.
type Event interface{ isEvent() }

// Submitted adds a job to the queue.
type Submitted struct{ Job JobSpec }

// Cancelled withdraws a job.
type Cancelled struct{ Job string }

// Adopted tells of a run that was started before this scheduler was made.
type Adopted struct {
	Job     JobSpec
	Run     string
	Members []structs.Member
	Started Time
}

// Result is how a run ended.
type Result int

// Results of runs.
const (
	// RunFinished means every task ended well.
	RunFinished Result = iota + 1
	// RunFailed means a task failed; Worker names where.
	RunFailed
	// RunLost means a member was lost; Worker names it.
	RunLost
	// RunPreempted means the run was stopped for others after a checkpoint.
	RunPreempted
	// RunStopped means the run was stopped without a checkpoint.
	RunStopped
	// RunNotStarted means the run could not be started; Worker names who refused.
	RunNotStarted
	// RunAborted means the run was stopped since its job was cancelled.
	RunAborted
)

// RunEnded gives a run's accelerators back.
type RunEnded struct {
	Run    string
	Result Result
	Worker string
}

// WorkerUp adds a worker or brings it back.
type WorkerUp struct{ Worker WorkerSpec }

// WorkerDown takes a worker out.
type WorkerDown struct{ Worker string }

// TargetsChanged puts a targets document in force.
type TargetsChanged struct{ Targets *targets.Targets }

// LogState says whether the platform's log takes appends. While it does not,
// jobs that may not be repeated stay queued, as their start cannot be recorded.
type LogState struct{ Available bool }

// Tick lets time-dependent decisions happen.
type Tick struct{}

func (Submitted) isEvent()      {}
func (Cancelled) isEvent()      {}
func (Adopted) isEvent()        {}
func (RunEnded) isEvent()       {}
func (WorkerUp) isEvent()       {}
func (WorkerDown) isEvent()     {}
func (TargetsChanged) isEvent() {}
func (LogState) isEvent()       {}
func (Tick) isEvent()           {}

// Action is something the caller must do.
type Action interface{ isAction() }

// Place starts a job on workers, all or none. Inside says that the run is
// within its workspace's guarantee.
type Place struct {
	Job     string
	Run     string
	Members []structs.Member
	Inside  bool
	Resume  bool // continue from the last checkpoint
}

// Preempt stops a run after a checkpoint; For is the job it gives way to.
type Preempt struct {
	Job string
	Run string
	For string
}

// Abort stops a run at once.
type Abort struct {
	Job    string
	Run    string
	Reason structs.Reason
}

// End ends a job that will not run any more.
type End struct {
	Job     string
	Outcome structs.Outcome
	Reason  structs.Reason
	Detail  string
}

// Quarantine takes a worker out of use, or back into it when Lifted.
type Quarantine struct {
	Worker string
	Lifted bool
}

// GuaranteeUnfit says that the live workers cannot hold a guaranteed shape, or
// that they can again when Restored.
type GuaranteeUnfit struct {
	Workspace string
	Shape     structs.Shape
	Restored  bool
}

func (Place) isAction()          {}
func (Preempt) isAction()        {}
func (Abort) isAction()          {}
func (End) isAction()            {}
func (Quarantine) isAction()     {}
func (GuaranteeUnfit) isAction() {}

// Policy is a scheduler as its callers see it.
type Policy interface {
	// Step takes an event at a time that never goes back and returns what to do.
	// The caller carries out every action, in order.
	Step(event Event, now Time) []Action
	// Free returns the free accelerators of each usable worker, by rack, for
	// measuring fragmentation. The result is valid until the next Step.
	Free() [][]int
	// Queued is the number of jobs that wait.
	Queued() int
}
