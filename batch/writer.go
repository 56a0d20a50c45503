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

// awayAfter is how long progress may be on its way before its part of the log
// counts as away, and the term is renewed beside it. With a store that takes 0.3 s
// for an append, a renewal before that would hold up the group that it waits for.
const awayAfter = 600 * time.Millisecond

// group is what the holder of the term writes down as one.
type group struct {
	details []jobs.Record // progress
	states  []jobs.Record
}

// fencedWriter appends the holder's records one group at a time, and renews the
// term.
type fencedWriter struct {
	leader  *leader
	groups  chan group
	waiting int // groups whose fate is open; used by the leader's loop alone
	states  *fencedPart
	details *fencedPart // nil if states and progress share a part

	early   chan struct{} // there are early states
	beside  atomic.Bool   // they are being written beside a group
	writing chan struct{} // holds one while states are appended

	lock        sync.Mutex
	earlyStates []jobs.Record // final ones that wait for no group
	term        jobs.Term
	opened      bool      // a renewal is due whatever the time
	stalled     bool      // progress cannot be written
	confirmedAt time.Time // when the last append to the states that succeeded was sent
}

// newFencedWriter continues after the append that claimed the term.
func newFencedWriter(leader *leader, term jobs.Term, sequence int64) *fencedWriter {
	w := &fencedWriter{
		leader:      leader,
		groups:      make(chan group, 2), // the engine's and a renewal
		early:       make(chan struct{}, 1),
		writing:     make(chan struct{}, 1),
		term:        term,
		confirmedAt: leader.clock.Now(),
	}
	i := leader.instance
	w.states = &fencedPart{store: i.store, clock: i.clock, part: statePart, epoch: term.Epoch, sequence: sequence, seen: w.renewalSeen}
	if part := detailPart(i.settings.StoreParts); part != statePart {
		w.details = &fencedPart{store: i.store, clock: i.clock, part: part, epoch: term.Epoch, sequence: i.randomSequence(), seen: i.progressSeen, tried: w.progressTried}
	}
	return w
}

// fence keeps former holders from writing progress from now on. Those that lost
// the term cannot write states any more, as the claim was written there.
func (w *fencedWriter) fence(ctx context.Context) error {
	if w.details == nil {
		return nil
	}
	return w.writeDetails(ctx, nil)
}

// writeDetails appends progress with the mark of its group, by which it is known
// when it is read back.
func (w *fencedWriter) writeDetails(ctx context.Context, details []jobs.Record) error {
	w.details.group++
	mark := jobs.MarkRecord(w.details.epoch, w.details.group)
	return w.details.append(ctx, append([]jobs.Record{mark}, details...))
}

// offer takes the records of a plan; the engine gives the next ones only after
// recorded.
func (w *fencedWriter) offer(details, states []jobs.Record) {
	w.waiting++
	w.groups <- group{details: details, states: states}
}

// offerEarly takes final states that are to be written although a group of
// progress is on its way. If none is any more, they go with the next, which has
// the progress of the same jobs.
func (w *fencedWriter) offerEarly(states []jobs.Record) {
	w.lock.Lock()
	w.earlyStates = append(w.earlyStates, states...)
	w.lock.Unlock()
	select {
	case w.early <- struct{}{}:
	default:
	}
}

func (w *fencedWriter) takeEarly() []jobs.Record {
	w.lock.Lock()
	defer w.lock.Unlock()
	states := w.earlyStates
	w.earlyStates = nil
	return states
}

// renewIfDue renews the term if nothing is on its way.
func (w *fencedWriter) renewIfDue(now time.Time) {
	if w.waiting > 0 || !w.due(now) {
		return
	}
	w.waiting++
	w.groups <- group{}
}

func (w *fencedWriter) due(now time.Time) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.opened || now.Sub(w.confirmedAt) >= renewEvery
}

func (w *fencedWriter) confirmed() time.Time {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.confirmedAt
}

func (w *fencedWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-w.groups:
			w.report(ctx, next, w.write(ctx, next))
		}
	}
}

func (w *fencedWriter) report(ctx context.Context, written group, err error) {
	if err == nil {
		w.leader.events.Put(ctx, recorded{records: len(written.details)})
		return
	}
	w.reportFence(ctx, err)
}

