package requests

import (
	"time"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/structs"
)

// Event is something that happened to the request.
type Event interface{ isEvent() }

// Started is the first event.
type Started struct{}

// ClaimRead says how the claim stands in the fold. Entry is the key's entry, or
// nil if the claim could not be read back.
type ClaimRead struct {
	Entry  *ledger.KeyEntry
	Reason structs.Reason // why Entry is nil
	// Appended says that the claim was handed to the log, so it may stand there
	// although it was not read back.
	Appended bool
	// HolderLost says that the entry's holder is gone and its end is recorded as unknown.
	HolderLost bool
}

// RunnerPicked gives the request a slot of a runner.
type RunnerPicked struct{ Runner string }

// RunnerRefused says that no slot can be had in time.
type RunnerRefused struct {
	Reason     structs.Reason
	RetryAfter time.Duration
}

// AttemptKind says how far an attempt came.
type AttemptKind int

// Kinds of attempt results.
const (
	// AttemptNotSent means no byte of the request left this process.
	AttemptNotSent AttemptKind = iota + 1
	// AttemptRefused means the runner itself said it did not start.
	AttemptRefused
	// AttemptAnswered means the whole answer of this very attempt arrived.
	AttemptAnswered
	// AttemptBroken means bytes were sent and no whole answer arrived.
	AttemptBroken
)

// AttemptEnded is the result of the attempt that was sent last.
type AttemptEnded struct {
	Kind       AttemptKind
	Reason     structs.Reason
	Status     int
	Answer     []byte
	RetryAfter time.Duration
	// RetryAllowed is the retry budget's word, asked once for each failed attempt.
	RetryAllowed bool
}

// DeadlinePassed says that the caller's time is over.
type DeadlinePassed struct{}

// CallerGone says that the caller closed its connection.
type CallerGone struct{}

func (Started) isEvent()        {}
func (ClaimRead) isEvent()      {}
func (RunnerPicked) isEvent()   {}
func (RunnerRefused) isEvent()  {}
func (AttemptEnded) isEvent()   {}
func (DeadlinePassed) isEvent() {}
func (CallerGone) isEvent()     {}

// Action is something the executor must do, in the order given.
type Action interface{ isAction() }

// AppendClaim asks for the claim to be appended and read back (ClaimRead).
type AppendClaim struct{}

// Pick asks for a runner's slot (RunnerPicked or RunnerRefused).
type Pick struct{ Exclude []string }

// Send asks for an attempt (AttemptEnded).
type Send struct {
	Runner  string
	Attempt int
}

// Abandon ends what is being waited for. An attempt's connection must be closed.
type Abandon struct{}

// AppendRelease asks for the claim to be given back.
type AppendRelease struct{ Reason structs.Reason }

// AppendComplete asks for the claim's end to be recorded.
type AppendComplete struct {
	Outcome structs.Outcome
	Reason  structs.Reason
	Status  int
	Answer  []byte
	Kept    bool
}

// Finish gives the caller its final answer. Ran answers are relayed as they are.
type Finish struct {
	Outcome    structs.Outcome
	Reason     structs.Reason
	Status     int
	Answer     []byte
	Replayed   bool // the answer is a kept one of an earlier request
	RetryAfter time.Duration
}

func (AppendClaim) isAction()    {}
func (Pick) isAction()           {}
func (Send) isAction()           {}
func (Abandon) isAction()        {}
func (AppendRelease) isAction()  {}
func (AppendComplete) isAction() {}
func (Finish) isAction()         {}
