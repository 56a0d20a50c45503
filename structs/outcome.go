package structs

import "time"

// Outcome is the result of a submission. OutcomeNotRun is definite: it is used only
// if nothing was sent or the runner itself reported that it did not start.
type Outcome string

// Outcomes that are returned to callers.
const (
	// OutcomeRan means the runner executed the request and its complete answer is known.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means the request certainly did not execute.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means the request may or may not have executed.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInProgress means another attempt of the same key is still open.
	OutcomeInProgress Outcome = "in_progress"
	// OutcomeAccepted means a job is durable in the log.
	OutcomeAccepted Outcome = "accepted"
)

// Reason is the machine-readable cause of a refusal or delay.
type Reason string

// Reasons of refusals, as returned to callers and as recorded. An upstream is a runner.
const (
	ReasonNone                 Reason = ""
	ReasonBadRequest           Reason = "bad_request"
	ReasonTooLarge             Reason = "too_large"
	ReasonUnknownClass         Reason = "unknown_class"
	ReasonUnknownWorkspace     Reason = "unknown_workspace"
	ReasonKeyConflict          Reason = "key_conflict"
	ReasonKeyExpired           Reason = "key_expired"
	ReasonKeyTableFull         Reason = "key_table_full"
	ReasonJobTableFull         Reason = "job_table_full"
	ReasonLogUnavailable       Reason = "log_unavailable"
	ReasonNotReady             Reason = "not_ready"
	ReasonDraining             Reason = "draining"
	ReasonQueueFull            Reason = "queue_full"
	ReasonOverloaded           Reason = "overloaded"
	ReasonCannotMeetTarget     Reason = "cannot_meet_target"
	ReasonNoUpstream           Reason = "no_upstream"
	ReasonUpstreamRefused      Reason = "upstream_refused"
	ReasonUpstreamFailed       Reason = "upstream_failed"
	ReasonAnswerTruncated      Reason = "answer_truncated"
	ReasonAnswerMismatched     Reason = "answer_mismatched"
	ReasonAnswerTooLarge       Reason = "answer_too_large"
	ReasonDeadlineExceeded     Reason = "deadline_exceeded"
	ReasonRetryBudgetExhausted Reason = "retry_budget_exhausted"
	ReasonCallerGone           Reason = "caller_gone"
	ReasonClaimHolderLost      Reason = "holder_lost"
	ReasonImpossibleShape      Reason = "impossible_shape"
	ReasonJobFailsEverywhere   Reason = "job_fails_everywhere"
	ReasonMemberLost           Reason = "member_lost"
	ReasonCancelled            Reason = "cancelled"
	ReasonPreempted            Reason = "preempted"
	ReasonStaleTerm            Reason = "stale_term"
	ReasonVersionConflict      Reason = "version_conflict"
	ReasonInvalidTargets       Reason = "invalid_targets"
	ReasonGuaranteeUnfit       Reason = "guarantee_does_not_fit"
	ReasonNotFound             Reason = "not_found"
	ReasonReserveRefused       Reason = "reserve_refused"
	ReasonTaskFailed           Reason = "task_failed"
	ReasonTargetsUnavailable   Reason = "targets_unavailable"
)

// Refusal is the record of a submission that was rejected or ended without a known
// answer. Readers drop duplicates by ID, so that appending it twice is harmless.
type Refusal struct {
	ID         string  `json:"id"`
	Subject    string  `json:"subject"` // request key or job identifier
	Workspace  string  `json:"workspace"`
	Class      string  `json:"class"`
	Outcome    Outcome `json:"outcome"`
	Reason     Reason  `json:"reason"`
	Instance   string  `json:"instance"`
	AtMS       int64   `json:"at_ms"`             // wall clock of the refusing instance
	RetryAfter int64   `json:"retry_after"`       // seconds; 0 if a retry cannot succeed
	Dropped    int64   `json:"dropped,omitempty"` // refusals that the instance dropped before this one
}

// Reply is the typed answer to a submission whose answer is not a relayed body.
type Reply struct {
	Outcome    Outcome       `json:"outcome"`
	Reason     Reason        `json:"reason,omitempty"`
	Detail     string        `json:"detail,omitempty"`
	ID         string        `json:"id,omitempty"`
	RetryAfter time.Duration `json:"-"`
}