// writeBeside writes early states and a renewal while a group is on its way,
// which does not wait for them.
func (w *fencedWriter) writeBeside(ctx context.Context) {
	if w.beside.Swap(true) {
		return
	}
	w.leader.start(ctx, func(ctx context.Context) {
		defer w.beside.Store(false)
		w.reportFence(ctx, w.writeStates(ctx, nil))
	})
}

// reportFence passes on that the store refused an append for a later term; other
// errors mean that the term has ended here.
func (w *fencedWriter) reportFence(ctx context.Context, err error) {
	if errors.Is(err, ErrFenced) {
		w.leader.events.Put(ctx, fencedOff{})
	}
}

// write appends a group: progress and, at the same time, the states with a
// renewal of the term. The group is durable once both are; a final state without
// its progress is final for the next holder too, so neither has to come first. A
// group without states renews the term only when that is due.
func (w *fencedWriter) write(ctx context.Context, next group) error {
	begin := w.leader.clock.Now()
	defer func() {
		w.leader.instance.metrics.appendTime.Update(w.leader.clock.Now().Sub(begin).Microseconds())
	}()
	if w.details == nil {
		return w.writeStates(ctx, slices.Concat(next.details, next.states))
	}
	if len(next.details) == 0 {
		return w.writeStates(ctx, next.states)
	}
	detailed := make(chan error, 1)
	go func() { detailed <- w.writeDetails(ctx, next.details) }()
	if len(next.states) == 0 && !w.due(w.leader.clock.Now()) {
		return w.awaitDetails(ctx, detailed)
	}
	if err := w.writeStates(ctx, next.states); err != nil {
		return errors.Join(err, <-detailed)
	}
	return w.awaitDetails(ctx, detailed)
}

// awaitDetails goes on writing the part with the states while progress is being
// appended: parts of the store may be away on their own. Without it the term
// passed on to an instance that could write progress no better, and no caller
// was told of an end for 3.5 s.
func (w *fencedWriter) awaitDetails(ctx context.Context, detailed <-chan error) error {
	renewal := time.NewTimer(awayAfter)
	defer renewal.Stop()
	for {
		select {
		case err := <-detailed:
			return err
		case <-w.early:
		case <-renewal.C:
			renewal.Reset(renewEvery)
		}
		w.writeBeside(ctx)
	}
}

func (w *fencedWriter) writeStates(ctx context.Context, states []jobs.Record) error {
	select {
	case w.writing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-w.writing }()
	sent := w.leader.clock.Now()
	renewal, err := jobs.TermRecord(w.nextTerm())
	if err != nil {
		panic("batch: a term cannot be encoded: " + err.Error())
	}
	group := slices.Concat([]jobs.Record{renewal}, states, w.takeEarly())
	if err := w.states.append(ctx, group); err != nil {
		return err
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.confirmedAt = sent
	return nil
}

func (w *fencedWriter) nextTerm() jobs.Term {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.term.Renewals++
	w.term.Stalled = w.stalled
	w.opened = false
	return w.term
}

// renewalSeen reports whether a group of states was read back, of which the
// first record is the renewal.
func (w *fencedWriter) renewalSeen([]jobs.Record) bool {
	read := w.leader.instance.term()
	w.lock.Lock()
	defer w.lock.Unlock()
	return read == w.term
}

// progressSeen reports whether a group of progress was read back, of which the
// first record is the mark.
func (i *Instance) progressSeen(records []jobs.Record) bool {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	return i.fold.table.Mark() == string(records[0].Value)
}

// open leaves the holder out of the term from the next renewal on, which is due
// at once.
func (w *fencedWriter) open() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.term.Holder = ""
	w.opened = true
}

// recorded says that a group is durable.
type recorded struct {
	records int // without the renewal
}

func (r recorded) apply(l *leader, now time.Time) {
	l.writer.waiting--
	if r.records > 0 {
		l.engine.Recorded(now)
	}
}

// fencedOff says that the store refused an append for a later term.
type fencedOff struct{}

func (fencedOff) apply(l *leader, _ time.Time) { l.depose("a later term has written") }
