// Package replica owns this instance's copy of the folded streams and lets
// other duties wait for what they appended to be read back. All methods are
// safe for concurrent use.
package replica

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// Observer is told of folded records. Its methods are called with no lock held,
// from the goroutine that reads the ledger stream, and must not block.
type Observer interface {
	// OrphanClaim reports a claim of this instance that took effect although
	// nobody waits for it any more.
	OrphanClaim(claim structs.Claim)
	// JobChanged reports a job whose entry changed.
	JobChanged(job string)
	// TermChanged reports a new term.
	TermChanged(term structs.Term)
}

// ClaimResult is how the fold ruled on a claim.
type ClaimResult struct {
	Entry *ledger.KeyEntry // the key's entry after the claim's record, nil if void without one
	Why   ledger.VoidReason
}

// Replica holds the folds.
type Replica struct {
	mu        sync.Mutex
	ledger    *ledger.State
	targets   *targets.Fold
	holder    string
	claims    map[string]chan ClaimResult
	submits   map[string][]chan ledger.VoidReason
	proposals map[string]chan targets.Decision
	changed   chan struct{} // closed and replaced at each change of the targets
	// ledgerGap and targetsGap say that records of the stream were lost to
	// retention, so that only a newer snapshot helps.
	ledgerGap  bool
	targetsGap bool
	observer   Observer
	voids      int64
}

// New returns an empty replica. holder names this instance's boot in claims.
func New(holder string) *Replica {
	return &Replica{
		ledger:    ledger.New(),
		targets:   targets.NewFold(),
		holder:    holder,
		claims:    map[string]chan ClaimResult{},
		submits:   map[string][]chan ledger.VoidReason{},
		proposals: map[string]chan targets.Decision{},
		changed:   make(chan struct{}),
	}
}

// Observe sets the observer; it must precede the reading of the streams.
func (r *Replica) Observe(observer Observer) { r.observer = observer }

// ledgerSink and targetsSink are the replica's two sides towards the tailers.
type ledgerSink struct{ replica *Replica }
type targetsSink struct{ replica *Replica }

// LedgerSink is the sink of the ledger stream.
func (r *Replica) LedgerSink() logstream.Sink { return ledgerSink{r} }

// TargetsSink is the sink of the targets stream.
func (r *Replica) TargetsSink() logstream.Sink { return targetsSink{r} }

// Next implements logstream.Sink.
func (s ledgerSink) Next() int64 {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	return s.replica.ledger.Next
}

// Gap implements logstream.Sink.
func (s ledgerSink) Gap(int64) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	s.replica.ledgerGap = true
}

// Fold implements logstream.Sink.
func (s ledgerSink) Fold(first int64, records [][]byte) {
	for index, data := range records {
		record := &structs.Record{}
		if err := json.Unmarshal(data, record); err != nil {
			record = &structs.Record{} // void, but it keeps its offset
		}
		s.replica.foldRecord(first+int64(index), record)
	}
}

// Next implements logstream.Sink.
func (s targetsSink) Next() int64 {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	return s.replica.targets.Next
}

// Gap implements logstream.Sink.
func (s targetsSink) Gap(int64) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	s.replica.targetsGap = true
}

// Fold implements logstream.Sink.
func (s targetsSink) Fold(first int64, records [][]byte) {
	for index, data := range records {
		proposal := &structs.Proposal{}
		if err := json.Unmarshal(data, proposal); err != nil {
			proposal = &structs.Proposal{Base: -1} // void, but it keeps its offset
		}
		s.replica.foldProposal(first+int64(index), proposal)
	}
}

// Gap reports that records were lost to retention and no newer snapshot came.
func (r *Replica) Gap() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledgerGap || r.targetsGap
}

func (r *Replica) foldRecord(offset int64, record *structs.Record) {
	r.mu.Lock()
	if offset != r.ledger.Next {
		r.mu.Unlock()
		return
	}
	verdict := r.ledger.Apply(record)
	if !verdict.Valid {
		r.voids++
	}
	notify := r.afterRecord(record, verdict)
	r.mu.Unlock()
	notify()
}

// afterRecord wakes who waits for the record and returns what is to be told to
// the observer once the lock is free.
func (r *Replica) afterRecord(record *structs.Record, verdict ledger.Verdict) func() {
	nothing := func() {}
	switch {
	case record.Claim != nil:
		return r.afterClaim(record.Claim, verdict)
	case record.Submit != nil:
		for _, waiter := range r.submits[record.Submit.ID] {
			waiter <- verdict.Why
		}
		delete(r.submits, record.Submit.ID)
		return r.jobChanged(record.Submit.ID)
	case record.Cancel != nil:
		return r.jobChanged(record.Cancel.Job)
	case record.Start != nil:
		return r.jobChanged(record.Start.Job)
	case record.Stop != nil:
		return r.jobChanged(record.Stop.Job)
	case record.End != nil:
		return r.jobChanged(record.End.Job)
	case record.Term != nil && verdict.Valid && r.observer != nil:
		term := *record.Term
		return func() { r.observer.TermChanged(term) }
	}
	return nothing
}

