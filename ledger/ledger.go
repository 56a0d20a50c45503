// Package ledger folds the ledger stream into the claims of non-idempotent requests
// and their outcomes, the jobs and their current runs, and the term of the leader.
// The fold is a pure function of the records in offset order, so every instance
// computes the same state. A record that is not valid at its offset is void and
// changes nothing, which makes lost answers, duplicate appends and races harmless.
//
// It serves the product's own interface; package jobs holds the jobs of the users' platform.
package ledger

import (
	"github.com/teaselcleat/teaselcleat/structs"
)

// Limits of the fold. They are constants because all instances must use the same values.
const (
	// MaxKeys is the maximum number of keys in the state; further claims are void.
	MaxKeys = 400_000
	// MaxJobs is the maximum number of jobs in the state; further submissions are void.
	MaxJobs = 200_000
	// MaxFailedWorkers is the maximum number of workers recorded as having failed a job.
	MaxFailedWorkers = 8
)

// KeyPhase is the phase of a request key.
type KeyPhase string

// Phases of a request key.
const (
	KeyOpen     KeyPhase = "open"     // claimed, outcome not recorded yet
	KeyReleased KeyPhase = "released" // was claimed, did not run, and can be claimed again
	KeyRan      KeyPhase = "ran"
	KeyUnknown  KeyPhase = "unknown"
)

// KeyEntry is the state of one request key.
type KeyEntry struct {
	Claim           structs.Claim  `json:"claim"`
	Phase           KeyPhase       `json:"phase"`
	Reason          structs.Reason `json:"reason,omitempty"`
	DecidedByHolder bool           `json:"by_holder,omitempty"` // the claim holder itself recorded the phase
	Status          int            `json:"status,omitempty"`
	Answer          []byte         `json:"answer,omitempty"`
	AnswerStored    bool           `json:"kept,omitempty"`
}

// JobPhase is the phase of a job.
type JobPhase string

// Phases of a job.
const (
	JobQueued  JobPhase = "queued"
	JobRunning JobPhase = "running"
	JobEnded   JobPhase = "ended"
)

// JobEntry is the state of one job.
type JobEntry struct {
	Job           structs.Job      `json:"job"`
	Phase         JobPhase         `json:"phase"`
	Run           string           `json:"run,omitempty"`
	Members       []structs.Member `json:"members,omitempty"`
	StartMS       int64            `json:"start_ms,omitempty"`
	Runs          int              `json:"runs,omitempty"`
	Cancelled     bool             `json:"cancelled,omitempty"`
	Checkpointed  bool             `json:"checkpointed,omitempty"`
	FailedWorkers []string         `json:"blamed,omitempty"`
	Outcome       structs.Outcome  `json:"outcome,omitempty"`
	Reason        structs.Reason   `json:"reason,omitempty"`
	Detail        string           `json:"detail,omitempty"`
	EndMS         int64            `json:"end_ms,omitempty"`
}

// Verdict is the result of folding a record.
type Verdict struct {
	Valid  bool
	Reason VoidReason
}

// VoidReason is the reason why a record is void.
type VoidReason string

// Reasons why a record is void.
const (
	VoidNone       VoidReason = ""
	VoidMalformed  VoidReason = "malformed"
	VoidTaken      VoidReason = "taken"
	VoidDuplicate  VoidReason = "duplicate"
	VoidExpired    VoidReason = "expired"
	VoidFull       VoidReason = "full"
	VoidNotHolder  VoidReason = "not_holder"
	VoidWrongPhase VoidReason = "wrong_phase" // also of a prune that is not newer than the last one
	VoidMissing    VoidReason = "missing"
	VoidStaleTerm  VoidReason = "stale_term"
)

var valid = Verdict{Valid: true}

func void(reason VoidReason) Verdict { return Verdict{Reason: reason} }

// State is the folded ledger. It is not safe for concurrent use.
type State struct {
	NextOffset   int64 // offset of the next record to fold
	Keys         map[structs.KeyID]*KeyEntry
	Jobs         map[string]*JobEntry
	Term         structs.Term
	PrunedBefore int64 // Unix milliseconds; claims and submissions issued earlier are void
}

// New returns the state before the first record.
func New() *State {
	return &State{Keys: map[structs.KeyID]*KeyEntry{}, Jobs: map[string]*JobEntry{}}
}

