package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/structs"
)

const (
	keeperTick      = 100 * time.Millisecond
	pruneShare      = 24 // prunes in one key window
	snapshotTimeout = 30 * time.Second
)

// keeper is the duty that writes snapshots, forgets old keys and closes claims
// whose holder is lost. Only the placing instance does so, to save appends;
// the folds would bear several.
type keeper struct {
	instance     *Instance
	snapshotAt   time.Time
	snapshotNext int64
	prunedAt     time.Time
	closedAt     time.Time
}

func newKeeper(i *Instance) *keeper { return &keeper{instance: i} }

func (k *keeper) run(ctx context.Context) {
	i := k.instance
	for logstream.Sleep(ctx, keeperTick) {
		if i.replica.Term().Holder != i.holder || !i.logAvailable() {
			continue
		}
		k.snapshot(ctx)
		k.prune()
		k.closeLost()
	}
}

func (k *keeper) snapshot(ctx context.Context) {
	i := k.instance
	now := i.now()
	ledgerNext, targetsNext := i.replica.Offsets()
	if now.Sub(k.snapshotAt) < i.settings.SnapshotEvery || k.snapshotNext == ledgerNext+targetsNext {
		return
	}
	if err := i.writeSnapshot(ctx); err != nil {
		i.log.WithField("error", err.Error()).Warn("snapshot_failed")
		return
	}
	k.snapshotAt = now
	k.snapshotNext = ledgerNext + targetsNext
}

// writeSnapshot appends the state in parts. Parts of an interrupted snapshot
// are never used, as its checksum cannot agree.
func (i *Instance) writeSnapshot(ctx context.Context) error {
	data, err := ledger.Encode(i.replica.Snapshot(i.now().UnixMilli()))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	for _, part := range ledger.Split(i.newID(), data) {
		encoded, err := json.Marshal(part)
		if err != nil {
			return err
		}
		if _, err := i.platformLog.Append(ctx, logstream.StreamSnapshots, [][]byte{encoded}); err != nil {
			return err
		}
	}
	return nil
}

func (k *keeper) prune() {
	i := k.instance
	now := i.now()
	if now.Sub(k.prunedAt) < i.settings.KeyWindow/pruneShare {
		return
	}
	k.prunedAt = now
	before := now.Add(-i.settings.KeyWindow).UnixMilli()
	if before > i.replica.PrunedBefore() {
		i.appendRecord(&structs.Record{Kind: structs.RecordPrune, Prune: &structs.Prune{BeforeMS: before}}, nil)
	}
}

// closeLost makes open claims of lost holders unknown, which is for the
// operator to reconcile.
func (k *keeper) closeLost() {
	i := k.instance
	now := i.now()
	if now.Sub(k.closedAt) < lostAfter/3 {
		return
	}
	k.closedAt = now
	for _, claim := range i.replica.OpenClaims(i.holderLost) {
		i.closeLost(claim)
		i.events.Add("claim_closed_unknown", claim.Key.Key, claim.Key.Workspace, claim.Holder)
		i.refusals.add(structs.Refusal{Subject: claim.Key.Key, Workspace: claim.Key.Workspace, Class: claim.Class,
			Outcome: structs.OutcomeUnknown, Reason: structs.ReasonHolderLost, AtMS: now.UnixMilli()})
	}
}
