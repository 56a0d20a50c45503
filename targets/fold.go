package targets

import (
	"github.com/teaselcleat/teaselcleat/structs"
)

// Fold is the state that results from the operators' proposals. Every instance applies the
// same stream in offset order. A proposal is accepted if it is based on the current version
// and its document is valid, so of two racing proposals one is refused. The version never goes
// down.
type Fold struct {
	NextOffset int64    // offset of the next proposal to apply
	Version    int64    // current version; 0 before the first
	Document   string   // the current document
	LastID     string   // identifier of the last accepted proposal
	Targets    *Targets // the parsed document
}

// NewFold returns the state before the first proposal.
func NewFold() *Fold {
	return &Fold{Targets: &Targets{Classes: map[string]Class{}, Workspaces: map[string]Workspace{}}}
}

// Decision is the result of applying a proposal.
type Decision struct {
	Accepted bool
	Reason   structs.Reason
	Version  int64 // current version after the proposal
	Detail   string
}

// Apply applies the proposal at the next offset. A proposal that was appended twice because
// its answer was lost is accepted once.
func (f *Fold) Apply(proposal *structs.Proposal) Decision {
	f.NextOffset++
	if proposal.ID != "" && proposal.ID == f.LastID {
		return Decision{Accepted: true, Version: f.Version}
	}
	if proposal.Base != f.Version {
		return Decision{Reason: structs.ReasonVersionConflict, Version: f.Version}
	}
	parsed, err := Parse(proposal.Document)
	if err != nil {
		return Decision{Reason: structs.ReasonInvalidTargets, Version: f.Version, Detail: err.Error()}
	}
	f.Version++
	f.Document = proposal.Document
	f.LastID = proposal.ID
	f.Targets = parsed
	return Decision{Accepted: true, Version: f.Version}
}

// Restore replaces the state by that of a snapshot, unless the snapshot is older.
func (f *Fold) Restore(next, version int64, document, lastID string) error {
	if version < f.Version || next < f.NextOffset {
		return nil
	}
	parsed, err := Parse(document)
	if err != nil {
		return err
	}
	*f = Fold{NextOffset: next, Version: version, Document: document, LastID: lastID, Targets: parsed}
	return nil
}
