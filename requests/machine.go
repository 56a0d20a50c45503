// Package requests is the state machine of one short request: when it may be sent,
// when it may be retried and which outcome may be reported to its caller. The machine
// does no I/O and reads no clock: Step takes an event and the time and returns
// actions, which the executor in package instance carries out.
//
// It serves the product's own interface. A request is executed by a runner, which answers
// short requests; workers run the tasks of gangs, see package gangs.
package requests

import (
	"time"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/structs"
)

// Limits of one request.
const (
	// MaxAttempts is the maximum number of attempts, regardless of the retry budget.
	MaxAttempts = 4
	// MaxClaimAge is the maximum time from the creation of a claim to the first byte
	// sent. An instance that was paused for longer releases its claim, since other
	// instances may already have recorded the outcome as unknown.
	MaxClaimAge = 10 * time.Second
	// MaxStoredAnswerBytes is the maximum size in bytes of an answer that is stored with its key.
	MaxStoredAnswerBytes = 16 << 10
	// defaultRetryAfter is reported to callers if there is no better estimate.
	defaultRetryAfter = 2 * time.Second
)

// Spec describes a request at its arrival.
type Spec struct {
	Key        structs.KeyID // Key.Key is empty if the caller gave no key
	Class      string
	Idempotent bool
	Digest     uint64
	Deadline   time.Time
}

type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phasePicking
	phaseSending
	phaseDone
)

// Machine is the state of one request.
type Machine struct {
	spec         Spec
	claimID      string
	phase        phase
	claimedAt    time.Time
	mayHoldClaim bool
	attempts     int
	maybeSent    bool // bytes of an attempt may have reached a runner
	triedRunners []string
}

// New returns the machine of a request. claimID must be unique.
func New(spec Spec, claimID string) *Machine {
	return &Machine{spec: spec, claimID: claimID}
}

// Done reports whether the final answer was returned.
func (m *Machine) Done() bool { return m.phase == phaseDone }

// Step processes an event and returns the actions to execute. Events after the end
// and results of abandoned operations are ignored.
func (m *Machine) Step(event Event, now time.Time) []Action {
	if m.phase == phaseDone {
		return nil
	}
	switch e := event.(type) {
	case Started:
		return m.start(now)
	case ClaimResult:
		return m.onClaimResult(e, now)
	case RunnerPicked:
		return m.onRunnerPicked(e, now)
	case SlotRefused:
		return m.onSlotRefused(e)
	case AttemptEnded:
		return m.onAttemptEnded(e, now)
	case DeadlinePassed:
		return m.abort(structs.ReasonDeadlineExceeded)
	case CallerGone:
		return m.abort(structs.ReasonCallerGone)
	}
	return nil
}

func (m *Machine) start(now time.Time) []Action {
	if m.spec.Idempotent {
		m.phase = phasePicking
		return []Action{PickRunner{}}
	}
	m.phase = phaseClaiming
	m.claimedAt = now
	return []Action{AppendClaim{}}
}

func (m *Machine) onClaimResult(e ClaimResult, now time.Time) []Action {
	if m.phase != phaseClaiming {
		return nil
	}
	if e.Entry == nil {
		return m.onClaimUnread(e)
	}
	if e.Entry.Claim.ID != m.claimID {
		return m.finishFromEntry(e)
	}
	if e.Entry.Phase != ledger.KeyOpen {
		return m.finishLostClaim(structs.ReasonClaimHolderLost)
	}
	m.mayHoldClaim = true
	if m.claimExpired(now) {
		return m.finishNotRun(structs.ReasonClaimHolderLost, defaultRetryAfter)
	}
	m.phase = phasePicking
	return []Action{PickRunner{}}
}

// onClaimUnread ends a request whose claim may or may not be in the log. Nothing was
// sent, so the outcome is not run. The release covers the case that the claim took
// effect.
func (m *Machine) onClaimUnread(e ClaimResult) []Action {
	m.mayHoldClaim = e.Appended
	return m.finishNotRun(e.Reason, retryAfterFor(e.Reason))
}

// finishLostClaim ends a request whose claim another instance has closed meanwhile, as it
// took this instance for lost. Nothing was sent, so a release replaces the unknown outcome.
func (m *Machine) finishLostClaim(reason structs.Reason) []Action {
	m.mayHoldClaim = true
	return m.finishNotRun(reason, defaultRetryAfter)
}

// retryAfterFor returns the time after which to retry; 0 means that a retry cannot
// succeed, as the key has expired.
func retryAfterFor(reason structs.Reason) time.Duration {
	if reason == structs.ReasonKeyExpired {
		return 0
	}
	return defaultRetryAfter
}

func (m *Machine) finishFromEntry(e ClaimResult) []Action {
	return m.finish(AnswerFromEntry(e.Entry, m.spec.Class, m.spec.Digest, e.HolderLost))
}

