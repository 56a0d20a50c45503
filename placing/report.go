package placing

import (
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Report takes a worker's answer to a hold that was sent at sentAt. lapseAt is
// when everything there lapses if nothing is renewed after it.
func (e *Engine) Report(worker string, sentAt time.Time, running []RunningTask, ended []EndedTask, lapseAt, now time.Time) {
	known := e.nodes[worker]
	if known == nil {
		return
	}
	e.answeredBy(known, now)
	if !known.reported {
		e.plan.Notes = append(e.plan.Notes, Note{Event: "worker_reported", Worker: worker,
			Detail: "running " + strconv.Itoa(len(running)) + " ended " + strconv.Itoa(len(ended))})
	}
	known.reported = true
	known.answering = true
	known.silentAt = time.Time{}
	if !lapseAt.IsZero() {
		known.lapseAt = lapseAt
	}
	for _, end := range ended {
		if e.jobs[end.Task.Job] == nil && !e.complete {
			break // it and later ones are listed again
		}
		e.ended(known, end, now)
	}
	listed := e.running(known, running, now)
	e.settleMissing(known, listed, sentAt, now)
	e.pace(known, running, now)
	if len(ended) > 0 && known.seenEnd > 0 {
		e.ackPending[known] = known.seenEnd
	}
}

// running takes the rows of what runs, and returns the runs found.
func (e *Engine) running(known *node, rows []RunningTask, now time.Time) map[*run]bool {
	listed := make(map[*run]bool, len(rows))
	known.foreign = 0
	for _, row := range rows {
		run := known.find(row.Task, row.Run)
		if run == nil {
			run = e.adopt(known, row, now)
		}
		if run == nil {
			known.foreign++
			continue
		}
		listed[run] = true
		e.observe(run, row, now)
	}
	return listed
}

func (e *Engine) observe(run *run, row RunningTask, now time.Time) {
	if !run.seen {
		run.seen = true
		run.wantNode = false
		if run.phase == phaseOrdered {
			e.accepted(run, now)
		}
		if run.startedAt.IsZero() {
			run.startedAt = now
		}
		run.percentAt = now
		if run.resumed {
			run.percent, run.basePercent, run.baseAt = row.Percent, row.Percent, now
		}
	}
	run.reportedAt = now
	e.outlived(run, row, now)
	defer e.compareSpeed(run, now)
	if row.Percent > run.percent {
		run.percent = row.Percent
		run.percentAt = now
		if run.resumed {
			run.percent, run.basePercent, run.baseAt = row.Percent, row.Percent, now
		}
	}
	if row.Checkpoint != "" {
		e.keepCheckpoint(run.task, row.Checkpoint)
	}
}

// keepCheckpoint remembers the newest saved state of a task; that of a gang's
// member is every member's.
func (e *Engine) keepCheckpoint(task *task, saved string) {
	if !task.step.spec.Gang {
		task.checkpoint = saved
		return
	}
	for _, member := range task.step.tasks {
		member.checkpoint = saved
	}
}

// adopt takes over a run that the log did not name, or stops it if it must not
// go on.
func (e *Engine) adopt(known *node, row RunningTask, now time.Time) *run {
	job := e.jobs[row.Task.Job]
	var task *task
	if job != nil {
		task = job.task(row.Task)
	}
	if job == nil && !e.complete {
		return nil
	}
	if task == nil {
		e.plan.Stops = append(e.plan.Stops, Stop{Task: row.Task, Run: row.Run, Worker: known.entry.ID})
		return nil
	}
	run := &run{task: task, number: row.Run, node: known, phase: phaseRunning, startedAt: now, resumed: true}
	known.add(run)
	if task.run == nil && !task.done && !job.state.Final() {
		task.run = run
		task.lastRun = max(task.lastRun, row.Run)
		e.note("run_adopted", job, known.entry.ID, row.Task.String())
		return run
	}
	e.stopRun(run, "another run of the task counts", now)
	return run
}

// settleMissing resolves runs that the report would have to show but does not.
// Only a report asked for after the run was accepted, or after its stop was
// taken, says anything about it; so does the first report of a term about runs
// on record, since older orders are fenced off by then.
func (e *Engine) settleMissing(known *node, listed map[*run]bool, sentAt, now time.Time) {
	for _, run := range append([]*run(nil), known.runs...) {
		if listed[run] || run.phase == phasePlanned {
			continue
		}
		switch {
		case run.wantNode:
			e.resolveWanted(run, now)
		case !run.stopDoneAt.IsZero() && sentAt.After(run.stopDoneAt):
			e.resolve(run, "stopped", now)
		case run.phase == phaseRunning && sentAt.After(run.startedAt):
			e.resolve(run, "lost by its worker", now)
		}
	}
}

// resolveWanted settles a run on record that is not at its worker. If that has started
// again since, the run was lost with its former life.
func (e *Engine) resolveWanted(run *run, now time.Time) {
	if !run.outlived {
		e.resolve(run, "not at its worker", now)
		return
	}
	e.blame(run, now)
	e.resolve(run, "worker started again", now)
	e.giveUp(run.task, now)
}

// ended takes one end. Ends are listed again until they are acknowledged, so
// their numbers tell which are new.
func (e *Engine) ended(known *node, end EndedTask, now time.Time) {
	if end.Number <= known.seenEnd {
		e.tellPassedOver(known, end)
		return
	}
	known.seenEnd = end.Number
	run := known.find(end.Task, end.Run)
	job := e.jobs[end.Task.Job]
	if job == nil {
		return
	}
	task := job.task(end.Task)
	if task == nil {
		return
	}
	task.lastRun = max(task.lastRun, end.Run)
	e.judge(known, run, end, now)
	e.settleEnd(job, task, run, end, now)
	if run != nil {
		run.wantNode = false
		e.resolve(run, "ended "+string(end.How), now)
	}
	if !job.state.Final() {
		e.touch(job)
	}
}

// tellPassedOver notes an end that counts as seen although its run is still thought to
// be there.
func (e *Engine) tellPassedOver(known *node, end EndedTask) {
	if run := known.find(end.Task, end.Run); run != nil {
		e.note("end_passed_over", run.task.step.job, known.entry.ID, end.Task.String()+" run "+strconv.Itoa(end.Run)+" "+string(end.How)+
			" number "+strconv.FormatInt(end.Number, 10)+" seen "+strconv.FormatInt(known.seenEnd, 10))
	}
}

func (e *Engine) settleEnd(job *job, task *task, run *run, end EndedTask, now time.Time) {
	if job.state.Final() || task.done || end.Run <= task.judged {
		return
	}
	counts := run != nil && run == task.run || run == nil && task.run == nil
	if !counts {
		return
	}
	task.judged = end.Run
	if task.step.spec.Lasting && end.How == EndFailed {
		task.lastingEnded(run, now)
	}
	if end.Checkpoint != "" {
		e.keepCheckpoint(task, end.Checkpoint)
	}
	switch end.How {
	case EndDone:
		e.taskDone(job, task, now)
	case EndFailed:
		e.taskFailed(job, task, end, now)
	}
}

func (e *Engine) taskDone(job *job, task *task, now time.Time) {
	if task.step.spec.Lasting {
		return
	}
	if task.step.spec.Gang {
		for _, member := range task.step.tasks {
			e.markDone(member)
		}
	} else {
		e.markDone(task)
	}
	e.noteTurns(job, task, now)
	for _, occurrence := range job.runs {
		if occurrence.left > 0 {
			return
		}
	}
	e.finish(job, jobs.StateDone, "", now)
}

// taskFailed counts an attempt. A gang's attempt counts once, however many of
// its members report the failure.
func (e *Engine) taskFailed(job *job, task *task, end EndedTask, now time.Time) {
	if task.step.spec.Lasting {
		return
	}
	if task.step.spec.Gang {
		for _, member := range task.step.tasks {
			member.judged = end.Run // the others' ends say the same of this run
			member.failed++
			member.avoid = end.workerOf(task)
		}
	} else {
		task.failed++
		task.avoid = end.workerOf(task)
	}
	e.note("task_failed", job, "", task.key.String()+" attempt "+strconv.Itoa(task.failed)+" of "+strconv.Itoa(job.queue.MaxAttempts))
	if task.failed >= job.queue.MaxAttempts {
		e.finish(job, jobs.StateFailed, "task "+task.key.String()+" failed in every attempt", now)
	}
}

// workerOf is the worker on which the task's present run ended.
func (EndedTask) workerOf(task *task) string {
	if task.run == nil {
		return ""
	}
	return task.run.node.entry.ID
}
