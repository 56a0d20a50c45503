package placing

import (
	"fmt"
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// A lost worker reports nothing, so its tasks are assessed by the loss itself. Otherwise a
// task that crashes its workers would be started again without bound and take down a worker,
// with all that runs there, every few seconds. One loss means little, as workers are lost
// without any task's fault. So a task becomes suspect by how soon after its start the worker
// fell silent, is retried on a worker of its own, which distinguishes it from its neighbours
// and protects them, and its job is failed after more losses than chance explains. An early
// loss does not count as such while several workers fall silent together.
const (
	// earlyLossWindow is the time after a start within which the loss of the worker points
	// at the task: a task that crashes its worker does so as it begins, or once it has
	// resumed from a checkpoint.
	earlyLossWindow = time.Second
	// maxEarlyLosses is the number of early losses at which a job is failed: on the users'
	// worst days two of them may still be chance.
	maxEarlyLosses = 3
	// maxLosses is the number of losses of any kind at which a job is failed. The users allow
	// two starts after the third worker was lost under a task, so the fifth loss is the last.
	// Long-running tasks are cleared of their losses after longRunningProof.
	maxLosses = 5
	// minLossesToIsolate is the number of losses from which a task is suspect though none
	// was early.
	minLossesToIsolate = 2
	// clearLossesFactor gives how long a run has to work to show that it does not crash its
	// worker as former ones may have done: this factor times the longest time at work before
	// a loss, and at least earlyLossWindow. The run must also have reported progress.
	clearLossesFactor = 2
	// maxIsolationDelay is how long a suspect task waits for an empty worker. Users
	// expect a ready task to run within three seconds if there is capacity; the rest of
	// that time is for recording the placement and starting the task.
	maxIsolationDelay = 2 * time.Second
	// longRunningProof is how long a long-running task has to work to be cleared of all
	// losses: it outlives many workers by its nature.
	longRunningProof = 30 * time.Second
)

// losses counts the workers lost under a task; a gang's tasks share the count.
type losses struct {
	total       int           // runs that ended with their worker
	early       int           // of these, the early losses, see isEarlyLoss and maxUnexplainedSilences
	lastRun     int           // highest run whose loss was counted
	newestAt    time.Time     // of the newest loss
	longestWork time.Duration // longest time at work before a loss
}

// suspect reports whether the task may be the cause of the losses.
func (l losses) suspect() bool { return l.early > 0 || l.total >= minLossesToIsolate }

// exceeded reports whether there are too many losses to try the task again.
func (l losses) exceeded() bool { return l.early >= maxEarlyLosses || l.total >= maxLosses }

// loseWorker ends an incarnation of a worker and all runs that may be there. The loss is
// not counted against any task if the worker had announced that it leaves.
func (e *Engine) loseWorker(n *node, reason string, now time.Time) {
	e.loseRuns(n, append([]*run(nil), n.runs...), reason, now)
}

// loseRuns ends runs of a lost incarnation of a worker.
func (e *Engine) loseRuns(n *node, runs []*run, reason string, now time.Time) {
	e.logLoss(n, reason, len(runs), now)
	e.countLosses(n, runs, now)
	for _, run := range runs {
		e.endRun(run, reason, now)
	}
	for _, run := range runs {
		e.failIfLossesExceeded(run.task, now)
	}
}

// logLoss logs the loss of a node that had runs.
func (e *Engine) logLoss(n *node, reason string, runs int, now time.Time) {
	if runs > 0 {
		e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "worker_lost", Worker: n.entry.ID,
			Detail: fmt.Sprintf("%s runs %d %s", reason, runs, n.silenceDetail(now))})
	}
}

// countLosses counts the loss of a node against the tasks of its runs.
func (e *Engine) countLosses(n *node, runs []*run, now time.Time) {
	if n.entry.Leaving {
		return
	}
	for _, run := range runs {
		e.countLoss(run, now)
	}
	e.markRecentlyRestarted(n.entry.Address, now)
}

// countLoss counts the loss of a run's worker against its task. Each run counts once,
// even if several workers of a gang were lost under it. A loss is not
// early if more than maxUnexplainedSilences workers without a just started run fall silent
// within earlyLossWindow of it. The log names a recently restarted worker "unsteady".
func (e *Engine) countLoss(run *run, now time.Time) {
	if !run.lossCounts() {
		return
	}
	task := run.task
	losses := task.losses
	losses.total++
	losses.lastRun = run.number
	losses.newestAt = now
	if worked, _ := run.workTime(now); worked > losses.longestWork {
		losses.longestWork = worked
	}
	if run.isEarlyLoss() && e.unexplainedSilencesNear(run.node.silentAt) <= maxUnexplainedSilences {
		losses.early++
	}
	task.setLosses(losses)
	e.logEvent("task_lost_worker", task.step.job, run.node.entry.ID,
		fmt.Sprintf("%s losses %d early %d unsteady %t", task.key, losses.total, losses.early, now.Before(run.node.recentlyRestartedUntil)))
}

