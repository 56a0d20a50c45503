package requests

import (
	"time"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/structs"
)

// Event is an input of the Machine.
type Event interface{ isEvent() }

// Started is the first event of every request.
type Started struct{}

// ClaimResult reports the key's entry in the fold after the claim was appended. Entry is
// nil if the claim could not be read back; Reason and Appended tell more of this case.
type ClaimResult struct {
	Entry  *ledger.KeyEntry
	Reason structs.Reason // why Entry is nil
	// Appended reports whether the claim was submitted to the log, where it may exist
	// although it was not read back.
	Appended bool
	// HolderLost reports that the instance that holds the entry's claim is gone, so that
	// the outcome is recorded as unknown.
	HolderLost bool
}

// RunnerPicked reports that the request was assigned a slot of a runner.
type RunnerPicked struct{ Runner string }

// SlotRefused reports that no slot will be available in time.
type SlotRefused struct {
	Reason     structs.Reason
	RetryAfter time.Duration
}

// AttemptKind is the kind of an attempt's result.
type AttemptKind int

// Kinds of attempt results.
const (
	// AttemptNotSent means that no byte of the request was sent.
	AttemptNotSent AttemptKind = iota + 1
	// AttemptRefused means that the runner reported that it did not start the request.
	AttemptRefused
	// AttemptAnswered means that the complete answer of this attempt arrived.
	AttemptAnswered
	// AttemptInterrupted means that bytes were sent and no complete answer arrived.
	AttemptInterrupted
)

// AttemptEnded is the result of the latest attempt.
type AttemptEnded struct {
	Kind       AttemptKind
	Reason     structs.Reason
	Status     int
	Answer     []byte
	RetryAfter time.Duration
	// RetryAllowed reports whether the retry budget permits a retry. The budget is
	// consulted once for each failed attempt.
	RetryAllowed bool
}

// DeadlinePassed reports that the deadline of the request has passed.
type DeadlinePassed struct{}

// CallerGone reports that the caller closed its connection.
type CallerGone struct{}

func (Started) isEvent()        {}
func (ClaimResult) isEvent()    {}
func (RunnerPicked) isEvent()   {}
func (SlotRefused) isEvent()    {}
func (AttemptEnded) isEvent()   {}
func (DeadlinePassed) isEvent() {}
func (CallerGone) isEvent()     {}

// Action is an instruction for the executor, which executes actions in order.
type Action interface{ isAction() }

// AppendClaim requests that the claim is appended and read back (ClaimResult).
type AppendClaim struct{}

// PickRunner requests a slot of a runner (RunnerPicked or SlotRefused).
type PickRunner struct{ Exclude []string }

// SendAttempt requests an attempt at a runner (AttemptEnded).
type SendAttempt struct {
	Runner  string
	Attempt int
}

// Abandon cancels the pending operation. The connection of a pending attempt must be
// closed.
type Abandon struct{}

// AppendRelease requests that the release of the claim is appended.
type AppendRelease struct{ Reason structs.Reason }

// AppendComplete requests that the outcome of the claim is appended.
type AppendComplete struct {
	Outcome      structs.Outcome
	Reason       structs.Reason
	Status       int
	Answer       []byte
	AnswerStored bool
}

// Finish returns the final answer to the caller. Answers of requests that ran are
// relayed unchanged.
type Finish struct {
	Outcome    structs.Outcome
	Reason     structs.Reason
	Status     int
	Answer     []byte
	Replayed   bool // the answer is the stored one of an earlier request
	RetryAfter time.Duration
}

func (AppendClaim) isAction()    {}
func (PickRunner) isAction()     {}
func (SendAttempt) isAction()    {}
func (Abandon) isAction()        {}
func (AppendRelease) isAction()  {}
func (AppendComplete) isAction() {}
func (Finish) isAction()         {}
