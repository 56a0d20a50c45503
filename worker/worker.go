// Package worker defines the interface to workers, the machines whose accelerators run
// the tasks of gangs under leases. Runners, which answer short requests, have the interface
// in package upstream. Adapters implement it. Term is the epoch of the sender's term in
// every call.
package worker

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors reported by the worker itself. After any other error the call may or may
// not have taken effect.
var (
	// ErrStaleTerm means the worker has seen a later term.
	ErrStaleTerm = eris.New("worker has seen a later term")
	// ErrNoCapacity means the worker has too few free accelerators.
	ErrNoCapacity = eris.New("worker has too few free accelerators")
	// ErrNoLease means the worker does not hold the lease.
	ErrNoLease = eris.New("worker does not hold the lease")
)

// ReserveRequest requests accelerators under a lease.
type ReserveRequest struct {
	Term         int64         `json:"term"`
	Run          string        `json:"run"`
	Job          string        `json:"job"`
	Accelerators int           `json:"accelerators"`
	TTL          time.Duration `json:"ttl"`
}

// Order starts, stops or releases a run's task on one worker.
type Order struct {
	Term int64  `json:"term"`
	Run  string `json:"run"`
	// Checkpoint requests a checkpoint before the stop; CheckpointTimeout bounds its time.
	Checkpoint        bool          `json:"checkpoint,omitempty"`
	CheckpointTimeout time.Duration `json:"within,omitempty"`
	// MinLease is the minimum remaining time of the lease for a start. The worker
	// refuses with ErrNoLease if less remains.
	MinLease time.Duration `json:"min_lease,omitempty"`
	// Resume starts from the job's last checkpoint.
	Resume  bool   `json:"resume,omitempty"`
	Payload string `json:"payload,omitempty"` // of the job, passed to its tasks unchanged
}

// RenewRequest extends the leases of several runs at once.
type RenewRequest struct {
	Term int64         `json:"term"`
	Runs []string      `json:"runs"`
	TTL  time.Duration `json:"ttl"`
}

// TaskPhase is the state of a lease and its task.
type TaskPhase string

// Phases of a task on a worker.
const (
	TaskReserved     TaskPhase = "reserved"
	TaskRunning      TaskPhase = "running"
	TaskCheckpointed TaskPhase = "checkpointed" // stopped with a checkpoint; lease still held
	TaskFinished     TaskPhase = "finished"
	TaskFailed       TaskPhase = "failed"
	TaskStopped      TaskPhase = "stopped" // stopped without a checkpoint
)

// Task is one lease on a worker.
type Task struct {
	Run          string    `json:"run"`
	Job          string    `json:"job"`
	Accelerators int       `json:"accelerators"`
	Phase        TaskPhase `json:"phase"`
	Detail       string    `json:"detail,omitempty"`
}

// State is a worker's report of its state. Usage lags behind.
type State struct {
	Term  int64   `json:"term"`
	Tasks []Task  `json:"tasks"`
	Usage float64 `json:"usage"` // fraction of accelerators in use, 0 to 1
}

// Client calls workers. It is safe for concurrent use.
type Client interface {
	// Reserve acquires a lease; repeating it for the same run renews the lease.
	Reserve(ctx context.Context, address string, reserve ReserveRequest) error
	// Start starts the task of a leased run. It is idempotent.
	Start(ctx context.Context, address string, order Order) error
	// Stop stops the task; the worker retains its last phase until Release.
	Stop(ctx context.Context, address string, order Order) error
	// Release gives up the lease, and stops the task at once if it still runs.
	Release(ctx context.Context, address string, order Order) error
	// Renew extends leases and returns the worker's state.
	Renew(ctx context.Context, address string, renew RenewRequest) (State, error)
}
