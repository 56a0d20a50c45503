// Package requests owns the decisions about one request: when it may be sent,
// when it may be tried again and what its caller may truthfully be told. The
// machine is pure: Step takes an event and the time and returns actions; the
// executor in package instance carries them out.
package requests

import (
	"time"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/structs"
)

// Limits of one request.
const (
	// MaxAttempts bounds the tries of one request, whatever the retry budget says.
	MaxAttempts = 4
	// ClaimValid is the longest time from a claim's creation to its first byte
	// sent. A holder that was paused longer gives the claim back, since others
	// may already have called its end unknown.
	ClaimValid = 10 * time.Second
	// MaxKeptAnswer is the largest answer that is kept with its key, in bytes.
	MaxKeptAnswer = 16 << 10
	// retryLater is told to callers when nothing better is known.
	retryLater = 2 * time.Second
)

// Spec is what is known of a request at its arrival.
type Spec struct {
	Key        structs.KeyID // empty Key.Key means that the caller gave none
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
	spec      Spec
	claimID   string
	phase     phase
	claimedAt time.Time
	claimed   bool
	attempts  int
	sent      bool // bytes of some attempt may have reached a runner
	tried     []string
	last      AttemptEnded
}

// New returns the machine of a request. claimID must be unique.
func New(spec Spec, claimID string) *Machine {
	return &Machine{spec: spec, claimID: claimID}
}

// Done reports whether the final answer was given.
func (m *Machine) Done() bool { return m.phase == phaseDone }

// Step takes an event. Events that come after the end, or that belong to
// something already given up, change nothing.
func (m *Machine) Step(event Event, now time.Time) []Action {
	if m.phase == phaseDone {
		return nil
	}
	switch e := event.(type) {
	case Started:
		return m.start(now)
	case ClaimRead:
		return m.claimRead(e, now)
	case RunnerPicked:
		return m.runnerPicked(e, now)
	case RunnerRefused:
		return m.runnerRefused(e)
	case AttemptEnded:
		return m.attemptEnded(e, now)
	case DeadlinePassed:
		return m.giveUp(structs.ReasonDeadline)
	case CallerGone:
		return m.giveUp(structs.ReasonCallerGone)
	}
	return nil
}

func (m *Machine) start(now time.Time) []Action {
	if m.spec.Idempotent {
		m.phase = phasePicking
		return []Action{Pick{}}
	}
	m.phase = phaseClaiming
	m.claimedAt = now
	return []Action{AppendClaim{}}
}

func (m *Machine) claimRead(e ClaimRead, now time.Time) []Action {
	if m.phase != phaseClaiming {
		return nil
	}
	if e.Entry == nil {
		return m.claimUnread(e)
	}
	if e.Entry.Claim.ID != m.claimID {
		return m.answerFromEntry(e)
	}
	if e.Entry.Phase != ledger.KeyOpen {
		return m.refuseClaim(structs.ReasonHolderLost)
	}
	m.claimed = true
	if m.claimTooOld(now) {
		return m.notRun(structs.ReasonHolderLost, retryLater)
	}
	m.phase = phasePicking
	return []Action{Pick{}}
}

// claimUnread ends a request whose claim may or may not stand in the log.
// Nothing was sent and nothing will be, so it is not run; the release covers a
// claim that took effect after all.
func (m *Machine) claimUnread(e ClaimRead) []Action {
	m.claimed = e.Appended
	return m.notRun(e.Reason, retryFor(e.Reason))
}

func (m *Machine) refuseClaim(reason structs.Reason) []Action {
	m.claimed = true
	return m.notRun(reason, retryLater)
}

func retryFor(reason structs.Reason) time.Duration {
	if reason == structs.ReasonKeyExpired {
		return 0
	}
	return retryLater
}

func (m *Machine) answerFromEntry(e ClaimRead) []Action {
	return m.finish(AnswerOf(e.Entry, m.spec.Class, m.spec.Digest, e.HolderLost))
}

// AnswerOf is the truthful answer to a request whose key another request has
// claimed. holderLost says that the holder of an open claim is gone.
func AnswerOf(entry *ledger.KeyEntry, class string, digest uint64, holderLost bool) Finish {
	if entry.Claim.Digest != digest || entry.Claim.Class != class {
		return Finish{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonKeyConflict}
	}
	switch entry.Phase {
	case ledger.KeyRan:
		return Finish{Outcome: structs.OutcomeRan, Status: entry.Status, Answer: entry.Answer, Replayed: true}
	case ledger.KeyUnknown:
		return Finish{Outcome: structs.OutcomeUnknown, Reason: entry.Reason, Replayed: true}
	case ledger.KeyReleased:
		return Finish{Outcome: structs.OutcomeNotRun, Reason: entry.Reason, RetryAfter: retryLater}
	}
	if holderLost {
		return Finish{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonHolderLost}
	}
	return Finish{Outcome: structs.OutcomeInProgress, RetryAfter: retryLater}
}

