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
	heartbeatInterval = 500 * time.Millisecond
	maxCopiedRecords  = 2000 // pending records copied to other instances, per stream
	copyCount         = 2    // instances that hold a copy
	maxCopyOrigins    = 64
)

// origin identifies the instance, boot and stream of copied records.
type origin struct {
	instance string
	boot     int64
	stream   string
}

// peerSync exchanges messages with the other instances: heartbeats, notices of
// leaving runners, and copies of records that cannot be appended to the log yet.
type peerSync struct {
	instance      *Instance
	mu            sync.Mutex
	copies        map[origin][][]byte
	copiedStreams map[string]bool // streams whose pending records were copied to other instances
}

func newPeerSync(i *Instance) *peerSync {
	return &peerSync{instance: i, copies: map[origin][][]byte{}, copiedStreams: map[string]bool{}}
}

func (s *peerSync) run(ctx context.Context) {
	for logstream.Sleep(ctx, heartbeatInterval) {
		s.heartbeat()
		s.announceLeaving()
		s.copyPending(s.instance.ledgerWriter, logstream.StreamLedger)
		s.copyPending(s.instance.refusalWriter, logstream.StreamRefusals)
		s.adoptLost()
	}
}

func (s *peerSync) heartbeat() {
	i := s.instance
	_, version := i.replica.Targets()
	ledgerNext, _ := i.replica.Offsets()
	i.link.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Draining: i.draining.Load(), TargetsVersion: version, Term: i.replica.Term().Number, LedgerNext: ledgerNext}}})
}

func (s *peerSync) announceLeaving() {
	for _, runner := range s.instance.slots.takeLeaving() {
		s.instance.events.Add("runner_leaving", runner.ID, "", "")
		s.instance.link.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_RunnerLeaving{
			RunnerLeaving: &peerpb.RunnerLeaving{Runner: runner.ID, Boot: runner.Boot}}})
	}
}

// copyPending copies records that cannot be appended now to two other instances, and
// notifies the instances when the records are appended.
func (s *peerSync) copyPending(writer *logstream.Writer, stream string) {
	if writer.Available() {
		if s.copiedStreams[stream] {
			s.copiedStreams[stream] = false
			s.instance.link.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_PendingWritten{
				PendingWritten: &peerpb.PendingWritten{Stream: stream}}})
		}
		return
	}
	records := writer.Pending(maxCopiedRecords)
	if len(records) == 0 {
		return
	}
	s.copiedStreams[stream] = true
	s.instance.link.SendUpTo(copyCount, &peerpb.Envelope{Body: &peerpb.Envelope_PendingRecords{
		PendingRecords: &peerpb.PendingRecords{Stream: stream, Records: records}}})
}

// adoptLost appends the copied records of lost instances. Records that were appended
// twice do no harm: the fold voids duplicates, and refusals carry identifiers.
func (s *peerSync) adoptLost() {
	i := s.instance
	if !i.logAvailable() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for source, records := range s.copies {
		if !i.isLost(source.instance, source.boot) {
			continue
		}
		writer := i.ledgerWriter
		if source.stream == logstream.StreamRefusals {
			writer = i.refusalWriter
		}
		for _, data := range records {
			if !writer.Offer(logstream.Entry{Data: data}) {
				return // retried at the next heartbeat
			}
		}
		delete(s.copies, source)
		i.log.WithField("origin", source.instance).WithField("stream", source.stream).WithField("records", len(records)).Info("adopted_pending_records")
	}
}

// handleMessage processes a message from another instance. It returns the reply, or nil.
func (s *peerSync) handleMessage(envelope *peerpb.Envelope) *peerpb.Envelope {
	i := s.instance
	switch body := envelope.GetBody().(type) {
	case *peerpb.Envelope_RunnerLeaving:
		i.slots.markLeaving(body.RunnerLeaving.GetRunner(), body.RunnerLeaving.GetBoot())
	case *peerpb.Envelope_PendingRecords:
		s.storeCopy(envelope, body.PendingRecords)
	case *peerpb.Envelope_PendingWritten:
		s.mu.Lock()
		delete(s.copies, origin{envelope.GetSender(), envelope.GetBoot(), body.PendingWritten.GetStream()})
		s.mu.Unlock()
	case *peerpb.Envelope_SnapshotRequest:
		return s.snapshotReply()
	}
	return nil
}

func (s *peerSync) storeCopy(envelope *peerpb.Envelope, pending *peerpb.PendingRecords) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := origin{envelope.GetSender(), envelope.GetBoot(), pending.GetStream()}
	_, exists := s.copies[source]
	if !exists && len(s.copies) >= maxCopyOrigins {
		return
	}
	s.copies[source] = pending.GetRecords()
	if !exists {
		s.instance.events.Add("copies_stored", source.instance, "", source.stream)
	}
}

func (s *peerSync) snapshotReply() *peerpb.Envelope {
	i := s.instance
	reply := &peerpb.SnapshotReply{}
	if i.ready() {
		data, err := ledger.Encode(i.replica.Snapshot(i.now().UnixMilli()))
		if err == nil {
			reply.Data = data
		}
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_SnapshotReply{SnapshotReply: reply}}
}

// isLost reports whether a boot of an instance is certainly or very probably gone: a
// later boot was seen, or no message was received for instanceLostAfter.
func (i *Instance) isLost(name string, boot int64) bool {
	if name == i.settings.Name {
		return boot != i.boot
	}
	seen, ok := i.link.PeerState(name)
	if ok && seen.Boot > boot {
		return true
	}
	if ok {
		return i.now().Sub(seen.LastMessageAt) > instanceLostAfter
	}
	return i.now().Sub(i.startedAt) > instanceLostAfter
}
