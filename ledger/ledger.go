// Package ledger owns the fold of the ledger stream: which claim of a
// non-idempotent request counts, what became of it, which jobs exist, which run
// of a job is the current one and which instance places. The fold is a pure
// function of the records in offset order, so every instance comes to the same
// state; a record that is not valid when its turn comes is void and changes
// nothing, which makes lost answers, double appends and races harmless.
package ledger

import (
	"github.com/teaselcleat/teaselcleat/structs"
)

// Limits of the fold. They are constants, as every instance must agree on them.
const (
	// MaxKeys is how many keys are remembered; claims beyond it are void.
	MaxKeys = 400_000
	// MaxJobs is how many jobs are remembered; submissions beyond it are void.
	MaxJobs = 200_000
	// MaxBlamed is how many workers are remembered as having failed one job.
	MaxBlamed = 8
)

// KeyPhase is the state of a key.
type KeyPhase string

// Phases of a key.
const (
	KeyOpen     KeyPhase = "open"     // claimed, its end not yet known
	KeyReleased KeyPhase = "released" // claimed, certainly not run, free again
	KeyRan      KeyPhase = "ran"
	KeyUnknown  KeyPhase = "unknown"
)

// KeyEntry is what is known of one key.
type KeyEntry struct {
	Claim    structs.Claim  `json:"claim"`
	Phase    KeyPhase       `json:"phase"`
	Reason   structs.Reason `json:"reason,omitempty"`
	ByHolder bool           `json:"by_holder,omitempty"` // the phase is the holder's own word
	Status   int            `json:"status,omitempty"`
	Answer   []byte         `json:"answer,omitempty"`
	Kept     bool           `json:"kept,omitempty"`
}

// JobPhase is the state of a job.
type JobPhase string

// Phases of a job.
const (
	JobQueued  JobPhase = "queued"
	JobRunning JobPhase = "running"
	JobEnded   JobPhase = "ended"
)

// JobEntry is what is known of one job.
type JobEntry struct {
	Job          structs.Job      `json:"job"`
	Phase        JobPhase         `json:"phase"`
	Run          string           `json:"run,omitempty"`
	Members      []structs.Member `json:"members,omitempty"`
	StartMS      int64            `json:"start_ms,omitempty"`
	Runs         int              `json:"runs,omitempty"`
	Cancelled    bool             `json:"cancelled,omitempty"`
	Checkpointed bool             `json:"checkpointed,omitempty"`
	Blamed       []string         `json:"blamed,omitempty"`
	Outcome      structs.Outcome  `json:"outcome,omitempty"`
	Reason       structs.Reason   `json:"reason,omitempty"`
	Detail       string           `json:"detail,omitempty"`
	EndMS        int64            `json:"end_ms,omitempty"`
}

// Verdict says whether a record counted.
type Verdict struct {
	Valid bool
	Why   VoidReason
}

// VoidReason says why a record is void.
type VoidReason string

// Reasons for which a record is void.
const (
	VoidNone      VoidReason = ""
	VoidMalformed VoidReason = "malformed"
	VoidTaken     VoidReason = "taken"
	VoidDuplicate VoidReason = "duplicate"
	VoidExpired   VoidReason = "expired"
	VoidFull      VoidReason = "full"
	VoidNotHolder VoidReason = "not_holder"
	VoidPhase     VoidReason = "wrong_phase"
	VoidMissing   VoidReason = "missing"
	VoidTerm      VoidReason = "stale_term"
	VoidRepeat    VoidReason = "may_not_repeat"
)

var valid = Verdict{Valid: true}

func void(why VoidReason) Verdict { return Verdict{Why: why} }

// State is the folded ledger. It is not safe for concurrent use.
type State struct {
	Next         int64 // offset of the next record to fold
	Keys         map[structs.KeyID]*KeyEntry
	Jobs         map[string]*JobEntry
	Term         structs.Term
	PrunedBefore int64 // keys and jobs issued before this are refused
}

// New returns the state before the first record.
func New() *State {
	return &State{Keys: map[structs.KeyID]*KeyEntry{}, Jobs: map[string]*JobEntry{}}
}

