package placing

import (
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// maxListedEnds is how many ends a worker lists in one answer. It lists further ones once these are
// acknowledged.
const maxListedEnds = 500

// Report handles a worker's answer to a poll that was sent at sentAt. leasesExpireAt is when all
// leases on the worker expire unless they are renewed later.
func (e *Engine) Report(worker string, sentAt time.Time, running []RunningTask, ended []EndedTask, leasesExpireAt, now time.Time) {
	n := e.nodes[worker]
	if n == nil {
		return
	}
	e.handleAnswer(n, now)
	e.stopOpenStarts(n, now)
	if !n.reported {
		e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "worker_reported", Worker: worker,
			Detail: "running " + strconv.Itoa(len(running)) + " ended " + strconv.Itoa(len(ended))})
	}
	n.reported = true
	n.answering = true
	n.silentAt = time.Time{}
	if !leasesExpireAt.IsZero() {
		n.setLeasesExpireAt(leasesExpireAt)
	}
	complete := e.applyEnds(n, ended, now)
	reported := e.applyRunning(n, running, now)
	if complete {
		e.reconcileMissing(n, reported, sentAt, now)
	}
	e.paceFillers(n, running, now)
	if len(ended) > 0 && n.lastEnd > 0 {
		e.pendingAcks[n] = n.lastEnd
	}
}

// applyEnds handles listed ends in the order of their numbers. It reports whether all ends up to the
// time of the answer are handled; others are listed again. Until then a run that is absent may be
// one whose end is not handled.
func (e *Engine) applyEnds(n *node, ended []EndedTask, now time.Time) (complete bool) {
	for _, end := range ended {
		if e.jobs[end.Task.Job] == nil && !e.jobsComplete {
			e.logEndsDeferred(n, end)
			return false
		}
		e.applyEnd(n, end, now)
	}
	return len(ended) < maxListedEnds
}

// logEndsDeferred logs the first of the ends that wait until their jobs are known, once.
func (e *Engine) logEndsDeferred(n *node, end EndedTask) {
	if n.deferredEnd == end.Number {
		return
	}
	n.deferredEnd = end.Number
	e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "ends_deferred", Job: end.Task.Job, Worker: n.entry.ID,
		Detail: "unknown job, number " + strconv.FormatInt(end.Number, 10)})
}

// applyRunning handles the rows of running tasks and returns the runs found.
func (e *Engine) applyRunning(n *node, rows []RunningTask, now time.Time) map[*run]bool {
	reported := make(map[*run]bool, len(rows))
	n.unknownRuns = 0
	for _, row := range rows {
		run := n.findRun(row.Task, row.Run)
		if run == nil {
			run = e.adoptRun(n, row, now)
		}
		if run == nil {
			n.unknownRuns++
			continue
		}
		reported[run] = true
		e.observeRun(run, row, now)
	}
	return reported
}

// observeRun updates a run from a report that shows it.
func (e *Engine) observeRun(run *run, row RunningTask, now time.Time) {
	if !run.seen {
		run.seen = true
		run.startOrigin = OriginOwn
		run.unconfirmed = false
		e.markRunning(run.task.step.job)
		if run.phase == phaseOrdered {
			e.startAccepted(run, now)
		}
		if run.startedAt.IsZero() {
			run.startedAt = now
		}
		run.percentAt = now
		if run.resumed {
			run.percent, run.basePercent, run.basePercentAt = row.Percent, row.Percent, now
		}
	}
	run.reportedAt = now
	e.clearLosses(run, row, now)
	defer e.compareSpeed(run, now)
	if row.Percent > run.percent {
		run.percent = row.Percent
		run.percentAt = now
		if run.resumed {
			run.percent, run.basePercent, run.basePercentAt = row.Percent, row.Percent, now
		}
	}
	if row.Checkpoint != "" {
		e.recordCheckpoint(run.task, row.Checkpoint)
	}
}

// recordCheckpoint stores the newest checkpoint of a task; that of a gang's member counts for
// every member.
func (e *Engine) recordCheckpoint(task *task, checkpoint string) {
	if !task.step.spec.Gang {
		task.checkpoint = checkpoint
		return
	}
	for _, member := range task.step.tasks {
		member.checkpoint = checkpoint
	}
}

// adoptRun takes over a run that is not on record, or stops it if it must not go on.
func (e *Engine) adoptRun(n *node, row RunningTask, now time.Time) *run {
	job := e.jobs[row.Task.Job]
	var task *task
	if job != nil {
		task = job.task(row.Task)
	}
	if job == nil && !e.jobsComplete {
		return nil
	}
	if task == nil {
		e.plan.Stops = append(e.plan.Stops, Stop{Task: row.Task, Run: row.Run, Worker: n.entry.ID})
		return nil
	}
	run := &run{task: task, number: row.Run, node: n, phase: phaseRunning, startedAt: now, resumed: true}
	n.addRun(run)
	if task.run == nil && !task.done && !job.state.Final() {
		task.run = run
		task.lastRun = max(task.lastRun, row.Run)
		e.logEvent("run_adopted", job, n.entry.ID, row.Task.String())
		return run
	}
	e.stopRun(run, "another run of the task counts", now)
	return run
}

// reconcileMissing ends runs that the report should list but does not. A report decides only if all
// ends up to its time are handled, and if it was requested after the run was accepted, or after its
// stop was acknowledged. The first report of a term also decides for runs on record, since older
// orders are fenced off by then.
func (e *Engine) reconcileMissing(n *node, reported map[*run]bool, sentAt, now time.Time) {
	for _, run := range append([]*run(nil), n.runs...) {
		if reported[run] || run.phase == phasePlanned {
			continue
		}
		switch {
		case run.unconfirmed:
			e.endMissingRun(run, now)
		case !run.stopDoneAt.IsZero() && sentAt.After(run.stopDoneAt):
			e.endRun(run, "stopped", now)
		case run.phase == phaseRunning && sentAt.After(run.startedAt):
			e.endRun(run, "lost by its worker", now)
		}
	}
}

