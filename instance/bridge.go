package instance

import (
	"context"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/peers/peerpb"
)

const (
	heartbeatEvery = 500 * time.Millisecond
	copiedRecords  = 2000 // pending records copied to others, for each stream
	copyTo         = 2    // instances that keep a copy
	maxKeptOrigins = 64
)

// origin names whose records are kept, and of which stream.
type origin struct {
	instance string
	boot     int64
	stream   string
}

// bridge is the duty that talks to the other instances: heartbeats, runners
// seen to be leaving, and copies of records that wait for the log.
type bridge struct {
	instance *Instance
	mu       sync.Mutex
	kept     map[origin][][]byte
	copied   map[string]bool // streams of which others hold copies
}

func newBridge(i *Instance) *bridge {
	return &bridge{instance: i, kept: map[origin][][]byte{}, copied: map[string]bool{}}
}

func (b *bridge) run(ctx context.Context) {
	for logstream.Sleep(ctx, heartbeatEvery) {
		b.heartbeat()
		b.tellLeaving()
		b.copyPending(b.instance.ledgerWriter, logstream.StreamLedger)
		b.copyPending(b.instance.refusalWriter, logstream.StreamRefusals)
		b.adoptLost()
	}
}

func (b *bridge) heartbeat() {
	i := b.instance
	_, version := i.replica.Targets()
	ledgerNext, _ := i.replica.Offsets()
	i.link.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Draining: i.draining.Load(), TargetsVersion: version, Term: i.replica.Term().Number, LedgerNext: ledgerNext}}})
}

func (b *bridge) tellLeaving() {
	for _, runner := range b.instance.dispatch.takeLeaving() {
		b.instance.events.Add("runner_leaving", runner.ID, "", "")
		b.instance.link.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_RunnerLeaving{
			RunnerLeaving: &peerpb.RunnerLeaving{Runner: runner.ID, Boot: runner.Boot}}})
	}
}

// copyPending lets two others keep what cannot be appended now, and tells them
// when it was.
func (b *bridge) copyPending(writer *logstream.Writer, stream string) {
	if writer.Available() {
		if b.copied[stream] {
			b.copied[stream] = false
			b.instance.link.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_PendingWritten{
				PendingWritten: &peerpb.PendingWritten{Stream: stream}}})
		}
		return
	}
	records := writer.Pending(copiedRecords)
	if len(records) == 0 {
		return
	}
	b.copied[stream] = true
	b.instance.link.SendUpTo(copyTo, &peerpb.Envelope{Body: &peerpb.Envelope_PendingRecords{
		PendingRecords: &peerpb.PendingRecords{Stream: stream, Records: records}}})
}

// adoptLost appends what lost instances could not. The folds void what was
// appended twice, and refusals carry identifiers.
func (b *bridge) adoptLost() {
	i := b.instance
	if !i.logAvailable() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for from, records := range b.kept {
		if !i.lost(from.instance, from.boot) {
			continue
		}
		writer := i.ledgerWriter
		if from.stream == logstream.StreamRefusals {
			writer = i.refusalWriter
		}
		for _, data := range records {
			if !writer.Offer(logstream.Entry{Data: data}) {
				return // tried again at the next beat
			}
		}
		delete(b.kept, from)
		i.log.WithField("origin", from.instance).WithField("stream", from.stream).WithField("records", len(records)).Info("adopted_pending_records")
	}
}

// handle takes a message from another instance.
func (b *bridge) handle(envelope *peerpb.Envelope) *peerpb.Envelope {
	i := b.instance
	switch body := envelope.GetBody().(type) {
	case *peerpb.Envelope_RunnerLeaving:
		i.dispatch.markLeaving(body.RunnerLeaving.GetRunner(), body.RunnerLeaving.GetBoot())
	case *peerpb.Envelope_PendingRecords:
		b.keep(envelope, body.PendingRecords)
	case *peerpb.Envelope_PendingWritten:
		b.mu.Lock()
		delete(b.kept, origin{envelope.GetSender(), envelope.GetBoot(), body.PendingWritten.GetStream()})
		b.mu.Unlock()
	case *peerpb.Envelope_SnapshotRequest:
		return b.snapshotReply()
	}
	return nil
}

func (b *bridge) keep(envelope *peerpb.Envelope, pending *peerpb.PendingRecords) {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := origin{envelope.GetSender(), envelope.GetBoot(), pending.GetStream()}
	if _, known := b.kept[from]; !known && len(b.kept) >= maxKeptOrigins {
		return
	}
	b.kept[from] = pending.GetRecords()
}

func (b *bridge) snapshotReply() *peerpb.Envelope {
	i := b.instance
	reply := &peerpb.SnapshotReply{}
	if i.ready() {
		data, err := ledger.Encode(i.replica.Snapshot(i.now().UnixMilli()))
		if err == nil {
			reply.Data = data
		}
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_SnapshotReply{SnapshotReply: reply}}
}

// lost reports whether an instance's boot is surely or very probably gone: a
// later boot was seen, or nothing was heard for long.
func (i *Instance) lost(name string, boot int64) bool {
	if name == i.settings.Name {
		return boot != i.boot
	}
	seen, ok := i.link.Seen(name)
	if ok && seen.Boot > boot {
		return true
	}
	if ok {
		return i.now().Sub(seen.At) > lostAfter
	}
	return i.now().Sub(i.started) > lostAfter
}
