package placing

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// WorkerEntry is one incarnation of a worker as the platform lists it. A restarted worker may
// keep its name; each incarnation has an ID of its own.
type WorkerEntry struct {
	ID           string // IncarnationID of Name and BornMS
	Name         string // the platform's name of the worker
	BornMS       int64  // Unix milliseconds of the start of this incarnation; 0 if unknown
	Address      string // IP:PORT
	Pool         string
	Kind         string // label of the type of worker
	Rack         string
	Zone         string // availability zone; empty if unknown
	Labels       []string
	Capacity     jobs.Resources
	Leaving      bool
	MinRemaining time.Duration // minimum time left while Leaving
}

// HasLabel reports whether the worker carries a label. It is true for the empty label.
func (e *WorkerEntry) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, own := range e.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// RunningTask is a run that a worker reports as present.
type RunningTask struct {
	Task       jobs.TaskKey
	Run        int
	Checkpoint string
	Percent    int   // of the work done; 100 for a long-running task that runs
	Load       int64 // tail latency in milliseconds, or thousandths of cores in use
}

// EndKind is the way in which a run ended.
type EndKind string

// Ends of runs as workers report them.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"  // by a fault of the task or of the worker
	EndStopped        EndKind = "stopped" // by a stop order
	EndLeaseExpired   EndKind = "lapsed"  // its lease expired
	EndGangBroken     EndKind = "broken"  // another member of its gang ended
	EndGangIncomplete EndKind = "alone"   // the gang was not complete in time
)

// EndedTask is the end of a run, which a worker reports until it is acknowledged.
type EndedTask struct {
	Number     int64 // counts the ends of this incarnation of the worker
	Task       jobs.TaskKey
	Run        int
	Kind       EndKind
	Checkpoint string
}
