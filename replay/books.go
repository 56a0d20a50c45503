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

// record is what the replay keeps of a job, apart from the policy's own books.
type record struct {
	event     Event
	class     targets.Class
	phase     jobPhase
	deadline  scheduler.Time
	submitted scheduler.Time
	started   scheduler.Time // first start; -1 before it
	ended     scheduler.Time
	progress  scheduler.Time // kept by checkpoints
	starts    int            // runs begun anew, not from a checkpoint
	entitled  bool           // its workspace's guarantee covered it when it came
	violated  bool
}

// live is one run.
type live struct {
	id      string
	job     *record
	members []structs.Member
	since   scheduler.Time
	extra   scheduler.Time // restart time
	result  scheduler.Result
	worker  string
	endsAt  scheduler.Time
	version int // of its end in the queue; older ends are void
}

// ending is the planned end of a run.
type ending struct {
	at      scheduler.Time
	seq     int
	run     *live
	version int
}

type endings []ending

func (e endings) Len() int { return len(e) }
func (e endings) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e endings) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *endings) Push(x any) { *e = append(*e, x.(ending)) }

// Pop implements heap.Interface.
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
