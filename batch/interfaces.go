package batch

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// Errors of a Store.
var (
	// ErrNotApplied is returned if the store certainly did nothing.
	ErrNotApplied = eris.New("the store did nothing")
	// ErrResultUnknown is returned if a write may have taken effect, or may still do so.
	ErrResultUnknown = eris.New("no answer from the store")
	// ErrFenced is returned if a leader with a higher epoch has written.
	ErrFenced = eris.New("a later term has written")
	// ErrOverloaded is returned if the store refuses a read because of its load.
	ErrOverloaded = eris.New("the store is overloaded")
	// ErrNotRetained is returned if the requested records are no longer retained.
	ErrNotRetained = eris.New("records are no longer kept")
)

// Stream names a stream of keyed records.
type Stream string

// Streams that an instance reads. It writes only to StreamWork, which has several parts, its partitions: the store
// executes the appends to a part one at a time, and those of callers and of the leader must not
// wait for each other.
const (
	StreamWork     Stream = "work"     // submissions, cancellations, progress, the term
	StreamOperator Stream = "operator" // configuration and evacuations by the operators
	StreamWorkers  Stream = "workers"  // entries written by the workers
)

// Fence makes an append conditional: the store refuses it once a term with a higher epoch has
// written, and
// writes a repeat of the same sequence number only once.
type Fence struct {
	Epoch    int64
	Sequence int64
}

// Batch is a sequence of records of a stream. Offsets[i] is the offset of Records[i].
type Batch struct {
	Records    []jobs.Record
	Offsets    []int64
	NextOffset int64 // offset of the next read
	End        int64 // of Read: offset after the newest record of the part; the answer may end before
}

// Store is the service of the platform that keeps the log: streams of keyed records. Its methods may be called concurrently, and
// each call ends with its context.
type Store interface {
	// Append adds records to a part of StreamWork, all or none. A nil fence sets no condition.
	// Errors: ErrNotApplied, ErrResultUnknown, ErrFenced.
	Append(ctx context.Context, part int, records []jobs.Record, fence *Fence) error
	// Read returns records of a part of a stream from an offset on. It waits up to wait for the
	// first one. Errors: ErrNotRetained, ErrOverloaded, or any failure of the call.
	Read(ctx context.Context, stream Stream, part int, from int64, wait time.Duration) (Batch, error)
	// ReadNewest returns the newest record of each key. Reading has to continue at NextOffset, as
	// others write while the pages are read. Errors: ErrOverloaded, or any failure of the call.
	ReadNewest(ctx context.Context, stream Stream, part int) (Batch, error)
}

// Decoder decodes the records that operators and workers write.
type Decoder interface {
	// Config decodes a record of StreamOperator; ok is false for other records.
	Config(record jobs.Record) (config *Config, ok bool, err error)
	// Evacuation decodes a record of StreamOperator that starts or ends the evacuation of an
	// availability zone; ok is false for other records.
	Evacuation(record jobs.Record) (zone string, evacuated, ok bool)
	// Worker decodes a record of StreamWorkers; gone is true if the entry was removed.
	Worker(record jobs.Record) (entry placing.WorkerEntry, gone bool, err error)
}

// Workers sends orders to workers. Calls end with their context. After any error other than an
// *OrderError the order may still take effect. An order is meant for one incarnation of a worker;
// an answer from another one is returned as an *OtherIncarnationError.
type Workers interface {
	Start(ctx context.Context, worker placing.WorkerEntry, order StartOrder) (clockMS int64, err error)
	Stop(ctx context.Context, worker placing.WorkerEntry, order StopOrder) (clockMS int64, err error)
	Hold(ctx context.Context, worker placing.WorkerEntry, order HoldOrder) (HoldReport, error)
	Pace(ctx context.Context, worker placing.WorkerEntry, order PaceOrder) error
	// Advise requests from the advice service which of some workers may run a step. The returned
	// tickets, by worker ID, have to go with starts of the step while they are valid.
	Advise(ctx context.Context, request placing.AdviceRequest) (tickets map[string]string, valid time.Duration, err error)
	// Forget releases the resources held for a worker that is no longer called.
	Forget(worker placing.WorkerEntry)
}

// Refusal is the reason why a worker refused an order.
type Refusal string

// Refusals of workers. A refused order has had and will have no effect.
const (
	RefusedStaleTerm        Refusal = "fence"   // the worker has served a later term
	RefusedStaleRun         Refusal = "old"     // the run is not above one that was stopped or ended there
	RefusedLeaseExpired     Refusal = "late"    // the requested lease has already ended
	RefusedCapacity         Refusal = "room"    // the task does not fit
	RefusedUnhealthy        Refusal = "busy"    // the worker is unhealthy
	RefusedOtherIncarnation Refusal = "reborn"  // another incarnation of the worker answered
	RefusedInvalid          Refusal = "invalid" // the worker cannot read the order
	RefusedTicket           Refusal = "ticket"  // the ticket is missing or not valid
)

// OrderError is returned if a worker refuses an order.
type OrderError struct {
	Refusal Refusal
	ClockMS int64
}

// OtherIncarnationError is returned if another incarnation of the worker answered than the one that
// the order was meant for. The former one has ended; the one that answered may have executed the
// order.
type OtherIncarnationError struct {
	BornMS int64 // start of the incarnation that answered, in Unix milliseconds
}

// Error describes the incarnation that answered.
func (e *OtherIncarnationError) Error() string {
	return "another incarnation of the worker answered, started at " + strconv.FormatInt(e.BornMS, 10)
}

// Error describes the refusal.
func (e *OrderError) Error() string { return "worker refused the order: " + string(e.Refusal) }

// StartOrder starts a run of a task.
type StartOrder struct {
	Task         jobs.TaskKey
	Run          int
	Spec         string
	Checkpoint   string
	Ticket       string
	LeaseUntilMS int64 // lease, on the worker's clock
	Epoch        int64
}

// StopOrder stops a run, or makes the worker refuse its start if that arrives later.
type StopOrder struct {
	Task  jobs.TaskKey
	Run   int
	Epoch int64
}

// PaceOrder sets the speed of a run to a percentage of its full speed.
type PaceOrder struct {
	Task    jobs.TaskKey
	Run     int
	Percent int
	Epoch   int64
}

// HoldOrder polls a worker: it renews the lease of everything that runs there, lets the worker
// forget its ends up to Ack, and requests a report of its runs and ends. Hold is the users'
// platform's name of the call.
type HoldOrder struct {
	LeaseUntilMS int64 // on the worker's clock; 0 renews nothing
	Epoch        int64
	Ack          int64
	Wait         time.Duration // how long the worker may wait for a run to end before it answers
}

// HoldReport is the answer to a hold.
type HoldReport struct {
	ClockMS int64
	Running []placing.RunningTask
	Ended   []placing.EndedTask
}
