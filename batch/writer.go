package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
)

const (
	// fencedPause follows a try that the store refused.
	fencedPause = 100 * time.Millisecond
	// seenEvery is how often the fold is looked at for an append whose answer is
	// awaited; the holder reads its own part of the log all the time.
	seenEvery = 40 * time.Millisecond
)

// fencedWriter appends the holder's records one group at a time. A group is
// repeated under its sequence number until its fate is known, so that it takes
// effect once.
type fencedWriter struct {
	store    Store
	leader   *leader
	groups   chan []jobs.Record
	waiting  int // groups whose fate is open; used by the leader's loop alone
	sequence int64
	patience patience

	lock        sync.Mutex
	term        jobs.Term
	confirmedAt time.Time // when the last append that succeeded was sent
}

// newFencedWriter continues after the append that claimed the term.
func newFencedWriter(store Store, leader *leader, term jobs.Term, sequence int64) *fencedWriter {
	return &fencedWriter{
		store:       store,
		leader:      leader,
		groups:      make(chan []jobs.Record, 2), // the engine's and a renewal
		sequence:    sequence,
		term:        term,
		confirmedAt: leader.clock.Now(),
	}
}

// offer takes the records of a plan; the engine gives the next ones only after
// recorded.
func (w *fencedWriter) offer(records []jobs.Record) {
	w.waiting++
	w.groups <- records
}

// renewIfDue renews the term if nothing is on its way.
func (w *fencedWriter) renewIfDue(now time.Time) {
	if w.waiting > 0 || now.Sub(w.confirmed()) < renewEvery {
		return
	}
	w.waiting++
	w.groups <- nil
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
		case group := <-w.groups:
			w.write(ctx, group)
		}
	}
}

func (w *fencedWriter) write(ctx context.Context, group []jobs.Record) {
	renewed := w.nextTerm()
	renewal, err := jobs.TermRecord(renewed)
	if err != nil {
		panic("batch: a term cannot be encoded: " + err.Error())
	}
	records := append([]jobs.Record{renewal}, group...)
	w.sequence++
	for ctx.Err() == nil {
		sent := w.leader.clock.Now()
		err := w.try(ctx, renewed, records)
		if err == nil {
			w.confirm(sent)
			w.leader.instance.metrics.appendTime.Update(w.leader.clock.Now().Sub(sent).Microseconds())
			w.leader.events.Put(ctx, recorded{records: len(group)})
			return
		}
		if errors.Is(err, ErrFenced) {
			w.leader.events.Put(ctx, fencedOff{})
			return
		}
		if errors.Is(err, ErrNotDone) {
			logstream.Sleep(ctx, fencedPause)
		}
	}
}

// try sends records once, of which the first is the term as it becomes.
func (w *fencedWriter) try(ctx context.Context, term jobs.Term, records []jobs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, w.patience.limit())
	defer cancel()
	sent := w.leader.clock.Now()
	answer := make(chan error, 1)
	go func() {
		answer <- w.store.Append(ctx, progressPart, records, &Fence{Epoch: w.term.Epoch, Sequence: w.sequence})
	}()
	err := w.await(answer, term)
	if errors.Is(err, ErrUnknown) {
		w.patience.lost()
		return err
	}
	w.patience.answered(w.leader.clock.Now().Sub(sent))
	return err
}

// await waits for an append's answer, or for the fold to show the term that it
// carries: the answer may be lost though the append took effect.
func (w *fencedWriter) await(answer <-chan error, term jobs.Term) error {
	looks := time.NewTicker(seenEvery)
	defer looks.Stop()
	for {
		select {
		case err := <-answer:
			return err
		case <-looks.C:
		}
		if w.leader.instance.term() == term {
			return nil
		}
	}
}

func (w *fencedWriter) nextTerm() jobs.Term {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.term.Renewals++
	return w.term
}

func (w *fencedWriter) confirm(sent time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.confirmedAt = sent
}

// handOver gives the term up. An append on its way is waited for, as its
// sequence number comes first.
func (w *fencedWriter) handOver(ctx context.Context) error {
	for w.waiting > 0 {
		next, ok := w.leader.events.Take(ctx)
		if !ok {
			return ctx.Err()
		}
		next.apply(w.leader, w.leader.clock.Now())
	}
	w.sequence++
	given := w.term
	given.Holder = ""
	record, err := jobs.TermRecord(given)
	if err != nil {
		return err
	}
	return w.try(ctx, given, []jobs.Record{record})
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
