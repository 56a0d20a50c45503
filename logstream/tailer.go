package logstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// pollWait bounds how long a read waits for the next record.
const pollWait = 2 * time.Second

// Sink receives the records that a tailer reads. The tailer calls it from one
// goroutine.
type Sink interface {
	// Next returns the offset of the next record to fold.
	Next() int64
	// Fold applies consecutive records; first is the offset of the first record.
	Fold(first int64, records [][]byte)
	// Gap reports that records from Next up to first are no longer retained. The
	// sink must recover from a newer snapshot; the tailer then calls Next again.
	Gap(first int64)
}

// Tailer reads one stream into a sink. Run is its background loop.
type Tailer struct {
	log        Log
	stream     string
	sink       Sink
	caughtUp   atomic.Bool  // the end of the stream was reached once
	failing    atomic.Bool  // the last read failed
	lastReadMS atomic.Int64 // time of the last successful read, in Unix milliseconds
	now        func() time.Time
}

// NewTailer returns a tailer that has read nothing yet.
func NewTailer(log Log, stream string, sink Sink, now func() time.Time) *Tailer {
	return &Tailer{log: log, stream: stream, sink: sink, now: now}
}

// CaughtUp reports whether the tailer has reached the end of the stream since it started.
func (t *Tailer) CaughtUp() bool { return t.caughtUp.Load() }

// Failing reports whether the last read failed.
func (t *Tailer) Failing() bool { return t.failing.Load() }

// Staleness returns the time since the last successful read.
func (t *Tailer) Staleness() time.Duration {
	return t.now().Sub(time.UnixMilli(t.lastReadMS.Load()))
}

// Run reads until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if t.readOnce(ctx) {
			backoff = minBackoff
			continue
		}
		if !Sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce reads one batch and reports whether the read succeeded.
func (t *Tailer) readOnce(ctx context.Context) bool {
	wait := pollWait
	if !t.CaughtUp() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+appendTimeout)
	defer cancel()
	batch, err := t.log.Read(ctx, t.stream, t.sink.Next(), wait)
	var retention *RetentionError
	if errors.As(err, &retention) {
		t.sink.Gap(retention.First)
		return false
	}
	t.failing.Store(err != nil)
	if err != nil {
		return false
	}
	t.lastReadMS.Store(t.now().UnixMilli())
	if len(batch.Records) > 0 {
		t.sink.Fold(batch.First, batch.Records)
	}
	if t.sink.Next() >= batch.End {
		t.caughtUp.Store(true)
	}
	return true
}
