package requests_test

import (
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/structs"
)

func (w *world) kill() {
	h := w.drawHolder()
	h.dead = true // its writer's records and its callers are gone with it
	w.addHolder()
}

func (w *world) pauseOrResume() {
	for _, h := range w.holders {
		if h.paused {
			h.paused = false
			return
		}
	}
	w.drawHolder().paused = true
}

// closeLost lets an instance call the claims of a lost holder unknown.
func (w *world) closeLost() {
	h := w.drawHolder()
	for _, key := range w.keys {
		entry := h.fold.Keys[structs.KeyID{Key: key}]
		if entry == nil || entry.Phase != ledger.KeyOpen || !w.dead(entry.Claim.Holder) {
			continue
		}
		if w.breakage == othersMayRelease {
			w.append(h, structs.Record{Release: &structs.Release{ClaimID: entry.Claim.ID, Key: entry.Claim.Key}}, nil)
			continue
		}
		w.append(h, structs.Record{Complete: &structs.Complete{ClaimID: entry.Claim.ID, Key: entry.Claim.Key,
			Outcome: structs.OutcomeUnknown, Reason: structs.ReasonHolderLost}}, nil)
	}
}

// restart gives an instance a new fold from a snapshot taken through encoding.
func (w *world) restart() {
	h := w.drawHolder()
	snapshot := &ledger.Snapshot{}
	h.fold.Fill(snapshot)
	data, err := ledger.Encode(snapshot)
	if err != nil {
		w.t.Fatal(err)
	}
	decoded, err := ledger.Decode(data)
	if err != nil {
		w.t.Fatal(err)
	}
	h.fold = ledger.New()
	h.fold.Restore(decoded)
}

// prune forgets what was issued before now; time moves on so that new claims count.
func (w *world) prune() {
	before := w.now.UnixMilli()
	if w.breakage == pruneWithoutRefusal {
		for _, h := range w.holders {
			h.fold.Keys = map[structs.KeyID]*ledger.KeyEntry{}
		}
		return
	}
	w.append(w.drawHolder(), structs.Record{Prune: &structs.Prune{BeforeMS: before}}, nil)
}
