package batch

import (
	"context"
	"errors"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
)

const (
	// refusedBackoff follows an append that the store refused.
	refusedBackoff = 100 * time.Millisecond
	// readBackInterval is how often the fold is checked for an append that has no answer yet; the
	// leader reads its own parts of the log all the time.
	readBackInterval = 40 * time.Millisecond
	// minStoreSilence is how long the store answers nothing at all before an append that waits meanwhile is
	// taken as lost in an outage. A slow store answers some read of nine within that.
	minStoreSilence = time.Second
)

// fencedAppender appends to one part of the log under the epoch of a term. It repeats a group
// under the same sequence number until the outcome is known, so that the group takes effect once.
// It is used by one goroutine.
type fencedAppender struct {
	store      Store
	clock      *Clock
	part       int
	epoch      int64
	sequence   int64 // of the last append; the store deduplicates by it
	groupCount int64 // number of groups appended in this term
	timeout    adaptiveTimeout
	isInLog    func(records []jobs.Record) bool // reports whether the fold contains the records
	onAttempt  func(began time.Time, err error) // called after each attempt; may be nil
	answeredAt func() time.Time                 // when the store last answered any call of this instance
}

// append appends a group. Its errors are ErrFenced and that of ctx.
func (p *fencedAppender) append(ctx context.Context, records []jobs.Record) error {
	p.sequence++
	began := p.clock.Now()
	for ctx.Err() == nil {
		err := p.appendOnce(ctx, records)
		if p.onAttempt != nil {
			p.onAttempt(began, err)
		}
		if err == nil || errors.Is(err, ErrFenced) {
			return err
		}
		if errors.Is(err, ErrNotApplied) {
			logstream.Sleep(ctx, refusedBackoff)
		}
	}
	return ctx.Err()
}

// appendOnce sends the group of the current sequence number once.
func (p *fencedAppender) appendOnce(ctx context.Context, records []jobs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout.current())
	defer cancel()
	sent := p.clock.Now()
	answer := make(chan error, 1)
	go func() {
		answer <- p.store.Append(ctx, p.part, records, &Fence{Epoch: p.epoch, Sequence: p.sequence})
	}()
	err := p.awaitAnswer(answer, records)
	if errors.Is(err, ErrResultUnknown) {
		p.timeout.recordUnanswered()
		return err
	}
	p.timeout.observe(p.clock.Now().Sub(sent))
	return err
}

// awaitAnswer waits for an append's answer or until the fold contains its records: the answer may
// be lost although the append took effect. It does not wait on once the store answers other calls again after
// an outage, in which the append may have been lost.
func (p *fencedAppender) awaitAnswer(answer <-chan error, records []jobs.Record) error {
	ticker := time.NewTicker(readBackInterval)
	defer ticker.Stop()
	wasSilent := false
	for {
		select {
		case err := <-answer:
			return err
		case <-ticker.C:
		}
		if p.isInLog(records) {
			return nil
		}
		isSilent := p.clock.Now().Sub(p.answeredAt()) >= minStoreSilence
		if wasSilent && !isSilent {
			return ErrResultUnknown
		}
		wasSilent = isSilent
	}
}
