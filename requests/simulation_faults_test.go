package requests_test

import (
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/structs"
)

func (s *simulation) killInstance() {
	inst := s.drawInstance()
	inst.dead = true // its unflushed records and its callers are lost
	s.addInstance()
}

func (s *simulation) pauseOrResume() {
	for _, inst := range s.instances {
		if inst.paused {
			inst.paused = false
			return
		}
	}
	s.drawInstance().paused = true
}

// closeLostClaims lets an instance record the open claims of dead instances as unknown.
func (s *simulation) closeLostClaims() {
	inst := s.drawInstance()
	for _, key := range s.keys {
		entry := inst.fold.Keys[structs.KeyID{Key: key}]
		if entry == nil || entry.Phase != ledger.KeyOpen || !s.appearsLost(entry.Claim.Holder) {
			continue
		}
		if s.mutation == releaseByAnother {
			s.enqueue(inst, structs.Record{Release: &structs.Release{ClaimID: entry.Claim.ID, Key: entry.Claim.Key}}, nil)
			continue
		}
		s.enqueue(inst, structs.Record{Complete: &structs.Completion{ClaimID: entry.Claim.ID, Key: entry.Claim.Key,
			Outcome: structs.OutcomeUnknown, Reason: structs.ReasonClaimHolderLost}}, nil)
	}
}

// restoreFromSnapshot replaces an instance's fold by one restored from its encoded
// snapshot.
func (s *simulation) restoreFromSnapshot() {
	inst := s.drawInstance()
	snapshot := &ledger.Snapshot{}
	inst.fold.CopyTo(snapshot)
	data, err := ledger.Encode(snapshot)
	if err != nil {
		s.t.Fatal(err)
	}
	decoded, err := ledger.Decode(data)
	if err != nil {
		s.t.Fatal(err)
	}
	inst.fold = ledger.New()
	inst.fold.Restore(decoded)
}

// prune deletes decided keys that were issued before now.
func (s *simulation) prune() {
	before := s.now.UnixMilli()
	if s.mutation == pruneWithoutRefusal {
		for _, inst := range s.instances {
			inst.fold.Keys = map[structs.KeyID]*ledger.KeyEntry{}
		}
		return
	}
	s.enqueue(s.drawInstance(), structs.Record{Prune: &structs.Prune{BeforeMS: before}}, nil)
}
