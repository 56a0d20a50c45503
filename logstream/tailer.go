package logstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// pollWait is how long one read may wait for the next record.
const pollWait = 2 * time.Second

// Sink receives what a tailer reads. The tailer calls it from one goroutine.
type Sink interface {
	// Next is the offset the sink wants next.
	Next() int64
	// Fold takes consecutive records, the first at offset first.
	Fold(first int64, records [][]byte)
	// Gap says that records from Next up to first are no longer kept. The sink
	// must recover from a newer snapshot; the tailer asks Next again afterwards.
	Gap(first int64)
}

// Tailer reads one stream into a sink. Run is its duty.
type Tailer struct {
	log    Log
	stream string
	sink   Sink
	caught atomic.Bool  // has seen the end of the stream once
	failed atomic.Bool  // the last read was not answered
	last   atomic.Int64 // Unix milliseconds of the last answered read
	now    func() time.Time
}

// NewTailer returns a tailer that has read nothing.
func NewTailer(log Log, stream string, sink Sink, now func() time.Time) *Tailer {
	return &Tailer{log: log, stream: stream, sink: sink, now: now}
}

// CaughtUp reports whether the tailer has seen the end of the stream since it started.
func (t *Tailer) CaughtUp() bool { return t.caught.Load() }

// Failing reports whether the last read was not answered.
func (t *Tailer) Failing() bool { return t.failed.Load() }

// Staleness is the time since the last answered read.
func (t *Tailer) Staleness() time.Duration {
	return t.now().Sub(time.UnixMilli(t.last.Load()))
}

// Run reads until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if t.readOnce(ctx) {
			backoff = firstBackoff
			continue
		}
		if !Sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, lastBackoff)
	}
}

// readOnce reads one batch and reports whether the log answered.
func (t *Tailer) readOnce(ctx context.Context) bool {
	wait := pollWait
	if !t.CaughtUp() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+appendTimeout)
	defer cancel()
	batch, err := t.log.Read(ctx, t.stream, t.sink.Next(), wait)
	var gone *RetentionError
	if errors.As(err, &gone) {
		t.sink.Gap(gone.First)
		return false
	}
	t.failed.Store(err != nil)
	if err != nil {
		return false
	}
	t.last.Store(t.now().UnixMilli())
	if len(batch.Records) > 0 {
		t.sink.Fold(batch.First, batch.Records)
	}
	if t.sink.Next() >= batch.End {
		t.caught.Store(true)
	}
	return true
}
