package replay

import (
	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

type jobPhase int

const (
	jobQueued jobPhase = iota
	jobRunning
	jobFinished
	jobRefused
	jobCancelled
)

// jobRecord is what the replay keeps of a job, apart from the policy's own books.
type jobRecord struct {
	event             Event
	class             targets.Class
	phase             jobPhase
	deadline          scheduler.Time
	submittedAt       scheduler.Time
	startedAt         scheduler.Time // first start; -1 before it
	endedAt           scheduler.Time
	progress          scheduler.Time // kept by checkpoints
	freshStarts       int            // runs begun anew, not from a checkpoint
	guaranteed        bool           // its workspace's guarantee covered it when it came
	guaranteeViolated bool
}

// activeRun is one run.
type activeRun struct {
	id              string
	job             *jobRecord
	members         []structs.Member
	startedAt       scheduler.Time
	restartOverhead scheduler.Time // restart time
	result          scheduler.Result
	failedWorker    string
	endsAt          scheduler.Time
	endVersion      int // of its end in the queue; older ends are void
}

// plannedEnd is the planned end of a run.
type plannedEnd struct {
	at      scheduler.Time
	seq     int
	run     *activeRun
	version int
}

type endQueue []plannedEnd

func (e endQueue) Len() int { return len(e) }
func (e endQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e endQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *endQueue) Push(x any) { *e = append(*e, x.(plannedEnd)) }

// Pop implements heap.Interface.
func (e *endQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
