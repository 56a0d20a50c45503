package structs

// RecordKind names the kind of a ledger record.
type RecordKind string

// Kinds of ledger records. Package ledger defines when each is valid.
const (
	RecordClaim    RecordKind = "claim"
	RecordRelease  RecordKind = "release"
	RecordComplete RecordKind = "complete"
	RecordSubmit   RecordKind = "submit"
	RecordCancel   RecordKind = "cancel"
	RecordStart    RecordKind = "start"
	RecordStop     RecordKind = "stop"
	RecordEnd      RecordKind = "end"
	RecordTerm     RecordKind = "term"
	RecordPrune    RecordKind = "prune"
)

// Record is one entry of the ledger stream. Exactly the field named by Kind is set.
type Record struct {
	Kind     RecordKind  `json:"kind"`
	AtMS     int64       `json:"at_ms"` // wall clock of the appending instance
	Claim    *Claim      `json:"claim,omitempty"`
	Release  *Release    `json:"release,omitempty"`
	Complete *Completion `json:"complete,omitempty"`
	Submit   *Job        `json:"submit,omitempty"`
	Cancel   *Cancel     `json:"cancel,omitempty"`
	Start    *Start      `json:"start,omitempty"`
	Stop     *Stop       `json:"stop,omitempty"`
	End      *End        `json:"end,omitempty"`
	Term     *Term       `json:"term,omitempty"`
	Prune    *Prune      `json:"prune,omitempty"`
}

// KeyID identifies a non-idempotent request: its workspace and its caller's key.
type KeyID struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// Claim acquires the exclusive right to send a non-idempotent request.
type Claim struct {
	ID       string `json:"id"` // unique per claim, so that a duplicate append is detected
	Key      KeyID  `json:"key"`
	Class    string `json:"class"`
	Digest   uint64 `json:"digest"` // of the request body
	Holder   string `json:"holder"` // instance identifier with its boot number
	IssuedMS int64  `json:"issued_ms"`
}

// Release gives up a claim. Only the holder of the claim appends it, and only if nothing
// was sent.
type Release struct {
	ClaimID string `json:"claim_id"`
	Key     KeyID  `json:"key"`
	Reason  Reason `json:"reason"`
}

// Completion ends a claim with the outcome ran or unknown. Holder is false if another
// instance closes the claim of a lost holder; the outcome can then only be unknown.
type Completion struct {
	ClaimID      string  `json:"claim_id"`
	Key          KeyID   `json:"key"`
	Outcome      Outcome `json:"outcome"`
	Reason       Reason  `json:"reason,omitempty"`
	Holder       bool    `json:"holder"`
	Status       int     `json:"status,omitempty"`
	Answer       []byte  `json:"answer,omitempty"` // stored only up to a size limit
	AnswerStored bool    `json:"kept,omitempty"`   // Answer is complete
}

// Job is a gang job as submitted.
type Job struct {
	ID        string `json:"id"`
	Key       KeyID  `json:"key"`
	Class     string `json:"class"`
	Shape     Shape  `json:"shape"`
	DeclaredS int64  `json:"declared_s"` // the caller's estimate of the run time, only a hint
	SubmitMS  int64  `json:"submit_ms"`
	Digest    uint64 `json:"digest"`
	Payload   string `json:"payload,omitempty"` // opaque, passed to the tasks unchanged
	// Idempotent is the setting of the class at submission; it decides whether a
	// started run may be repeated.
	Idempotent bool `json:"idempotent"`
}

// Cancel requests the end of a job in any state.
type Cancel struct {
	Job string `json:"job"`
}

// Member is one worker's part of a run.
type Member struct {
	Worker       string `json:"worker"`
	Accelerators int    `json:"accelerators"`
}

// Start records a run before any of its tasks start. It is valid only under the
// current term.
type Start struct {
	Job     string   `json:"job"`
	Run     string   `json:"run"`
	Term    int64    `json:"term"`
	Members []Member `json:"members"`
}

// Stop ends a started run and returns its job to the queue. It is valid only under
// the current term.
type Stop struct {
	Job    string `json:"job"`
	Run    string `json:"run"`
	Term   int64  `json:"term"`
	Reason Reason `json:"reason"`
	Worker string `json:"worker,omitempty"` // the worker at fault, if any
	// NotStarted means that no task of the run was ever ordered to start.
	NotStarted bool `json:"not_started,omitempty"`
	// Checkpointed means that the next run resumes from a checkpoint of this one.
	Checkpointed bool `json:"checkpointed,omitempty"`
}

// End ends a job. It is valid only under the current term. Run is empty for a job
// that never ran.
type End struct {
	Job     string  `json:"job"`
	Run     string  `json:"run,omitempty"`
	Term    int64   `json:"term"`
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason,omitempty"`
	Detail  string  `json:"detail,omitempty"`
}

// Term makes one instance the leader. Number is the epoch of the term, and the Term field
// of other records is the epoch under which they were appended. A Term is valid if Number
// is the current epoch plus one.
type Term struct {
	Number int64  `json:"number"`
	Leader string `json:"holder"`
}

// Prune removes ended keys and jobs that were issued before BeforeMS.
type Prune struct {
	BeforeMS int64 `json:"before_ms"`
}

// Proposal is one entry of the targets stream: a whole targets document that replaces
// version Base.
type Proposal struct {
	ID       string `json:"id"`
	Base     int64  `json:"base"`
	Document string `json:"document"`
	AtMS     int64  `json:"at_ms"`
}
