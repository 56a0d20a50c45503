// Package replica holds this instance's copy of the state folded from the log
// streams of the product's own interface, and lets callers wait until records that they
// appended are read back.
// All methods are safe for concurrent use.
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

// Observer is notified of folded records. Its methods are called without the lock
// held, from the goroutine that reads the ledger stream, and must not block.
type Observer interface {
	// OrphanClaim reports a claim of this instance that took effect after its
	// request stopped waiting for it.
	OrphanClaim(claim structs.Claim)
	// JobChanged reports a job whose entry changed.
	JobChanged(job string)
	// TermChanged reports a new term.
	TermChanged(term structs.Term)
}

// ClaimResult is the result of folding a claim.
type ClaimResult struct {
	Entry      *ledger.KeyEntry // the key's entry after the claim was folded; nil if the key has none
	VoidReason ledger.VoidReason
}

// Replica holds the folded ledger and targets.
type Replica struct {
	mu              sync.Mutex
	ledger          *ledger.State
	targets         *targets.Fold
	identity        string
	claimWaiters    map[string]chan ClaimResult
	submitWaiters   map[string][]chan ledger.VoidReason
	proposalWaiters map[string]chan targets.Decision
	targetsChanged  chan struct{} // closed and replaced at each change of the targets
	// ledgerGap and targetsGap mean that records of the stream were removed by
	// retention before they were read; recovery needs a newer snapshot.
	ledgerGap   bool
	targetsGap  bool
	observer    Observer
	voidRecords int64
}

// New returns an empty replica. identity names this boot of the instance in claims.
func New(identity string) *Replica {
	return &Replica{
		ledger:          ledger.New(),
		targets:         targets.NewFold(),
		identity:        identity,
		claimWaiters:    map[string]chan ClaimResult{},
		submitWaiters:   map[string][]chan ledger.VoidReason{},
		proposalWaiters: map[string]chan targets.Decision{},
		targetsChanged:  make(chan struct{}),
	}
}

// Observe sets the observer; it must be called before the streams are read.
func (r *Replica) Observe(observer Observer) { r.observer = observer }

// ledgerSink and targetsSink receive the records of the readers (logstream.Tailer) of the
// two streams.
type ledgerSink struct{ replica *Replica }
type targetsSink struct{ replica *Replica }

// LedgerSink returns the sink for the ledger stream.
func (r *Replica) LedgerSink() logstream.Sink { return ledgerSink{r} }

// TargetsSink returns the sink for the targets stream.
func (r *Replica) TargetsSink() logstream.Sink { return targetsSink{r} }

// Next implements logstream.Sink.
func (s ledgerSink) Next() int64 {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	return s.replica.ledger.NextOffset
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
			record = &structs.Record{} // void, but it occupies its offset
		}
		s.replica.foldRecord(first+int64(index), record)
	}
}

// Next implements logstream.Sink.
func (s targetsSink) Next() int64 {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	return s.replica.targets.NextOffset
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
			proposal = &structs.Proposal{Base: -1} // void, but it occupies its offset
		}
		s.replica.foldProposal(first+int64(index), proposal)
	}
}

// HasGap reports whether records were removed by retention before they were read, and
// no newer snapshot was restored since.
func (r *Replica) HasGap() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledgerGap || r.targetsGap
}

func (r *Replica) foldRecord(offset int64, record *structs.Record) {
	r.mu.Lock()
	if offset != r.ledger.NextOffset {
		r.mu.Unlock()
		return
	}
	verdict := r.ledger.Apply(record)
	if !verdict.Valid {
		r.voidRecords++
	}
	notify := r.notifyRecord(record, verdict)
	r.mu.Unlock()
	notify()
}

// notifyRecord wakes the waiters of a record and returns a function that notifies the
// observer, to be called without the lock.
func (r *Replica) notifyRecord(record *structs.Record, verdict ledger.Verdict) func() {
	noop := func() {}
	switch {
	case record.Claim != nil:
		return r.notifyClaim(record.Claim, verdict)
	case record.Submit != nil:
		for _, waiter := range r.submitWaiters[record.Submit.ID] {
			waiter <- verdict.Reason
		}
		delete(r.submitWaiters, record.Submit.ID)
		return r.notifyJob(record.Submit.ID)
	case record.Cancel != nil:
		return r.notifyJob(record.Cancel.Job)
	case record.Start != nil:
		return r.notifyJob(record.Start.Job)
	case record.Stop != nil:
		return r.notifyJob(record.Stop.Job)
	case record.End != nil:
		return r.notifyJob(record.End.Job)
	case record.Term != nil && verdict.Valid && r.observer != nil:
		term := *record.Term
		return func() { r.observer.TermChanged(term) }
	}
	return noop
}