// Apply folds the record at offset NextOffset.
func (s *State) Apply(record *structs.Record) Verdict {
	s.NextOffset++
	switch {
	case record.Claim != nil:
		return s.applyClaim(record.Claim)
	case record.Release != nil:
		return s.applyRelease(record.Release)
	case record.Complete != nil:
		return s.applyComplete(record.Complete)
	case record.Submit != nil:
		return s.applySubmit(record.Submit)
	case record.Cancel != nil:
		return s.applyCancel(record.Cancel, record.AtMS)
	case record.Start != nil:
		return s.applyStart(record.Start, record.AtMS)
	case record.Stop != nil:
		return s.applyStop(record.Stop, record.AtMS)
	case record.End != nil:
		return s.applyEnd(record.End, record.AtMS)
	case record.Term != nil:
		return s.applyTerm(record.Term)
	case record.Prune != nil:
		return s.applyPrune(record.Prune)
	}
	return void(VoidMalformed)
}

// applyClaim accepts a claim of a key that is new or released, unless the key's entry
// has the same claim identifier.
func (s *State) applyClaim(claim *structs.Claim) Verdict {
	if claim.IssuedMS < s.PrunedBefore {
		return void(VoidExpired)
	}
	entry, exists := s.Keys[claim.Key]
	if exists && entry.Claim.ID == claim.ID {
		return void(VoidDuplicate)
	}
	if exists && entry.Phase != KeyReleased {
		return void(VoidTaken)
	}
	if !exists && len(s.Keys) >= MaxKeys {
		return void(VoidFull)
	}
	s.Keys[claim.Key] = &KeyEntry{Claim: *claim, Phase: KeyOpen}
	return valid
}

// applyRelease accepts a release by the claim holder if the holder has not recorded an
// outcome yet.
func (s *State) applyRelease(release *structs.Release) Verdict {
	entry, verdict := s.claimEntry(release.Key, release.ClaimID)
	if !verdict.Valid {
		return verdict
	}
	if !entry.holderMayDecide() {
		return void(VoidWrongPhase)
	}
	entry.Phase = KeyReleased
	entry.Reason = release.Reason
	entry.DecidedByHolder = true
	return valid
}

// applyComplete accepts one outcome from the claim holder. Other instances can only
// set an open claim to unknown, which a later record of the holder replaces.
func (s *State) applyComplete(complete *structs.Completion) Verdict {
	entry, verdict := s.claimEntry(complete.Key, complete.ClaimID)
	if !verdict.Valid {
		return verdict
	}
	if !entry.holderMayDecide() {
		return void(VoidWrongPhase)
	}
	if !complete.Holder && (entry.Phase != KeyOpen || complete.Outcome != structs.OutcomeUnknown) {
		return void(VoidNotHolder)
	}
	entry.Phase = KeyUnknown
	if complete.Outcome == structs.OutcomeRan {
		entry.Phase = KeyRan
	}
	entry.Reason = complete.Reason
	entry.DecidedByHolder = complete.Holder
	entry.Status = complete.Status
	entry.Answer = complete.Answer
	entry.AnswerStored = complete.AnswerStored
	return valid
}

func (s *State) claimEntry(key structs.KeyID, claimID string) (*KeyEntry, Verdict) {
	entry, exists := s.Keys[key]
	if !exists {
		return nil, void(VoidMissing)
	}
	if entry.Claim.ID != claimID {
		return nil, void(VoidNotHolder)
	}
	return entry, valid
}

func (e *KeyEntry) holderMayDecide() bool {
	return e.Phase == KeyOpen || (e.Phase == KeyUnknown && !e.DecidedByHolder)
}

func (s *State) applySubmit(job *structs.Job) Verdict {
	if job.SubmitMS < s.PrunedBefore {
		return void(VoidExpired)
	}
	if _, exists := s.Jobs[job.ID]; exists {
		return void(VoidDuplicate)
	}
	if len(s.Jobs) >= MaxJobs {
		return void(VoidFull)
	}
	s.Jobs[job.ID] = &JobEntry{Job: *job, Phase: JobQueued}
	return valid
}

// applyCancel ends a queued job at once. A running job is only marked as cancelled, and
// the leader stops its run.
func (s *State) applyCancel(cancel *structs.Cancel, atMS int64) Verdict {
	entry, exists := s.Jobs[cancel.Job]
	if !exists {
		return void(VoidMissing)
	}
	if entry.Phase == JobEnded {
		return void(VoidWrongPhase)
	}
	entry.Cancelled = true
	if entry.Phase == JobQueued {
		entry.finish(structs.OutcomeNotRun, structs.ReasonCancelled, atMS)
		if entry.Runs > 0 {
			entry.Outcome = structs.OutcomeUnknown
		}
	}
	return valid
}

