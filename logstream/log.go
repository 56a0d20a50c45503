package logstream

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Streams of the log that instances read or write.
const (
	// StreamTargets carries the operators' proposals of targets documents.
	StreamTargets = "targets"
	// StreamLedger carries claims, jobs, runs and terms.
	StreamLedger = "ledger"
	// StreamRefusals carries refusals and delays, which users file in the records of
	// their applicants.
	StreamRefusals = "refusals"
	// StreamSnapshots carries snapshots of the folds.
	StreamSnapshots = "snapshots"
)

// ErrUnavailable means that the log could not be reached or refused to serve. An
// append that fails with it may or may not have taken effect.
var ErrUnavailable = eris.New("platform log is unavailable")

// RetentionError means that records before First are no longer retained.
type RetentionError struct {
	First int64
}

// Error implements error.
func (e *RetentionError) Error() string {
	return "records before the retained part of the stream are gone"
}

// Batch holds consecutive records of a stream.
type Batch struct {
	First   int64 // offset of Records[0]
	Records [][]byte
	End     int64 // offset of the next append to the stream
}

// Log is the platform's append-only log. All methods are safe for concurrent use.
type Log interface {
	// Append adds records as one group and returns the offset of the first. After
	// any error the write may still have taken effect.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records from an offset on, waiting up to wait for the first. It
	// returns a *RetentionError if records at the offset are no longer retained.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}
