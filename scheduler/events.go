package scheduler

import (
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// Time is a point in time or a duration in milliseconds. The caller chooses the origin.
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
	ID              string
	Workspace       string
	Class           string
	Shape           structs.Shape
	SubmitTime      Time
	Deadline        Time // submission plus the target of the class
	DeclaredRunTime Time // run time expected by the caller; 0 if none
	Idempotent      bool
	// Pinned says that the job has started before and may not be repeated, so its runs are
	// never preempted. For new jobs it follows from Idempotent.
	Pinned bool
}

// Event is an input of the scheduler.
type Event interface{ isEvent() }

// JobSubmitted adds a job to the queue.
type JobSubmitted struct{ Job JobSpec }

// JobCancelled cancels a job.
type JobCancelled struct{ Job string }

// RunAdopted reports a run that an earlier scheduler started.
type RunAdopted struct {
	Job     JobSpec
	Run     string
	Members []structs.Member
	Started Time
}

// Result is how a run ended.
type Result int

// Results of runs.
const (
	// RunFinished means every task succeeded.
	RunFinished Result = iota + 1
	// RunFailed means a task failed; Worker names its worker.
	RunFailed
	// RunLost means a member was lost; Worker names it.
	RunLost
	// RunPreempted means the run was preempted after a checkpoint.
	RunPreempted
	// RunStopped means the run was stopped without a checkpoint.
	RunStopped
	// RunNotStarted means the run could not be started; Worker names the worker that refused
	// it.
	RunNotStarted
	// RunAborted means the run was stopped because its job was cancelled.
	RunAborted
)

// RunEnded reports the end of a run and releases its accelerators.
type RunEnded struct {
	Run    string
	Result Result
	Worker string
}

// WorkerUp adds a worker or marks it up again.
type WorkerUp struct{ Worker WorkerSpec }

// WorkerDown marks a worker down.
type WorkerDown struct{ Worker string }

// TargetsChanged applies a targets document.
type TargetsChanged struct{ Targets *targets.Targets }

// LogState says whether the platform's log accepts appends. While it does not, jobs that may
// not be repeated stay queued, because their start cannot be recorded.
type LogState struct{ Available bool }

// Tick advances the time for decisions that depend on it alone.
type Tick struct{}

func (JobSubmitted) isEvent()   {}
func (JobCancelled) isEvent()   {}
func (RunAdopted) isEvent()     {}
func (RunEnded) isEvent()       {}
func (WorkerUp) isEvent()       {}
func (WorkerDown) isEvent()     {}
func (TargetsChanged) isEvent() {}
func (LogState) isEvent()       {}
func (Tick) isEvent()           {}

// Action is a decision that the caller carries out.
type Action interface{ isAction() }

// Place starts a job on all of the given workers or on none. InGuarantee says that the run is
// within the guarantee of its workspace.
type Place struct {
	Job         string
	Run         string
	Members     []structs.Member
	InGuarantee bool
	Resume      bool // resume from the last checkpoint
}

// Preempt stops a run after a checkpoint. ForJob is the job that it is preempted for.
type Preempt struct {
	Job    string
	Run    string
	ForJob string
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

// Quarantine takes a worker out of use, or returns it to full use if Lifted: not when the
// quarantine is over, but when the worker has passed the probation that follows.
type Quarantine struct {
	Worker string
	Lifted bool
}

// GuaranteeUnfit reports that the trusted workers cannot hold a guaranteed shape, or that they
// can again if Restored.
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

// Policy is a scheduling policy.
type Policy interface {
	// Step applies an event and returns the actions, which the caller carries out in order.
	// The time never goes back.
	Step(event Event, now Time) []Action
	// FreeByRack returns the free accelerators of each usable worker by rack, to measure
	// fragmentation. The result is valid until the next Step.
	FreeByRack() [][]int
	// QueueLength returns the number of queued jobs.
	QueueLength() int
}
