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
	// ErrNotDone says that the store certainly did nothing.
	ErrNotDone = eris.New("the store did nothing")
	// ErrUnknown says that a write may have taken effect, or may yet.
	ErrUnknown = eris.New("no answer from the store")
	// ErrFenced says that a placing instance with a higher epoch has written.
	ErrFenced = eris.New("a later term has written")
	// ErrForgotten says that the records asked for are no longer kept.
	ErrForgotten = eris.New("records are no longer kept")
)

// Stream names a stream of keyed records.
type Stream string

// Streams that an instance reads. It writes to StreamWork alone, which has
// several parts: the store works on one append of a part at a time, so those
// of callers and those of the placing instance must not wait for each other.
const (
	StreamWork     Stream = "work"     // submissions, cancellations, progress, the term
	StreamOperator Stream = "operator" // the operators' configuration and evacuations
	StreamWorkers  Stream = "workers"  // the workers' own entries
)

// Fence makes an append conditional: the store refuses it once a higher epoch
// has written, and writes a repeat of the same sequence number only once.
type Fence struct {
	Epoch    int64
	Sequence int64
}

// Batch is a run of records of a stream. Offsets[i] is that of Records[i].
type Batch struct {
	Records []jobs.Record
	Offsets []int64
	Next    int64 // offset from which to read on
}

// Store is the platform's store of keyed records. Its methods may be called by
// several goroutines; each call ends with its context.
type Store interface {
	// Append adds records to a part of StreamWork, all or none. A nil fence sets
	// no condition. Errors: ErrNotDone, ErrUnknown, ErrFenced.
	Append(ctx context.Context, part int, records []jobs.Record, fence *Fence) error
	// Read returns records of a stream's part from an offset on, waiting up to
	// wait for the first. Errors: ErrForgotten, or any failure of the call.
	Read(ctx context.Context, stream Stream, part int, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key. Next is the offset at which
	// reading must go on, since pages are read while others write.
	Newest(ctx context.Context, stream Stream, part int) (Batch, error)
}

// Decoder turns the records of outside streams into values.
type Decoder interface {
	// Config decodes a record of StreamOperator; ok is false for other records.
	Config(record jobs.Record) (config *Config, ok bool, err error)
	// Evacuation decodes a record of StreamOperator that asks for an availability zone to
	// get nothing new, or takes it back; ok is false for other records.
	Evacuation(record jobs.Record) (zone string, evacuated, ok bool)
	// Worker decodes a record of StreamWorkers; gone says that the entry left.
	Worker(record jobs.Record) (entry placing.WorkerEntry, gone bool, err error)
}

// Workers gives orders to workers. Calls end with their context; any error
// other than a *OrderError leaves open whether the order takes effect. Orders and their
// answers are those of one life of a worker; an answer of another is a *OtherLifeError.
type Workers interface {
	Start(ctx context.Context, worker placing.WorkerEntry, order StartOrder) (clockMS int64, err error)
	Stop(ctx context.Context, worker placing.WorkerEntry, order StopOrder) (clockMS int64, err error)
	Hold(ctx context.Context, worker placing.WorkerEntry, order HoldOrder) (HoldReport, error)
	Pace(ctx context.Context, worker placing.WorkerEntry, order PaceOrder) error
	// Advise asks the service that knows which of some workers may run a step. The
	// tickets, by the worker's ID, go with starts of the step for the time that is valid.
	Advise(ctx context.Context, ask placing.Ask) (tickets map[string]string, valid time.Duration, err error)
	// Forget drops what is kept for a worker that is not called any more.
	Forget(worker placing.WorkerEntry)
}

// Refusal is why a worker refused an order.
type Refusal string

// Refusals of workers. After any of them the order did and will do nothing.
const (
	RefusedFence   Refusal = "fence"   // it has served a later term
	RefusedOld     Refusal = "old"     // the run is not above one stopped or ended there
	RefusedLate    Refusal = "late"    // the lease asked for is over
	RefusedRoom    Refusal = "room"    // the task does not fit
	RefusedBusy    Refusal = "busy"    // unhealthy
	RefusedReborn  Refusal = "reborn"  // another life of the worker answered
	RefusedInvalid Refusal = "invalid" // it cannot read the order
	RefusedTicket  Refusal = "ticket"  // no valid advice
)

// OrderError is a worker's refusal.
type OrderError struct {
	Refusal Refusal
	ClockMS int64
}

// OtherLifeError says that another life of the worker answered than the order was meant
// for. The former is over; the order may have been carried out by the one that answered.
type OtherLifeError struct {
	BornMS int64 // of the life that answered, in Unix milliseconds
}

// Error names the life.
func (e *OtherLifeError) Error() string {
	return "another life of the worker answered, born at " + strconv.FormatInt(e.BornMS, 10)
}

// Error names the refusal.
func (e *OrderError) Error() string { return "worker refused the order: " + string(e.Refusal) }

// StartOrder starts a run of a task.
type StartOrder struct {
	Task       jobs.TaskKey
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	UntilMS    int64 // lease, on the worker's clock
	Epoch      int64
}

// StopOrder stops a run, or makes the worker refuse it should it come later.
type StopOrder struct {
	Task  jobs.TaskKey
	Run   int
	Epoch int64
}

// PaceOrder lets a run work at a share of its speed, in hundredths.
type PaceOrder struct {
	Task    jobs.TaskKey
	Run     int
	Percent int
	Epoch   int64
}

// HoldOrder renews the lease of all that runs on a worker, forgets ends up to
// Ack, and asks for what runs and what ended.
type HoldOrder struct {
	UntilMS int64 // on the worker's clock; 0 renews nothing
	Epoch   int64
	Ack     int64
	Wait    time.Duration // the answer may wait so long for an end
}

// HoldReport answers a hold.
type HoldReport struct {
	ClockMS int64
	Running []placing.RunningTask
	Ended   []placing.EndedTask
}