// lossCounts reports whether the loss of a run's worker says something of its task: the run was started there,
// its task still depends on it, and its loss was not counted yet.
func (r *run) lossCounts() bool {
	if r.phase == phasePlanned || r.startOrigin == OriginOther || r.number <= r.task.losses.lastRun {
		return false
	}
	return r.task.run == r && !r.task.done && !r.task.step.job.state.Final()
}

// setLosses sets the losses of a task and of its gang.
func (t *task) setLosses(updated losses) {
	t.step.hasSuspects = true
	for _, member := range t.gangMembers() {
		member.losses = updated
	}
}

// isEarlyLoss reports whether a run's worker fell silent soon after the run began. On a
// recently restarted worker that does not point at the task, nor does it after an order
// that was sent once the worker had fallen silent.
func (r *run) isEarlyLoss() bool {
	silentAt := r.node.silentAt
	if silentAt.IsZero() || r.orderedAt.IsZero() {
		return false // no silence was seen, or a former leader ordered the start: the time is unknown
	}
	if r.startedAt.IsZero() {
		return false // the worker may have been gone before the order arrived
	}
	if silentAt.Before(r.node.recentlyRestartedUntil) || silentAt.Before(r.orderedAt) {
		return false
	}
	return silentAt.Sub(r.workStartedAt()) < earlyLossWindow
}

// workStartedAt returns when a run began to work at the earliest: the members of a gang
// wait for each other.
func (r *run) workStartedAt() time.Time {
	start := r.startedOrOrderedAt()
	for _, member := range r.task.gangMembers() {
		if member.run != nil {
			start = laterTime(start, member.run.startedOrOrderedAt())
		}
	}
	return start
}

func (r *run) startedOrOrderedAt() time.Time {
	if r.startedAt.IsZero() {
		return r.orderedAt
	}
	return r.startedAt
}

// failIfLossesExceeded fails the job of a task under which too many workers were lost.
func (e *Engine) failIfLossesExceeded(task *task, now time.Time) {
	job := task.step.job
	if task.done || job.state.Final() || !task.losses.exceeded() {
		return
	}
	e.finish(job, jobs.StateFailed, "task "+task.key.String()+" lost its worker in "+strconv.Itoa(task.losses.total)+" runs", now)
}

// clearLosses clears a task of its early losses once its run has worked for long enough, a
// long-running task after longRunningProof of all losses, and ends the isolation of the
// workers of the run.
func (e *Engine) clearLosses(run *run, row RunningTask, now time.Time) {
	losses := run.task.losses
	if losses.total == 0 || row.Percent == 0 || run.startedAt.IsZero() {
		return
	}
	worked := now.Sub(run.startedAt)
	proven := run.task.step.spec.LongRunning && worked >= longRunningProof
	if !proven && worked < max(earlyLossWindow, clearLossesFactor*losses.longestWork) {
		return
	}
	losses.early = 0
	if proven {
		losses.total = 0
	}
	if losses != run.task.losses {
		run.task.setLosses(losses)
	}
	for _, member := range run.task.gangMembers() {
		if member.run != nil {
			member.run.endIsolation()
		}
	}
}

// gangMembers returns the tasks that run, end and are lost together with a task: the
// members of its gang, or itself alone.
func (t *task) gangMembers() []*task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

// endIsolation lets other work onto the worker of an isolated run.
func (r *run) endIsolation() {
	if r.isolated {
		r.isolated = false
		r.node.isolatedRuns--
	}
}

// workTime returns how long a run was at its worker before that fell silent, or until now.
// started is false if the worker was never known to have it.
func (r *run) workTime(now time.Time) (length time.Duration, started bool) {
	if r.startedAt.IsZero() {
		return 0, false
	}
	end := now
	if !r.node.silentAt.IsZero() {
		end = r.node.silentAt
	}
	return max(0, end.Sub(r.startedAt)), true
}

// summary describes how far a run came, for the log.
func (r *run) summary(now time.Time) string {
	worked, started := r.workTime(now)
	return fmt.Sprintf("run %d started %t worked_ms %d percent %d", r.number, started, worked.Milliseconds(), r.percent)
}
