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
	phaseReleasing // ended; its leases are being given up
)

// member is one worker's part of a run.
type member struct {
	structs.Member
	acked        bool             // the current phase's call was answered well
	callEnded    bool             // the current phase's call has ended
	phase        worker.TaskPhase // as last reported
	reported     bool             // the worker has reported under this term
	leaseRenewed time.Time        // the lease is held until TTL after this, at least
}

// gang is one run under way.
type gang struct {
	job             string
	run             string
	payload         string
	resume          bool
	idempotent      bool
	phase           phase
	phaseStarted    time.Time // when the phase began
	startRecorded   bool      // the start was read back as valid
	startAppended   bool      // the start was handed to the log
	startUnrecorded bool      // to be started before its record is read back, as the log is out
	members         []*member
	roundStarted    time.Time      // when the present round of reservations was asked for
	stopReason      structs.Reason // why it is being stopped
	// failedMember is the first member that did not start, and pending a stop that
	// was asked for while starting. Both wait until every start call has ended:
	// to release one lease while a start is on its way to another worker would
	// let the gang run in part.
	failedMember string
	pendingStop  *StopRun
	// adoptedAt is when the run was taken over, or zero; halting is an end that
	// waits until no start of the earlier holder can count any more.
	adoptedAt   time.Time
	pendingHalt *haltCause
	result      scheduler.RunEnded // told to the scheduler once the leases are given up
}

// haltCause is the end of a run on all members.
type haltCause struct {
	reason       structs.Reason
	failedWorker string
	result       scheduler.Result
}
