package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// renewalDelay is how long progress may be in flight before its part of the log counts as down, and
// the term is renewed independently. With a store that takes 0.3 s for an append, an earlier
// renewal would delay the group that waits for it.
const renewalDelay = 600 * time.Millisecond

// recordGroup holds records that the leader writes as a unit.
type recordGroup struct {
	progress []jobs.Record // progress of tasks
	states   []jobs.Record
}

// fencedWriter appends the leader's records one group at a time, and renews the term.
type fencedWriter struct {
	leader        *leader
	groups        chan recordGroup
	pendingGroups int // groups not yet confirmed; used only by the leader's loop
	states        *fencedAppender
	progress      *fencedAppender // nil if states and progress share a part

	earlySignal  chan struct{} // early states are queued
	writingEarly atomic.Bool   // early states are being written while a group is in flight
	statesLock   chan struct{} // semaphore held while states are appended

	lock        sync.Mutex
	earlyStates []jobs.Record // states that do not wait for a group
	term        jobs.Term
	renewNow    bool // renew the term regardless of the time
	stalled     bool // progress cannot be written
	wonAt       time.Time
	confirmedAt time.Time // when the newest successful append of states was sent
	// formerLeasesExpireAt is when leases have expired that were granted before the term; zero until that is known.
	formerLeasesExpireAt time.Time
}

// newFencedWriter returns a writer that continues after the append that claimed the term, which was sent at
// claimedAt.
func newFencedWriter(leader *leader, term jobs.Term, sequence int64, claimedAt time.Time) *fencedWriter {
	w := &fencedWriter{
		leader:      leader,
		groups:      make(chan recordGroup, 2), // the engine's and a renewal
		earlySignal: make(chan struct{}, 1),
		statesLock:  make(chan struct{}, 1),
		term:        term,
		wonAt:       leader.clock.Now(),
		confirmedAt: claimedAt,
	}
	i := leader.instance
	w.states = &fencedAppender{store: i.store, clock: i.clock, part: statePart, epoch: term.Epoch, sequence: sequence, isInLog: w.renewalWasRead, answeredAt: i.lastStoreAnswer}
	if part := progressPart(i.settings.StoreParts); part != statePart {
		w.progress = &fencedAppender{store: i.store, clock: i.clock, part: part, epoch: term.Epoch, sequence: i.randomSequence(), isInLog: i.progressWasRead, onAttempt: w.recordProgressAttempt, answeredAt: i.lastStoreAnswer}
	}
	return w
}

// fenceProgress keeps former leaders from writing progress from now on. They cannot write states
// anymore, as the claim was written to the part with the states.
func (w *fencedWriter) fenceProgress(ctx context.Context) error {
	if w.progress == nil {
		return nil
	}
	return w.writeProgress(ctx, nil)
}

// writeProgress appends progress after the mark of its group, which identifies the group when it
// is read back.
func (w *fencedWriter) writeProgress(ctx context.Context, progress []jobs.Record) error {
	w.progress.groupCount++
	mark := jobs.GroupMarkRecord(w.progress.epoch, w.progress.groupCount)
	return w.progress.append(ctx, append([]jobs.Record{mark}, progress...))
}

// enqueue queues the records of a plan. The engine provides the next ones only after
// MarkRecordsDurable.
func (w *fencedWriter) enqueue(progress, states []jobs.Record) {
	w.pendingGroups++
	w.groups <- recordGroup{progress: progress, states: states}
}

// enqueueEarly queues final states that are written although a group of progress is in flight. If
// none is in flight anymore, they go with the next group, which has the progress of the same jobs.
func (w *fencedWriter) enqueueEarly(states []jobs.Record) {
	w.queueStates(states)
	select {
	case w.earlySignal <- struct{}{}:
	default:
	}
}

// queueStates queues states that are written with the next group or renewal, before the states of
// that group.
func (w *fencedWriter) queueStates(states []jobs.Record) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.earlyStates = append(w.earlyStates, states...)
}

func (w *fencedWriter) takeEarly() []jobs.Record {
	w.lock.Lock()
	defer w.lock.Unlock()
	states := w.earlyStates
	w.earlyStates = nil
	return states
}

// renewIfDue renews the term if nothing is in flight.
func (w *fencedWriter) renewIfDue(now time.Time) {
	if w.pendingGroups > 0 || !w.renewalDue(now) {
		return
	}
	w.pendingGroups++
	w.groups <- recordGroup{}
}

func (w *fencedWriter) renewalDue(now time.Time) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.renewNow || now.Sub(w.confirmedAt) >= renewInterval
}

func (w *fencedWriter) lastConfirmed() time.Time {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.confirmedAt
}

// run writes queued groups until ctx ends.
func (w *fencedWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case group := <-w.groups:
			w.reportResult(ctx, group, w.writeGroup(ctx, group))
		}
	}
}