func (m *Machine) claimTooOld(now time.Time) bool {
	return m.claimed && now.Sub(m.claimedAt) > ClaimValid && !m.sent
}

func (m *Machine) runnerPicked(e RunnerPicked, now time.Time) []Action {
	if m.phase != phasePicking {
		return nil
	}
	if m.claimTooOld(now) {
		return m.notRun(structs.ReasonHolderLost, retryLater)
	}
	if !now.Before(m.spec.Deadline) {
		return m.giveUp(structs.ReasonDeadline)
	}
	m.phase = phaseSending
	m.attempts++
	m.tried = append(m.tried, e.Runner)
	return []Action{Send{Runner: e.Runner, Attempt: m.attempts}}
}

func (m *Machine) runnerRefused(e RunnerRefused) []Action {
	if m.phase != phasePicking {
		return nil
	}
	return m.giveUpLater(e.Reason, e.RetryAfter)
}

func (m *Machine) attemptEnded(e AttemptEnded, now time.Time) []Action {
	if m.phase != phaseSending {
		return nil
	}
	m.last = e
	switch e.Kind {
	case AttemptAnswered:
		return m.answered(e, now)
	case AttemptNotSent, AttemptRefused:
		return m.retryOr(e, now, func() []Action { return m.giveUpLater(e.Reason, e.RetryAfter) })
	}
	m.sent = true
	if !m.spec.Idempotent {
		return m.unknown(e.Reason)
	}
	return m.retryOr(e, now, func() []Action { return m.unknown(e.Reason) })
}

// answered relays the answer; an idempotent request that the upstream failed is
// tried elsewhere first, if it may be.
func (m *Machine) answered(e AttemptEnded, now time.Time) []Action {
	relay := func() []Action { return m.ran(e) }
	if m.spec.Idempotent && e.Status >= 500 {
		m.sent = true
		return m.retryOr(e, now, relay)
	}
	return relay()
}

func (m *Machine) retryOr(e AttemptEnded, now time.Time, otherwise func() []Action) []Action {
	if !e.RetryAllowed || m.attempts >= MaxAttempts || !now.Before(m.spec.Deadline) {
		return otherwise()
	}
	m.phase = phasePicking
	return []Action{Pick{Exclude: m.tried}}
}

func (m *Machine) ran(e AttemptEnded) []Action {
	var actions []Action
	if m.claimed {
		complete := AppendComplete{Outcome: structs.OutcomeRan, Status: e.Status}
		if len(e.Answer) <= MaxKeptAnswer {
			complete.Answer = e.Answer
			complete.Kept = true
		}
		actions = append(actions, complete)
	}
	return append(actions, m.finish(Finish{Outcome: structs.OutcomeRan, Status: e.Status, Answer: e.Answer})...)
}

func (m *Machine) unknown(reason structs.Reason) []Action {
	var actions []Action
	if m.claimed {
		actions = append(actions, AppendComplete{Outcome: structs.OutcomeUnknown, Reason: reason})
	}
	retryAfter := time.Duration(0)
	if m.spec.Idempotent {
		retryAfter = retryLater
	}
	return append(actions, m.finish(Finish{Outcome: structs.OutcomeUnknown, Reason: reason, RetryAfter: retryAfter})...)
}

func (m *Machine) notRun(reason structs.Reason, retryAfter time.Duration) []Action {
	var actions []Action
	if m.claimed {
		actions = append(actions, AppendRelease{Reason: reason})
	}
	return append(actions, m.finish(Finish{Outcome: structs.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter})...)
}

// giveUp ends the request at once, whatever it waits for. A claim that is still
// being appended is released too, since it may stand in the log.
func (m *Machine) giveUp(reason structs.Reason) []Action {
	inFlight := m.phase == phaseSending
	if m.phase == phaseClaiming {
		m.claimed = true
	}
	actions := []Action{Abandon{}}
	if inFlight {
		m.sent = true
		return append(actions, m.unknown(reason)...)
	}
	return append(actions, m.giveUpLater(reason, retryLater)...)
}

func (m *Machine) giveUpLater(reason structs.Reason, retryAfter time.Duration) []Action {
	if retryAfter == 0 {
		retryAfter = retryLater
	}
	if m.sent {
		return m.unknown(reason)
	}
	return m.notRun(reason, retryAfter)
}

func (m *Machine) finish(finish Finish) []Action {
	m.phase = phaseDone
	return []Action{finish}
}