func (r *Replica) notifyJob(job string) func() {
	if r.observer == nil {
		return func() {}
	}
	return func() { r.observer.JobChanged(job) }
}

func (r *Replica) notifyClaim(claim *structs.Claim, verdict ledger.Verdict) func() {
	waiter, found := r.claimWaiters[claim.ID]
	if found {
		delete(r.claimWaiters, claim.ID)
		waiter <- ClaimResult{Entry: r.copyKeyEntry(claim.Key), VoidReason: verdict.Reason}
		return func() {}
	}
	if !verdict.Valid || claim.Holder != r.identity || r.observer == nil {
		return func() {}
	}
	orphan := *claim
	return func() { r.observer.OrphanClaim(orphan) }
}

func (r *Replica) foldProposal(offset int64, proposal *structs.Proposal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset != r.targets.NextOffset {
		return
	}
	decision := r.targets.Apply(proposal)
	if waiter, found := r.proposalWaiters[proposal.ID]; found {
		delete(r.proposalWaiters, proposal.ID)
		waiter <- decision
	}
	if decision.Accepted {
		close(r.targetsChanged)
		r.targetsChanged = make(chan struct{})
	}
}

// Key returns a copy of a key's entry, or nil.
func (r *Replica) Key(key structs.KeyID) *ledger.KeyEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copyKeyEntry(key)
}

func (r *Replica) copyKeyEntry(key structs.KeyID) *ledger.KeyEntry {
	entry, exists := r.ledger.Keys[key]
	if !exists {
		return nil
	}
	copied := *entry
	return &copied
}

// OpenClaims returns the open claims for which match is true.
func (r *Replica) OpenClaims(match func(structs.Claim) bool) []structs.Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var claims []structs.Claim
	for _, entry := range r.ledger.Keys {
		if entry.Phase == ledger.KeyOpen && match(entry.Claim) {
			claims = append(claims, entry.Claim)
		}
	}
	return claims
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
	var jobs []*ledger.JobEntry
	for _, entry := range r.ledger.Jobs {
		if entry.Phase != ledger.JobEnded {
			copied := *entry
			jobs = append(jobs, &copied)
		}
	}
	return jobs
}

// Term returns the current term.
func (r *Replica) Term() structs.Term {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Term
}

// PrunedBefore returns the issue time, in Unix milliseconds, before which claims and
// submissions are void.
func (r *Replica) PrunedBefore() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.PrunedBefore
}

// Targets returns the current targets and their version.
func (r *Replica) Targets() (*targets.Targets, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets.Targets, r.targets.Version
}

// Document returns the current targets document and its version.
func (r *Replica) Document() (string, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets.Document, r.targets.Version
}

// WaitVersion waits until the given version of the targets is reached or ctx ends.
func (r *Replica) WaitVersion(ctx context.Context, version int64) bool {
	for {
		r.mu.Lock()
		reached := r.targets.Version >= version
		changed := r.targetsChanged
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

// Offsets returns the offsets of the next records to fold of the two streams.
func (r *Replica) Offsets() (ledgerNext, targetsNext int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.NextOffset, r.targets.NextOffset
}

// Snapshot returns a copy of the folded state.
func (r *Replica) Snapshot(atMS int64) *ledger.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := &ledger.Snapshot{
		AtMS:            atMS,
		TargetsNext:     r.targets.NextOffset,
		TargetsVersion:  r.targets.Version,
		TargetsDocument: r.targets.Document,
		TargetsLastID:   r.targets.LastID,
	}
	r.ledger.CopyTo(snapshot)
	return snapshot
}

// Restore replaces the folded state by a snapshot that is ahead of it. Each of the
// two streams is compared on its own, so that neither goes back.
func (r *Replica) Restore(snapshot *ledger.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snapshot.LedgerNext > r.ledger.NextOffset {
		r.ledger.Restore(snapshot)
		r.ledgerGap = false
	}
	if snapshot.TargetsNext <= r.targets.NextOffset {
		return nil
	}
	r.targetsGap = false
	return r.targets.Restore(snapshot.TargetsNext, snapshot.TargetsVersion, snapshot.TargetsDocument, snapshot.TargetsLastID)
}