// Apply folds the record at the next offset.
func (s *State) Apply(record *structs.Record) Verdict {
	s.Next++
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

// applyClaim is valid for a key that is new or was released, once for each claim identifier.
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

// applyRelease is valid from the holder, for a claim that the holder has not ended itself.
func (s *State) applyRelease(release *structs.Release) Verdict {
	entry, verdict := s.entryOfClaim(release.Key, release.ClaimID)
	if !verdict.Valid {
		return verdict
	}
	if !entry.holderMayDecide() {
		return void(VoidPhase)
	}
	entry.Phase = KeyReleased
	entry.Reason = release.Reason
	entry.ByHolder = true
	return valid
}

// applyComplete is valid once from the holder; from others it can only turn an open
// claim unknown, and the holder's later word replaces theirs.
func (s *State) applyComplete(complete *structs.Complete) Verdict {
	entry, verdict := s.entryOfClaim(complete.Key, complete.ClaimID)
	if !verdict.Valid {
		return verdict
	}
	if !entry.holderMayDecide() {
		return void(VoidPhase)
	}
	if !complete.Holder && (entry.Phase != KeyOpen || complete.Outcome != structs.OutcomeUnknown) {
		return void(VoidNotHolder)
	}
	entry.Phase = KeyUnknown
	if complete.Outcome == structs.OutcomeRan {
		entry.Phase = KeyRan
	}
	entry.Reason = complete.Reason
	entry.ByHolder = complete.Holder
	entry.Status = complete.Status
	entry.Answer = complete.Answer
	entry.Kept = complete.Kept
	return valid
}

func (s *State) entryOfClaim(key structs.KeyID, claimID string) (*KeyEntry, Verdict) {
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
	return e.Phase == KeyOpen || (e.Phase == KeyUnknown && !e.ByHolder)
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

// applyCancel ends a queued job at once; a running one is marked, and its run is
// stopped by the placing instance.
func (s *State) applyCancel(cancel *structs.Cancel, atMS int64) Verdict {
	entry, exists := s.Jobs[cancel.Job]
	if !exists {
		return void(VoidMissing)
	}
	if entry.Phase == JobEnded {
		return void(VoidPhase)
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

// applyStart is valid under the current term, for a queued job that may still run.
func (s *State) applyStart(start *structs.Start, atMS int64) Verdict {
	entry, verdict := s.jobUnderTerm(start.Job, start.Term)
	if !verdict.Valid {
		return verdict
	}
	if entry.Phase == JobRunning && entry.Run == start.Run {
		return void(VoidDuplicate)
	}
	if entry.Phase != JobQueued || entry.Cancelled {
		return void(VoidPhase)
	}
	entry.Phase = JobRunning
	entry.Run = start.Run
	entry.Members = start.Members
	entry.StartMS = atMS
	entry.Runs++
	return valid
}

// applyStop returns a run's job to the queue. A job that may not be repeated returns
// only if nothing of the run started or if the run was checkpointed; otherwise
// its end is unknown.
func (s *State) applyStop(stop *structs.Stop, atMS int64) Verdict {
	entry, verdict := s.jobUnderTerm(stop.Job, stop.Term)
	if !verdict.Valid {
		return verdict
	}
	if entry.Phase != JobRunning || entry.Run != stop.Run {
		return void(VoidPhase)
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
	if worker == "" || len(e.Blamed) >= MaxBlamed {
		return
	}
	for _, name := range e.Blamed {
		if name == worker {
			return
		}
	}
	e.Blamed = append(e.Blamed, worker)
}

// applyEnd ends a job under the current term. A running job's run must be named.
func (s *State) applyEnd(end *structs.End, atMS int64) Verdict {
	entry, verdict := s.jobUnderTerm(end.Job, end.Term)
	if !verdict.Valid {
		return verdict
	}
	if entry.Phase == JobEnded || entry.Run != end.Run {
		return void(VoidPhase)
	}
	entry.finish(end.Outcome, end.Reason, atMS)
	entry.Detail = end.Detail
	return valid
}

func (s *State) jobUnderTerm(job string, term int64) (*JobEntry, Verdict) {
	if term != s.Term.Number {
		return nil, void(VoidTerm)
	}
	entry, exists := s.Jobs[job]
	if !exists {
		return nil, void(VoidMissing)
	}
	return entry, valid
}

func (s *State) applyTerm(term *structs.Term) Verdict {
	if term.Number != s.Term.Number+1 {
		return void(VoidTerm)
	}
	s.Term = *term
	return valid
}

// applyPrune forgets what ended and was issued before the given time. From then on
// no claim or submission that old is valid, so forgetting cannot double a run.
func (s *State) applyPrune(prune *structs.Prune) Verdict {
	if prune.BeforeMS <= s.PrunedBefore {
		return void(VoidPhase)
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