// endMissingRun ends a run on record that is not at its worker. If the worker has restarted
// since, the run was lost with the former incarnation.
func (e *Engine) endMissingRun(run *run, now time.Time) {
	if !run.workerRestarted {
		e.endRun(run, "not at its worker", now)
		return
	}
	e.countLoss(run, now)
	e.endRun(run, "worker started again", now)
	e.failIfLossesExceeded(run.task, now)
}

// applyEnd handles one reported end. Ends are listed again until they are acknowledged, so
// their numbers show which are new.
func (e *Engine) applyEnd(n *node, end EndedTask, now time.Time) {
	if end.Number <= n.lastEnd {
		e.logSkippedEnd(n, end)
		return
	}
	n.lastEnd = end.Number
	run := n.findRun(end.Task, end.Run)
	job := e.jobs[end.Task.Job]
	if job == nil {
		return
	}
	task := job.task(end.Task)
	if task == nil {
		return
	}
	task.lastRun = max(task.lastRun, end.Run)
	if run == nil {
		e.logUnknownRunEnd(n, end)
	}
	e.updateHealth(n, run, end, now)
	e.applyTaskEnd(job, task, run, end, now)
	if run != nil {
		run.unconfirmed = false
		e.endRun(run, "ended "+string(end.Kind), now)
	}
	if !job.state.Final() {
		e.markDirty(job)
	}
}

// logUnknownRunEnd logs an end of a run that is not recorded at the node: the run was taken as over,
// or a former leader has handled its end.
func (e *Engine) logUnknownRunEnd(n *node, end EndedTask) {
	e.logEvent("end_of_unknown_run", e.jobs[end.Task.Job], n.entry.ID, end.Task.String()+" run "+strconv.Itoa(end.Run)+" "+string(end.Kind)+
		" number "+strconv.FormatInt(end.Number, 10))
}

// logSkippedEnd logs an end that counts as handled although its run is still recorded at
// the node.
func (e *Engine) logSkippedEnd(n *node, end EndedTask) {
	if run := n.findRun(end.Task, end.Run); run != nil {
		e.logEvent("end_passed_over", run.task.step.job, n.entry.ID, end.Task.String()+" run "+strconv.Itoa(end.Run)+" "+string(end.Kind)+
			" number "+strconv.FormatInt(end.Number, 10)+" seen "+strconv.FormatInt(n.lastEnd, 10))
	}
}

// applyTaskEnd updates a task and its job from the end of the current run. Ends of earlier runs
// and repeated ends change nothing.
func (e *Engine) applyTaskEnd(job *job, task *task, run *run, end EndedTask, now time.Time) {
	if job.state.Final() || task.done || end.Run <= task.lastEndedRun {
		return
	}
	if run == nil && end.Kind == EndDone {
		e.withdrawPlannedRun(task, now)
	}
	if run != task.run {
		return
	}
	task.lastEndedRun = end.Run
	if task.step.spec.LongRunning && end.Kind == EndFailed {
		task.longRunningEnded(run, now)
	}
	if end.Checkpoint != "" {
		e.recordCheckpoint(task, end.Checkpoint)
	}
	switch end.Kind {
	case EndDone:
		e.taskDone(job, task, now)
	case EndFailed:
		e.taskFailed(job, task, end, now)
	}
}

// withdrawPlannedRun ends a run that was planned before an earlier run of its task, which counted as
// lost, turned out to have ended as done. Nothing was sent for it, nor for the rest of its gang.
func (e *Engine) withdrawPlannedRun(task *task, now time.Time) {
	if task.run == nil || task.run.phase != phasePlanned {
		return
	}
	for _, member := range task.gangMembers() {
		if member.run != nil && member.run.phase != phasePlanned {
			return
		}
	}
	e.endRun(task.run, "an earlier run ended as done", now)
}

// taskDone marks a task, or its whole gang, as done and finishes the job after the last one.
// Long-running tasks are never done.
func (e *Engine) taskDone(job *job, task *task, now time.Time) {
	if task.step.spec.LongRunning {
		return
	}
	if task.step.spec.Gang {
		for _, member := range task.step.tasks {
			e.markDone(member)
		}
	} else {
		e.markDone(task)
	}
	e.markReadySteps(job, task, now)
	if job.remainingOccurrences == 0 {
		e.finish(job, jobs.StateDone, "", now)
	}
}

// taskFailed counts an attempt. A gang's attempt counts once, however many of its members
// report the failure.
func (e *Engine) taskFailed(job *job, task *task, end EndedTask, now time.Time) {
	if task.step.spec.LongRunning {
		return
	}
	if task.step.spec.Gang {
		for _, member := range task.step.tasks {
			member.lastEndedRun = end.Run // the ends of the other members report the same failure
			member.failedRuns++
			member.avoidWorker = end.workerOfRun(task)
		}
	} else {
		task.failedRuns++
		task.avoidWorker = end.workerOfRun(task)
	}
	e.logEvent("task_failed", job, "", task.key.String()+" attempt "+strconv.Itoa(task.failedRuns)+" of "+strconv.Itoa(job.queue.MaxAttempts))
	if task.failedRuns >= job.queue.MaxAttempts {
		e.finish(job, jobs.StateFailed, "task "+task.key.String()+" failed in every attempt", now)
	}
}

// workerOfRun returns the worker on which the task's current run ended.
func (EndedTask) workerOfRun(task *task) string {
	if task.run == nil {
		return ""
	}
	return task.run.node.entry.ID
}
