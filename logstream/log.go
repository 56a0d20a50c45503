package logstream

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Streams of the log that this project reads or writes.
const (
	// StreamTargets carries the operators' proposals.
	StreamTargets = "targets"
	// StreamLedger carries claims, jobs, runs and terms.
	StreamLedger = "ledger"
	// StreamRefusals carries refusals and delays, for the applicants' files.
	StreamRefusals = "refusals"
	// StreamSnapshots carries snapshots of the folds.
	StreamSnapshots = "snapshots"
)

// ErrUnavailable says that the log could not be reached or refused to serve.
// After an append it does not say whether the write took effect.
var ErrUnavailable = eris.New("platform log is unavailable")

// RetentionError says that records before First are no longer kept.
type RetentionError struct {
	First int64
}

// Error describes the gap.
func (e *RetentionError) Error() string {
	return "records before the retained part of the stream are gone"
}

// Batch is a run of consecutive records.
type Batch struct {
	First   int64    // offset of Records[0]
	Records [][]byte //
	End     int64    // offset that the stream's next append will get
}

// Log is the platform's append-only log. All methods may be called by several
// goroutines at once.
type Log interface {
	// Append adds records as one group and returns the first one's offset. After
	// any error the write may have taken effect all the same.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records from an offset on, waiting up to wait for the first
	// one. A *RetentionError says the offset is older than what is kept.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}
