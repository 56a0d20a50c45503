package placing

import "time"

const (
	// initialStartBackoff and maxStartBackoff bound the backoff of a task whose starts fail, from
	// the second failure in a row on; it doubles. The first failure may be the worker's fault, and
	// the task goes to the next worker at once. Users expect a task that is ready to run within
	// three seconds if there is capacity.
	initialStartBackoff = 100 * time.Millisecond
	maxStartBackoff     = 2 * time.Second
	// minLongRunningRuntime is the run time below which the end of a long-running task counts as a
	// failed start.
	minLongRunningRuntime = time.Second
)

// startBackoff delays the next placement of a task after failed starts.
type startBackoff struct {
	failures int // failed starts in a row
	until    time.Time
}

// recordFailure counts a failed start.
func (b *startBackoff) recordFailure(now time.Time) {
	b.failures++
	if b.failures == 1 {
		return
	}
	backoff := initialStartBackoff
	for range b.failures - 2 {
		backoff = min(maxStartBackoff, 2*backoff)
	}
	b.until = now.Add(backoff)
}

// startFailed puts a task, or its whole gang, into a backoff that grows with the number of
// failed starts. Without it such a task is placed, recorded and ordered again at once, as often
// as the log takes appends.
func (t *task) startFailed(now time.Time) {
	for _, member := range t.gangMembers() {
		member.startBackoff.recordFailure(now)
	}
}

// longRunningEnded handles the end of a long-running task. One that ended soon after its start
// is started again at growing intervals.
func (t *task) longRunningEnded(run *run, now time.Time) {
	if run == nil || run.startedAt.IsZero() {
		return
	}
	if now.Sub(run.startedAt) < minLongRunningRuntime {
		t.startFailed(now)
		return
	}
	t.startBackoff = startBackoff{}
}
