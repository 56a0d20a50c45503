package gangs

import (
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

type phase int

const (
	phaseReserving phase = iota + 1
	phaseRecording
	phaseStarting
	phaseRunning
	phaseStopping
	phaseReleasing // the run ended; its leases are being released
)

// member is the part of a run on one worker.
type member struct {
	structs.Member
	acked        bool             // the call of the current phase succeeded
	callEnded    bool             // the call of the current phase has returned, also with an error
	phase        worker.TaskPhase // phase of the task as last reported
	reported     bool             // the worker has reported under this term
	leaseRenewed time.Time        // the lease lasts at least LeaseTTL from here
}

// gang is the state of one active run.
type gang struct {
	job             string
	run             string
	payload         string
	resume          bool
	idempotent      bool
	phase           phase
	phaseStarted    time.Time // start of the current phase
	startRecorded   bool      // the start record was read back as valid
	startAppended   bool      // the start record was submitted to the log
	startUnrecorded bool      // start without waiting for the record, as the log is unavailable
	members         []*member
	roundStarted    time.Time      // start of the current round of reservations
	stopReason      structs.Reason // reason of the stop in progress
	// failedMember is the first member whose start call failed; pendingStop is a stop
	// requested during the start. Both are handled after every start call has ended:
	// if one lease were released while a start call was in flight to another worker,
	// the gang would run in part.
	failedMember string
	pendingStop  *StopRun
	// adoptedAt is when the run was taken over, or zero. pendingHalt is a halt that is
	// deferred until no start call of the previous leader can take effect.
	adoptedAt   time.Time
	pendingHalt *haltCause
	result      scheduler.RunEnded // reported to the scheduler after the leases are released
}

// haltCause describes why a run is halted or withdrawn and what is reported of it.
type haltCause struct {
	reason       structs.Reason
	failedWorker string
	result       scheduler.Result
}