func (w *fencedWriter) reportResult(ctx context.Context, group recordGroup, err error) {
	if err == nil {
		w.leader.events.Put(ctx, groupWrittenEvent{records: len(group.progress)})
		return
	}
	w.reportFenced(ctx, err)
}

// writeEarly writes early states and a renewal while a group is in flight, without delaying it.
func (w *fencedWriter) writeEarly(ctx context.Context) {
	if w.writingEarly.Swap(true) {
		return
	}
	w.leader.spawn(ctx, func(ctx context.Context) {
		defer w.writingEarly.Store(false)
		w.reportFenced(ctx, w.writeStates(ctx, nil))
	})
}

// reportFenced signals that the store refused an append because of a later term. Other errors mean
// that the term has ended here.
func (w *fencedWriter) reportFenced(ctx context.Context, err error) {
	if errors.Is(err, ErrFenced) {
		w.leader.events.Put(ctx, termFencedEvent{})
	}
}

// writeGroup appends a group: the progress and, concurrently, the states with a renewal of the term.
// The group is durable once both are. A final state without its progress is final for the next
// leader too, so neither has to come first. A group without states renews the term only if a
// renewal is due.
func (w *fencedWriter) writeGroup(ctx context.Context, group recordGroup) error {
	begin := w.leader.clock.Now()
	defer func() {
		w.leader.instance.metrics.appendTime.Update(w.leader.clock.Now().Sub(begin).Microseconds())
	}()
	if w.progress == nil {
		return w.writeStates(ctx, slices.Concat(group.progress, group.states))
	}
	if len(group.progress) == 0 {
		return w.writeStates(ctx, group.states)
	}
	progressResult := make(chan error, 1)
	go func() { progressResult <- w.writeProgress(ctx, group.progress) }()
	if len(group.states) == 0 && !w.renewalDue(w.leader.clock.Now()) {
		return w.awaitProgress(ctx, progressResult)
	}
	if err := w.writeStates(ctx, group.states); err != nil {
		return errors.Join(err, <-progressResult)
	}
	return w.awaitProgress(ctx, progressResult)
}

// awaitProgress keeps writing the part with the states while progress is being appended, as parts of
// the store may be down independently. Otherwise the term would move to an instance that can write
// progress no better, and callers would see no end of a job for 3.5 s.
func (w *fencedWriter) awaitProgress(ctx context.Context, progressResult <-chan error) error {
	renewal := time.NewTimer(renewalDelay)
	defer renewal.Stop()
	for {
		select {
		case err := <-progressResult:
			return err
		case <-w.earlySignal:
		case <-renewal.C:
			renewal.Reset(renewInterval)
		}
		w.writeEarly(ctx)
	}
}

func (w *fencedWriter) writeStates(ctx context.Context, states []jobs.Record) error {
	select {
	case w.statesLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-w.statesLock }()
	sent := w.leader.clock.Now()
	renewal, err := jobs.TermRecord(w.nextTerm())
	if err != nil {
		panic("batch: a term cannot be encoded: " + err.Error())
	}
	group := slices.Concat([]jobs.Record{renewal}, w.takeEarly(), states)
	if err := w.states.append(ctx, group); err != nil {
		return err
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.confirmedAt = sent
	return nil
}

func (w *fencedWriter) setFormerLeases(expireAt time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.formerLeasesExpireAt = expireAt
}

func (w *fencedWriter) nextTerm() jobs.Term {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.term.Renewals++
	w.term.Stalled = w.stalled
	w.term.LeaseLimitMS = leaseLimit.Milliseconds()
	w.term.AgeMS = w.leader.clock.Now().Sub(w.wonAt).Milliseconds()
	if !w.formerLeasesExpireAt.IsZero() {
		w.term.FormerLeasesMS = max(0, w.formerLeasesExpireAt.Sub(w.leader.clock.Now()).Milliseconds()) + 1
	}
	w.renewNow = false
	return w.term
}

// renewalWasRead reports whether a group of states was read back. Its first record is the renewal.
func (w *fencedWriter) renewalWasRead([]jobs.Record) bool {
	current := w.leader.instance.term()
	w.lock.Lock()
	defer w.lock.Unlock()
	return current == w.term
}

// progressWasRead reports whether a group of progress was read back. Its first record is the mark.
func (i *Instance) progressWasRead(records []jobs.Record) bool {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	return i.fold.table.GroupMark() == string(records[0].Value)
}

// openTerm removes the leader from the term from the next renewal on, which is due at once.
func (w *fencedWriter) openTerm() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.term.Leader = ""
	w.renewNow = true
}

// groupWrittenEvent signals that a group is durable.
type groupWrittenEvent struct {
	records int // without the renewal
}

func (e groupWrittenEvent) apply(l *leader, now time.Time) {
	l.writer.pendingGroups--
	if e.records > 0 {
		l.engine.MarkRecordsDurable(now)
	}
}

// termFencedEvent signals that the store refused an append because of a later term.
type termFencedEvent struct{}

func (termFencedEvent) apply(l *leader, _ time.Time) { l.loseTerm("a later term has written") }
