package placing

import (
	"fmt"
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// A worker that is lost reports nothing. What ran there has to be judged by the loss
// itself, or a task that ends its workers is started again without a bound and takes a
// worker, with all that runs there, every few seconds. One loss says little: workers are
// lost without any task's fault. So a task is suspected by how soon after its start the
// worker fell silent, tried again on a worker of its own, which tells it from its
// neighbours and spares them, and given up after losses that chance does not explain.
const (
	// earlyLoss is the time after a start within which the loss of the worker points
	// at the task: a task that ends its worker does so as it begins, or once it has
	// resumed from a saved state.
	earlyLoss = time.Second
	// maxEarlyLosses is after how many early losses a task is given up: on the users'
	// worst days two of them may still be chance.
	maxEarlyLosses = 3
	// maxLosses is after how many losses of any kind a task that ends is given up: the
	// users allow two starts after the third worker was lost under it.
	maxLosses = 5
	// minLossesToIsolate is from how many losses on a task is suspected though none was early.
	minLossesToIsolate = 2
	// clearLossesFactor times the longest time for which the task worked before a loss is
	// when its next run has shown that it does not end its worker as the last one did.
	clearLossesFactor = 2
	// maxIsolationDelay is how long a suspected task waits for an empty worker. Users
	// expect a task whose turn has come to run within three seconds if there is room.
	maxIsolationDelay = 2 * time.Second
	// longRunningProof is how long a lasting task has to be at work to be cleared of all
	// losses: it outlives many workers by its nature.
	longRunningProof = 30 * time.Second
)

// losses is what the loss of workers says of a task; a gang's tasks share it.
type losses struct {
	total       int           // runs that were over with their worker
	early       int           // of these, soon after their start, on a worker that was not unsteady itself
	lastRun     int           // highest run whose loss was counted
	newestAt    time.Time     // of the newest
	longestWork time.Duration // the longest time at work before a loss
}

// suspect reports whether a task may be what ends its workers.
func (l losses) suspect() bool { return l.early > 0 || l.total >= minLossesToIsolate }

func (l losses) exceeded() bool { return l.early >= maxEarlyLosses || l.total >= maxLosses }

// loseWorker takes that a node's life is over, and with it all that may be there. One that said
// that it leaves has kept its word: that is no loss to hold against anyone.
func (e *Engine) loseWorker(n *node, reason string, now time.Time) {
	runs := append([]*run(nil), n.runs...)
	e.logLoss(n, reason, len(runs), now)
	e.countLosses(n, runs, now)
	for _, run := range runs {
		e.endRun(run, reason, now)
	}
	for _, run := range runs {
		e.failIfLossesExceeded(run.task, now)
	}
}

func (e *Engine) logLoss(n *node, reason string, runs int, now time.Time) {
	if runs > 0 {
		e.plan.Notes = append(e.plan.Notes, Note{Event: "worker_lost", Worker: n.entry.ID,
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
// also if several workers of a gang were lost under it.
func (e *Engine) countLoss(run *run, now time.Time) {
	task := run.task
	if run.phase == phasePlanned || task.run != run || task.done || task.step.job.state.Final() || run.number <= task.losses.lastRun {
		return
	}
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

func (t *task) setLosses(updated losses) {
	t.step.hasSuspects = true
	for _, member := range t.gangMembers() {
		member.losses = updated
	}
}

// isEarlyLoss reports whether a run's worker fell silent soon after the run began. On a
// worker whose former life was lost too, that says nothing of the task; nor does an
// order that was sent after the worker had fallen silent.
func (r *run) isEarlyLoss() bool {
	silentAt := r.node.silentAt
	if silentAt.IsZero() || r.orderedAt.IsZero() {
		return false // under a former holder of the term, which alone knows when
	}
	if r.startedAt.IsZero() {
		return false // the worker may have been gone before the order reached it
	}
	if silentAt.Before(r.node.recentlyRestartedUntil) || silentAt.Before(r.orderedAt) {
		return false
	}
	return silentAt.Sub(r.workStartedAt()) < earlyLoss
}

// workStartedAt is when a run began to work at the earliest: the members of a gang wait for
// each other.
func (r *run) workStartedAt() time.Time {
	begun := r.startOrOrder()
	for _, member := range r.task.gangMembers() {
		if member.run != nil {
			begun = laterTime(begun, member.run.startOrOrder())
		}
	}
	return begun
}

func (r *run) startOrOrder() time.Time {
	if r.startedAt.IsZero() {
		return r.orderedAt
	}
	return r.startedAt
}

// failIfLossesExceeded ends the job of a task that has lost too many workers.
func (e *Engine) failIfLossesExceeded(task *task, now time.Time) {
	job := task.step.job
	if task.done || job.state.Final() || !task.losses.exceeded() {
		return
	}
	e.finish(job, jobs.StateFailed, "task "+task.key.String()+" lost its worker in "+strconv.Itoa(task.losses.total)+" runs", now)
}

// clearLosses clears a task of what its run has outlived by being at work, and lets
// others onto its worker again.
func (e *Engine) clearLosses(run *run, row RunningTask, now time.Time) {
	losses := run.task.losses
	if losses.total == 0 || row.Percent == 0 || run.startedAt.IsZero() {
		return
	}
	worked := now.Sub(run.startedAt)
	if worked < max(earlyLoss, clearLossesFactor*losses.longestWork) {
		return
	}
	losses.early = 0
	if worked >= longRunningProof && run.task.step.spec.Lasting {
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

// gangMembers are the tasks that run, end and are lost as one with a task.
func (t *task) gangMembers() []*task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

func (r *run) endIsolation() {
	if r.isolated {
		r.isolated = false
		r.node.isolatedRuns--
	}
}

// workTime is how long a run was at its worker before that fell silent, or until now.
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

// summary is what tells the ends of a task's runs apart, for the log.
func (r *run) summary(now time.Time) string {
	worked, started := r.workTime(now)
	return fmt.Sprintf("run %d started %t worked_ms %d percent %d", r.number, started, worked.Milliseconds(), r.percent)
}
