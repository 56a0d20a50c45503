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
	maintenanceInterval = 100 * time.Millisecond
	prunesPerRetention  = 24
	snapshotTimeout     = 30 * time.Second
)

// maintainer writes snapshots, prunes old keys and closes claims whose holder is lost, that
// is, completes them with the outcome unknown. Its duty is named keeper in the log.
// Only the leader does so, to save appends; the folds would tolerate several instances.
type maintainer struct {
	instance        *Instance
	snapshotAt      time.Time
	snapshotOffsets int64 // sum of the next offsets of the ledger and targets streams at the last snapshot
	prunedAt        time.Time
	claimsClosedAt  time.Time
}

func newMaintainer(i *Instance) *maintainer { return &maintainer{instance: i} }

func (m *maintainer) run(ctx context.Context) {
	i := m.instance
	for logstream.Sleep(ctx, maintenanceInterval) {
		if i.replica.Term().Leader != i.identity || !i.logAvailable() {
			continue
		}
		m.writeSnapshotIfDue(ctx)
		m.pruneIfDue()
		m.closeLostClaims()
	}
}

func (m *maintainer) writeSnapshotIfDue(ctx context.Context) {
	i := m.instance
	now := i.now()
	ledgerNext, targetsNext := i.replica.Offsets()
	if now.Sub(m.snapshotAt) < i.settings.SnapshotInterval || m.snapshotOffsets == ledgerNext+targetsNext {
		return
	}
	if err := i.writeSnapshot(ctx); err != nil {
		i.log.WithField("error", err.Error()).Warn("snapshot_failed")
		return
	}
	m.snapshotAt = now
	m.snapshotOffsets = ledgerNext + targetsNext
}

// writeSnapshot appends the state in parts. Parts of an interrupted snapshot are never
// used, as its checksum does not match.
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

func (m *maintainer) pruneIfDue() {
	i := m.instance
	now := i.now()
	if now.Sub(m.prunedAt) < i.settings.KeyRetention/prunesPerRetention {
		return
	}
	m.prunedAt = now
	cutoff := now.Add(-i.settings.KeyRetention).UnixMilli()
	if cutoff > i.replica.PrunedBefore() {
		i.appendRecord(&structs.Record{Kind: structs.RecordPrune, Prune: &structs.Prune{BeforeMS: cutoff}}, nil)
	}
}

// closeLostClaims closes the open claims of lost holders with the outcome unknown, for the
// operator to reconcile. It looks for them three times per instanceLostAfter.
func (m *maintainer) closeLostClaims() {
	i := m.instance
	now := i.now()
	if now.Sub(m.claimsClosedAt) < instanceLostAfter/3 {
		return
	}
	m.claimsClosedAt = now
	for _, claim := range i.replica.OpenClaims(i.claimHolderLost) {
		i.closeLostClaim(claim)
		i.events.Add("claim_closed_unknown", claim.Key.Key, claim.Key.Workspace, claim.Holder)
		i.refusals.add(structs.Refusal{Subject: claim.Key.Key, Workspace: claim.Key.Workspace, Class: claim.Class,
			Outcome: structs.OutcomeUnknown, Reason: structs.ReasonClaimHolderLost, AtMS: now.UnixMilli()})
	}
}