func (e *JobEntry) finish(outcome structs.Outcome, reason structs.Reason, atMS int64) {
	e.Phase = JobEnded
	e.Outcome = outcome
	e.Reason = reason
	e.EndMS = atMS
}

// applyStart accepts the start of a queued job under the current term, unless the job
// was cancelled.
func (s *State) applyStart(start *structs.Start, atMS int64) Verdict {
	entry, verdict := s.jobUnderTerm(start.Job, start.Term)
	if !verdict.Valid {
		return verdict
	}
	if entry.Phase == JobRunning && entry.Run == start.Run {
		return void(VoidDuplicate)
	}
	if entry.Phase != JobQueued || entry.Cancelled {
		return void(VoidWrongPhase)
	}
	entry.Phase = JobRunning
	entry.Run = start.Run
	entry.Members = start.Members
	entry.StartMS = atMS
	entry.Runs++
	return valid
}

// applyStop returns a run's job to the queue. A job that is not idempotent returns only
// if no task of the run started or the run was checkpointed; otherwise it ends with
// an unknown outcome.
func (s *State) applyStop(stop *structs.Stop, atMS int64) Verdict {
	entry, verdict := s.jobUnderTerm(stop.Job, stop.Term)
	if !verdict.Valid {
		return verdict
	}
	if entry.Phase != JobRunning || entry.Run != stop.Run {
		return void(VoidWrongPhase)
	}
	entry.Run = ""
	entry.Members = nil
	if stop.NotStarted {
		entry.Runs--
	}
	entry.addFailedWorker(stop.Worker)
	entry.Checkpointed = entry.Checkpointed || stop.Checkpointed
	entry.Phase = JobQueued
	entry.Reason = stop.Reason
	mayRepeat := entry.Job.Idempotent || stop.NotStarted || stop.Checkpointed
	if entry.Cancelled {
		entry.finish(stoppedOutcome(entry), structs.ReasonCancelled, atMS)
	} else if !mayRepeat {
		entry.finish(structs.OutcomeUnknown, stop.Reason, atMS)
	}
	return valid
}

func stoppedOutcome(entry *JobEntry) structs.Outcome {
	if entry.Runs == 0 {
		return structs.OutcomeNotRun
	}
	return structs.OutcomeUnknown
}

func (e *JobEntry) addFailedWorker(worker string) {
	if worker == "" || len(e.FailedWorkers) >= MaxFailedWorkers {
		return
	}
	for _, name := range e.FailedWorkers {
		if name == worker {
			return
		}
	}
	e.FailedWorkers = append(e.FailedWorkers, worker)
}

// applyEnd ends a job under the current term. The record must name the run of a running
// job, and no run for a queued one.
func (s *State) applyEnd(end *structs.End, atMS int64) Verdict {
	entry, verdict := s.jobUnderTerm(end.Job, end.Term)
	if !verdict.Valid {
		return verdict
	}
	if entry.Phase == JobEnded || entry.Run != end.Run {
		return void(VoidWrongPhase)
	}
	entry.finish(end.Outcome, end.Reason, atMS)
	entry.Detail = end.Detail
	return valid
}

func (s *State) jobUnderTerm(job string, term int64) (*JobEntry, Verdict) {
	if term != s.Term.Number {
		return nil, void(VoidStaleTerm)
	}
	entry, exists := s.Jobs[job]
	if !exists {
		return nil, void(VoidMissing)
	}
	return entry, valid
}

func (s *State) applyTerm(term *structs.Term) Verdict {
	if term.Number != s.Term.Number+1 {
		return void(VoidStaleTerm)
	}
	s.Term = *term
	return valid
}

// applyPrune deletes decided keys and ended jobs that were issued before the given
// time. Claims and submissions of that age are void from then on, so a deletion
// cannot lead to a second run.
func (s *State) applyPrune(prune *structs.Prune) Verdict {
	if prune.BeforeMS <= s.PrunedBefore {
		return void(VoidWrongPhase)
	}
	s.PrunedBefore = prune.BeforeMS
	for key, entry := range s.Keys {
		if entry.Claim.IssuedMS < prune.BeforeMS && entry.Phase != KeyOpen {
			delete(s.Keys, key)
		}
	}
	for id, entry := range s.Jobs {
		if entry.Job.SubmitMS < prune.BeforeMS && entry.Phase == JobEnded {
			delete(s.Jobs, id)
		}
	}
	return valid
}
