package instance

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/peers/peerpb"
	"github.com/teaselcleat/teaselcleat/structs"
)

const (
	restoreRetry   = 200 * time.Millisecond
	restoreTimeout = 10 * time.Second
)

// readStreams restores the newest snapshot, then tails both streams.
func (i *Instance) readStreams(ctx context.Context) {
	if !i.restoreAtStart(ctx) {
		return
	}
	var tails sync.WaitGroup
	tails.Add(3)
	go func() { defer tails.Done(); i.ledgerTail.Run(ctx) }()
	go func() { defer tails.Done(); i.targetsTail.Run(ctx) }()
	go func() { defer tails.Done(); i.healGaps(ctx) }()
	tails.Wait()
}

// restoreAtStart tries the log's snapshots, and a peer's while the log is out.
func (i *Instance) restoreAtStart(ctx context.Context) bool {
	for ctx.Err() == nil {
		snapshot, err := i.newestSnapshot(ctx)
		if err == nil {
			i.restore(snapshot, "log")
			i.restored.Store(true)
			return true
		}
		if peer := i.peerSnapshot(); peer != nil && (peer.LedgerNext > 0 || peer.TargetsNext > 0) {
			i.snapshotAge.Store(max(1, i.now().UnixMilli()-peer.AtMS))
			i.restore(peer, "peer")
			i.restored.Store(true)
			return true
		}
		logstream.Sleep(ctx, restoreRetry)
	}
	return false
}

func (i *Instance) restore(snapshot *ledger.Snapshot, source string) {
	if snapshot == nil {
		return
	}
	if err := i.replica.Restore(snapshot); err != nil {
		i.log.WithField("error", err.Error()).Error("snapshot_refused")
		return
	}
	i.log.WithField("source", source).WithField("ledger_next", snapshot.LedgerNext).
		WithField("targets_version", snapshot.TargetsVersion).Info("snapshot_restored")
	i.events.Add("snapshot_restored", i.settings.Name, "", source)
}

// newestSnapshot reads the snapshot stream to its end. A nil snapshot without
// an error means that none was ever written.
func (i *Instance) newestSnapshot(ctx context.Context) (*ledger.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	assembler := ledger.NewAssembler()
	err := logstream.ReadAll(ctx, i.platformLog, logstream.StreamSnapshots, func(data []byte) {
		var part ledger.Part
		if json.Unmarshal(data, &part) == nil {
			assembler.Add(part)
		}
	})
	return assembler.Newest(), err
}

// peerSnapshot asks the connected instances for their state and keeps the one
// furthest along.
func (i *Instance) peerSnapshot() *ledger.Snapshot {
	var best *ledger.Snapshot
	for _, name := range i.link.Connected() {
		reply, err := i.link.Request(name, &peerpb.Envelope{Body: &peerpb.Envelope_SnapshotRequest{SnapshotRequest: &peerpb.SnapshotRequest{}}})
		if err != nil || reply.GetSnapshotReply() == nil {
			continue
		}
		snapshot, err := ledger.Decode(reply.GetSnapshotReply().GetData())
		if err != nil {
			continue
		}
		if best == nil || snapshot.LedgerNext > best.LedgerNext {
			best = snapshot
		}
	}
	return best
}

// healGaps restores a newer snapshot when retention overtook this instance.
func (i *Instance) healGaps(ctx context.Context) {
	for logstream.Sleep(ctx, restoreRetry) {
		if !i.replica.Gap() {
			continue
		}
		snapshot, err := i.newestSnapshot(ctx)
		if err == nil {
			i.restore(snapshot, "log")
		}
		if i.replica.Gap() {
			i.restore(i.peerSnapshot(), "peer")
		}
	}
}

// OrphanClaim implements replica.Observer: a claim that took effect after its
// request was given up is released, since nothing was and will be sent for it.
func (i *Instance) OrphanClaim(claim structs.Claim) {
	i.appendRecord(&structs.Record{Kind: structs.RecordRelease, Release: &structs.Release{
		ClaimID: claim.ID, Key: claim.Key, Reason: structs.ReasonLogUnavailable}}, nil)
}

// JobChanged implements replica.Observer.
func (i *Instance) JobChanged(job string) { i.placer.jobChanged(job) }

// TermChanged implements replica.Observer.
func (i *Instance) TermChanged(term structs.Term) {
	i.log.WithField("term", term.Number).WithField("holder", term.Holder).Info("term_changed")
	i.events.Add("term_changed", term.Holder, "", "")
}

// appendRecord stamps a record and hands it to the ledger's writer. It reports
// false if the writer is full.
func (i *Instance) appendRecord(record *structs.Record, abandoned func() bool) bool {
	record.AtMS = i.now().UnixMilli()
	if i.ledgerWriter.OfferJSON(record, abandoned) {
		return true
	}
	metrics.GetOrRegisterCounter("log.ledger.refused_full", i.registry).Inc(1)
	i.log.WithField("kind", string(record.Kind)).Error("ledger_writer_full")
	return false
}
