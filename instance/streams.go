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
	restoreInterval = 200 * time.Millisecond
	restoreTimeout  = 10 * time.Second
)

// readStreams restores the newest snapshot and then tails both streams.
func (i *Instance) readStreams(ctx context.Context) {
	if !i.restoreAtStart(ctx) {
		return
	}
	var readers sync.WaitGroup
	readers.Add(3)
	go func() { defer readers.Done(); i.ledgerTailer.Run(ctx) }()
	go func() { defer readers.Done(); i.targetsTailer.Run(ctx) }()
	go func() { defer readers.Done(); i.recoverGaps(ctx) }()
	readers.Wait()
}

// restoreAtStart restores the newest snapshot of the log, or of a peer while the log
// is unavailable.
func (i *Instance) restoreAtStart(ctx context.Context) bool {
	for ctx.Err() == nil {
		snapshot, err := i.newestSnapshot(ctx)
		if err == nil {
			i.restore(snapshot, "log")
			return true
		}
		if peer := i.peerSnapshot(); peer != nil && (peer.LedgerNext > 0 || peer.TargetsNext > 0) {
			i.snapshotAgeMS.Store(max(1, i.now().UnixMilli()-peer.AtMS))
			i.restore(peer, "peer")
			return true
		}
		logstream.Sleep(ctx, restoreInterval)
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

// newestSnapshot reads the snapshot stream to its end. A nil snapshot without an
// error means that none was ever written.
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

// peerSnapshot requests the state of each connected instance and returns the newest ledger
// and the newest targets among them.
func (i *Instance) peerSnapshot() *ledger.Snapshot {
	var newest *ledger.Snapshot
	for _, name := range i.link.Connected() {
		reply, err := i.link.Request(name, &peerpb.Envelope{Body: &peerpb.Envelope_SnapshotRequest{SnapshotRequest: &peerpb.SnapshotRequest{}}})
		if err != nil || reply.GetSnapshotReply() == nil {
			continue
		}
		snapshot, err := ledger.Decode(reply.GetSnapshotReply().GetData())
		if err != nil {
			continue
		}
		newest = ledger.Newest(newest, snapshot)
	}
	return newest
}

// recoverGaps restores a newer snapshot when retention removed records before this
// instance read them.
func (i *Instance) recoverGaps(ctx context.Context) {
	for logstream.Sleep(ctx, restoreInterval) {
		if !i.replica.HasGap() {
			continue
		}
		snapshot, err := i.newestSnapshot(ctx)
		if err == nil {
			i.restore(snapshot, "log")
		}
		if i.replica.HasGap() {
			i.restore(i.peerSnapshot(), "peer")
		}
	}
}

// OrphanClaim implements replica.Observer: it releases a claim that took effect after
// its request had ended, since nothing was or will be sent for the request.
func (i *Instance) OrphanClaim(claim structs.Claim) {
	i.appendRecord(&structs.Record{Kind: structs.RecordRelease, Release: &structs.Release{
		ClaimID: claim.ID, Key: claim.Key, Reason: structs.ReasonLogUnavailable}}, nil)
}

// JobChanged implements replica.Observer.
func (i *Instance) JobChanged(job string) { i.placer.jobChanged(job) }

// TermChanged implements replica.Observer. The log names the leader holder.
func (i *Instance) TermChanged(term structs.Term) {
	i.log.WithField("term", term.Number).WithField("holder", term.Leader).Info("term_changed")
	i.events.Add("term_changed", term.Leader, "", "")
}

// appendRecord stamps a record and passes it to the ledger's writer. It reports false
// if the writer is full.
func (i *Instance) appendRecord(record *structs.Record, abandoned func() bool) bool {
	record.AtMS = i.now().UnixMilli()
	if i.ledgerWriter.OfferJSON(record, abandoned) {
		return true
	}
	metrics.GetOrRegisterCounter("log.ledger.refused_full", i.registry).Inc(1)
	i.log.WithField("kind", string(record.Kind)).Error("ledger_writer_full")
	return false
}
