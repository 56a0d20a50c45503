package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

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

	lock        sync.Mutex
	term        jobs.Term
	opened      bool      // a renewal is due whatever the time
	confirmedAt time.Time // when the last append to the states that succeeded was sent
}

// newFencedWriter continues after the append that claimed the term.
func newFencedWriter(leader *leader, term jobs.Term, sequence int64) *fencedWriter {
	w := &fencedWriter{
		leader:      leader,
		groups:      make(chan group, 2), // the engine's and a renewal
		term:        term,
		confirmedAt: leader.clock.Now(),
	}
	i := leader.instance
	w.states = &fencedPart{store: i.store, clock: i.clock, part: statePart, epoch: term.Epoch, sequence: sequence, seen: w.renewalSeen}
	if part := detailPart(i.settings.StoreParts); part != statePart {
		w.details = &fencedPart{store: i.store, clock: i.clock, part: part, epoch: term.Epoch, sequence: i.randomSequence(), seen: i.progressSeen}
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
	switch {
	case err == nil:
		w.leader.events.Put(ctx, recorded{records: len(written.details)})
	case errors.Is(err, ErrFenced):
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
	if len(next.states) == 0 && !w.due(w.leader.clock.Now()) {
		return w.writeDetails(ctx, next.details)
	}
	detailed := make(chan error, 1)
	go func() { detailed <- w.writeDetails(ctx, next.details) }()
	return errors.Join(w.writeStates(ctx, next.states), <-detailed)
}

func (w *fencedWriter) writeStates(ctx context.Context, states []jobs.Record) error {
	sent := w.leader.clock.Now()
	renewal, err := jobs.TermRecord(w.nextTerm())
	if err != nil {
		panic("batch: a term cannot be encoded: " + err.Error())
	}
	if err := w.states.append(ctx, append([]jobs.Record{renewal}, states...)); err != nil {
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
