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

// jobRecord is the replay's own record of a job, independent of the policy's state.
type jobRecord struct {
	event             Event
	class             targets.Class
	phase             jobPhase
	deadline          scheduler.Time
	submittedAt       scheduler.Time
	startedAt         scheduler.Time // first start; -1 before it
	endedAt           scheduler.Time
	progress          scheduler.Time // saved in checkpoints
	freshStarts       int            // runs that did not resume from a checkpoint
	guaranteed        bool           // its workspace's guarantee covered it at submission
	guaranteeViolated bool
}

// activeRun is a run of a job that has not ended yet.
type activeRun struct {
	id              string
	job             *jobRecord
	members         []structs.Member
	startedAt       scheduler.Time
	restartOverhead scheduler.Time // time to restart from a checkpoint
	result          scheduler.Result
	failedWorker    string
	endsAt          scheduler.Time
	endVersion      int // version of the valid plannedEnd; older ones are ignored
}

// plannedEnd is a scheduled end of a run in the endQueue.
type plannedEnd struct {
	at      scheduler.Time
	seq     int
	run     *activeRun
	version int
}

// endQueue is a heap of planned ends by time, then by order of scheduling.
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
