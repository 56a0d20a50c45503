package batch

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// openTasksShare is the part of its memory that a leader uses for tasks that are due and not done.
	// The rest is for accepted jobs, callers' requests, the workers and the runtime.
	openTasksShare = 0.25
	// acceptedJobsShare is the part of the memory of the smallest instance that accepted jobs may use at
	// each instance. Any instance may become the leader and has to load all jobs.
	acceptedJobsShare = 0.25
	// urgentJobsShare is the part of that which only jobs of priority 0 may use.
	urgentJobsShare = 0.1
	// fullRetryAfter is when the caller of a job that does not fit should retry. Room comes free as jobs
	// end, which is not predicted.
	fullRetryAfter = 10 * time.Second
)

// leastMemory returns the memory of the smallest instance in bytes, as far as it is known; 0 if nothing is.
func (i *Instance) leastMemory() int64 {
	i.foldLock.Lock()
	announced := i.fold.table.LeastMemoryMB() << 20
	i.foldLock.Unlock()
	own := i.bounds.latest().MemoryBytes
	if announced == 0 || own > 0 && own < announced {
		return own
	}
	return announced
}

// refuseIfFull refuses a job if the accepted jobs leave no memory for it at the smallest instance.
func (i *Instance) refuseIfFull(submission *jobs.Submission) (outcome Outcome, refused bool) {
	limit := acceptedJobsShare * float64(i.leastMemory())
	if limit == 0 {
		return Outcome{}, false
	}
	if submission.Queue.Priority > 0 {
		limit *= 1 - urgentJobsShare
	}
	i.foldLock.Lock()
	used := i.fold.table.SubmissionBytes()
	i.foldLock.Unlock()
	if float64(used+submission.MemoryBytes()) <= limit {
		return Outcome{}, false
	}
	return Outcome{Verdict: NotRun, Reason: "accepted jobs use all the memory for them", RetryAfter: fullRetryAfter}, true
}
