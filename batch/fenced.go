package batch

import (
	"context"
	"errors"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
)

const (
	// fencedPause follows a try that the store refused.
	fencedPause = 100 * time.Millisecond
	// seenEvery is how often the fold is looked at for an append whose answer is
	// awaited; the holder reads its own parts of the log all the time.
	seenEvery = 40 * time.Millisecond
)

// fencedPart appends to one part of the log under the epoch of a term. A group
// is repeated under its sequence number until its fate is known, so that it
// takes effect once. It is used by one goroutine.
type fencedPart struct {
	store    Store
	clock    *Clock
	part     int
	epoch    int64
	sequence int64 // of the last append, for the store
	group    int64 // counts the groups of the term
	patience patience
	seen     func(records []jobs.Record) bool // the fold shows that they are in the log
	tried    func(began time.Time, err error) // called after each try; may be nil
}

// append appends a group. Errors: ErrFenced, or that of ctx.
func (p *fencedPart) append(ctx context.Context, records []jobs.Record) error {
	p.sequence++
	began := p.clock.Now()
	for ctx.Err() == nil {
		err := p.try(ctx, records)
		if p.tried != nil {
			p.tried(began, err)
		}
		if err == nil || errors.Is(err, ErrFenced) {
			return err
		}
		if errors.Is(err, ErrNotDone) {
			logstream.Sleep(ctx, fencedPause)
		}
	}
	return ctx.Err()
}

// try sends the group of the present sequence number once.
func (p *fencedPart) try(ctx context.Context, records []jobs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, p.patience.limit())
	defer cancel()
	sent := p.clock.Now()
	answer := make(chan error, 1)
	go func() {
		answer <- p.store.Append(ctx, p.part, records, &Fence{Epoch: p.epoch, Sequence: p.sequence})
	}()
	err := p.await(answer, records)
	if errors.Is(err, ErrUnknown) {
		p.patience.lost()
		return err
	}
	p.patience.answered(p.clock.Now().Sub(sent))
	return err
}

// await waits for an append's answer, or for the fold to show its records: the
// answer may be lost though the append took effect.
func (p *fencedPart) await(answer <-chan error, records []jobs.Record) error {
	looks := time.NewTicker(seenEvery)
	defer looks.Stop()
	for {
		select {
		case err := <-answer:
			return err
		case <-looks.C:
		}
		if p.seen(records) {
			return nil
		}
	}
}
