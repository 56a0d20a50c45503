package standin

import "time"

// LongRunFactor is the factor by which tasks run longer if their spec begins with "long".
const LongRunFactor = 7

// taskRun is a run of a task that executes on a worker.
type taskRun struct {
	number    int
	fails     bool
	startedAt time.Time
	duration  time.Duration
	timer     *time.Timer // nil for a gang task
	gang      *gangRun    // nil for a task that is in no gang
}

// percentDone returns the percentage of its work that a run has done.
func (r *taskRun) percentDone() int {
	startedAt := r.startedAt
	if r.gang != nil {
		startedAt = r.gang.startTime()
	}
	if startedAt.IsZero() {
		return 0
	}
	return int(min(100, 100*time.Since(startedAt)/r.duration))
}

// cancel stops the timer that ends the run. For a gang task it ends the gang's run.
func (r *taskRun) cancel() {
	if r.gang != nil {
		r.gang.breakUp()
		return
	}
	r.timer.Stop()
}

// taskEnd is an ended run that was not acknowledged yet.
type taskEnd struct {
	cursor  int64
	run     *taskRun
	row     []any
	seq     int64 // of the checker, when the run ended
	expired bool  // the lease expired before an acknowledgement, so instances may have ignored the end
}

// outcome returns the task's name and whether it ended as done.
func (e *taskEnd) outcome() (task string, done bool) {
	return e.row[1].(string), e.row[3] == "done"
}

// completedTasks returns the tasks that are done with this end: all tasks of a gang, or
// none if the run did not end as done.
func (e *taskEnd) completedTasks() []string {
	task, done := e.outcome()
	switch {
	case !done:
		return nil
	case e.run.gang != nil:
		return e.run.gang.memberTasks(task)
	}
	return []string{task}
}