func (r *Replica) jobChanged(job string) func() {
	if r.observer == nil {
		return func() {}
	}
	return func() { r.observer.JobChanged(job) }
}

func (r *Replica) afterClaim(claim *structs.Claim, verdict ledger.Verdict) func() {
	waiter, waited := r.claims[claim.ID]
	if waited {
		delete(r.claims, claim.ID)
		waiter <- ClaimResult{Entry: r.copyKey(claim.Key), Why: verdict.Why}
		return func() {}
	}
	if !verdict.Valid || claim.Holder != r.holder || r.observer == nil {
		return func() {}
	}
	orphan := *claim
	return func() { r.observer.OrphanClaim(orphan) }
}

func (r *Replica) foldProposal(offset int64, proposal *structs.Proposal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset != r.targets.Next {
		return
	}
	decision := r.targets.Apply(proposal)
	if waiter, waited := r.proposals[proposal.ID]; waited {
		delete(r.proposals, proposal.ID)
		waiter <- decision
	}
	if decision.Accepted {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// AwaitClaim registers interest in a claim before it is appended. The returned
// channel gets one result; forget ends the interest.
func (r *Replica) AwaitClaim(claimID string) (result <-chan ClaimResult, forget func()) {
	waiter := make(chan ClaimResult, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims[claimID] = waiter
	return waiter, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.claims, claimID)
	}
}

// AwaitSubmit registers interest in a job's submission before it is appended.
func (r *Replica) AwaitSubmit(job string) <-chan ledger.VoidReason {
	waiter := make(chan ledger.VoidReason, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submits[job] = append(r.submits[job], waiter)
	return waiter
}

// AwaitProposal registers interest in a proposal before it is appended.
func (r *Replica) AwaitProposal(id string) <-chan targets.Decision {
	waiter := make(chan targets.Decision, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proposals[id] = waiter
	return waiter
}

// Key returns a copy of a key's entry, or nil.
func (r *Replica) Key(key structs.KeyID) *ledger.KeyEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copyKey(key)
}

func (r *Replica) copyKey(key structs.KeyID) *ledger.KeyEntry {
	entry, exists := r.ledger.Keys[key]
	if !exists {
		return nil
	}
	copied := *entry
	return &copied
}

// OpenClaims returns the open claims that match.
func (r *Replica) OpenClaims(match func(structs.Claim) bool) []structs.Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []structs.Claim
	for _, entry := range r.ledger.Keys {
		if entry.Phase == ledger.KeyOpen && match(entry.Claim) {
			open = append(open, entry.Claim)
		}
	}
	return open
}

// Job returns a copy of a job's entry, or nil.
func (r *Replica) Job(id string) *ledger.JobEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, exists := r.ledger.Jobs[id]
	if !exists {
		return nil
	}
	copied := *entry
	return &copied
}

// LiveJobs returns copies of all jobs that have not ended.
func (r *Replica) LiveJobs() []*ledger.JobEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []*ledger.JobEntry
	for _, entry := range r.ledger.Jobs {
		if entry.Phase != ledger.JobEnded {
			copied := *entry
			live = append(live, &copied)
		}
	}
	return live
}

// Term is the current term.
func (r *Replica) Term() structs.Term {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Term
}

// PrunedBefore is the issue time, in Unix milliseconds, before which keys are refused.
func (r *Replica) PrunedBefore() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.PrunedBefore
}

// Targets returns the targets in force and their version.
func (r *Replica) Targets() (*targets.Targets, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets.Targets, r.targets.Version
}

// Document returns the targets document in force and its version.
func (r *Replica) Document() (string, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets.Document, r.targets.Version
}

// WaitVersion waits until the given version is in force or ctx ends.
func (r *Replica) WaitVersion(ctx context.Context, version int64) bool {
	for {
		r.mu.Lock()
		reached := r.targets.Version >= version
		changed := r.changed
		r.mu.Unlock()
		if reached {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Offsets returns the next offsets of the ledger and targets streams.
func (r *Replica) Offsets() (ledgerNext, targetsNext int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Next, r.targets.Next
}

// Snapshot copies the folds.
func (r *Replica) Snapshot(atMS int64) *ledger.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := &ledger.Snapshot{
		AtMS:            atMS,
		TargetsNext:     r.targets.Next,
		TargetsVersion:  r.targets.Version,
		TargetsDocument: r.targets.Document,
		TargetsLastID:   r.targets.LastID,
	}
	r.ledger.Fill(snapshot)
	return snapshot
}

// Restore takes over a snapshot if it is further along than what is folded. The
// two streams are judged each for itself, so neither ever goes back.
func (r *Replica) Restore(snapshot *ledger.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snapshot.LedgerNext > r.ledger.Next {
		r.ledger.Restore(snapshot)
		r.ledgerGap = false
	}
	if snapshot.TargetsNext <= r.targets.Next {
		return nil
	}
	r.targetsGap = false
	return r.targets.Restore(snapshot.TargetsNext, snapshot.TargetsVersion, snapshot.TargetsDocument, snapshot.TargetsLastID)
}