// AnswerFromEntry returns the answer to a request whose key was claimed by another request.
// holderLost reports that the instance that holds an open claim is gone.
func AnswerFromEntry(entry *ledger.KeyEntry, class string, digest uint64, holderLost bool) Finish {
	if entry.Claim.Digest != digest || entry.Claim.Class != class {
		return Finish{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonKeyConflict}
	}
	switch entry.Phase {
	case ledger.KeyRan:
		return Finish{Outcome: structs.OutcomeRan, Status: entry.Status, Answer: entry.Answer, Replayed: true}
	case ledger.KeyUnknown:
		return Finish{Outcome: structs.OutcomeUnknown, Reason: entry.Reason, Replayed: true}
	case ledger.KeyReleased:
		return Finish{Outcome: structs.OutcomeNotRun, Reason: entry.Reason, RetryAfter: defaultRetryAfter}
	}
	if holderLost {
		return Finish{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonClaimHolderLost}
	}
	return Finish{Outcome: structs.OutcomeInProgress, RetryAfter: defaultRetryAfter}
}

func (m *Machine) claimExpired(now time.Time) bool {
	return m.mayHoldClaim && now.Sub(m.claimedAt) > MaxClaimAge && !m.maybeSent
}

func (m *Machine) onRunnerPicked(e RunnerPicked, now time.Time) []Action {
	if m.phase != phasePicking {
		return nil
	}
	if m.claimExpired(now) {
		return m.finishNotRun(structs.ReasonClaimHolderLost, defaultRetryAfter)
	}
	if !now.Before(m.spec.Deadline) {
		return m.abort(structs.ReasonDeadlineExceeded)
	}
	m.phase = phaseSending
	m.attempts++
	m.triedRunners = append(m.triedRunners, e.Runner)
	return []Action{SendAttempt{Runner: e.Runner, Attempt: m.attempts}}
}

func (m *Machine) onSlotRefused(e SlotRefused) []Action {
	if m.phase != phasePicking {
		return nil
	}
	return m.finishUnanswered(e.Reason, e.RetryAfter)
}

func (m *Machine) onAttemptEnded(e AttemptEnded, now time.Time) []Action {
	if m.phase != phaseSending {
		return nil
	}
	switch e.Kind {
	case AttemptAnswered:
		return m.onAnswered(e, now)
	case AttemptNotSent, AttemptRefused:
		return m.retryOrElse(e, now, func() []Action { return m.finishUnanswered(e.Reason, e.RetryAfter) })
	}
	m.maybeSent = true
	if !m.spec.Idempotent {
		return m.finishUnknown(e.Reason)
	}
	return m.retryOrElse(e, now, func() []Action { return m.finishUnknown(e.Reason) })
}

// onAnswered relays the answer. An idempotent request with a server error is first
// retried at another runner if a retry is allowed.
func (m *Machine) onAnswered(e AttemptEnded, now time.Time) []Action {
	relay := func() []Action { return m.finishRan(e) }
	if m.spec.Idempotent && e.Status >= 500 {
		m.maybeSent = true
		return m.retryOrElse(e, now, relay)
	}
	return relay()
}

func (m *Machine) retryOrElse(e AttemptEnded, now time.Time, fallback func() []Action) []Action {
	if !e.RetryAllowed || m.attempts >= MaxAttempts || !now.Before(m.spec.Deadline) {
		return fallback()
	}
	m.phase = phasePicking
	return []Action{PickRunner{Exclude: m.triedRunners}}
}

func (m *Machine) finishRan(e AttemptEnded) []Action {
	var actions []Action
	if m.mayHoldClaim {
		complete := AppendComplete{Outcome: structs.OutcomeRan, Status: e.Status}
		if len(e.Answer) <= MaxStoredAnswerBytes {
			complete.Answer = e.Answer
			complete.AnswerStored = true
		}
		actions = append(actions, complete)
	}
	return append(actions, m.finish(Finish{Outcome: structs.OutcomeRan, Status: e.Status, Answer: e.Answer})...)
}

func (m *Machine) finishUnknown(reason structs.Reason) []Action {
	var actions []Action
	if m.mayHoldClaim {
		actions = append(actions, AppendComplete{Outcome: structs.OutcomeUnknown, Reason: reason})
	}
	retryAfter := time.Duration(0)
	if m.spec.Idempotent {
		retryAfter = defaultRetryAfter
	}
	return append(actions, m.finish(Finish{Outcome: structs.OutcomeUnknown, Reason: reason, RetryAfter: retryAfter})...)
}

func (m *Machine) finishNotRun(reason structs.Reason, retryAfter time.Duration) []Action {
	var actions []Action
	if m.mayHoldClaim {
		actions = append(actions, AppendRelease{Reason: reason})
	}
	return append(actions, m.finish(Finish{Outcome: structs.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter})...)
}

// abort ends the request at once in any phase. A claim whose append is pending is
// released too, since it may be in the log.
func (m *Machine) abort(reason structs.Reason) []Action {
	inFlight := m.phase == phaseSending
	if m.phase == phaseClaiming {
		m.mayHoldClaim = true
	}
	actions := []Action{Abandon{}} // of the pending append, slot request or attempt
	if inFlight {
		m.maybeSent = true
		return append(actions, m.finishUnknown(reason)...)
	}
	return append(actions, m.finishUnanswered(reason, defaultRetryAfter)...)
}

// finishUnanswered ends a request without an answer. A retryAfter of 0 means that there is
// no estimate.
func (m *Machine) finishUnanswered(reason structs.Reason, retryAfter time.Duration) []Action {
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	if m.maybeSent {
		return m.finishUnknown(reason)
	}
	return m.finishNotRun(reason, retryAfter)
}

func (m *Machine) finish(finish Finish) []Action {
	m.phase = phaseDone
	return []Action{finish}
}
