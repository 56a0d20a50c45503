package placing

import (
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// StartResult is how a worker answered a start.
type StartResult int

// Results of a start.
const (
	StartAccepted  StartResult = iota
	StartRefused               // it did and will do nothing
	StartNoTicket              // refused, as it carried no valid ticket
	StartNoRoom                // refused, as the task does not fit there now
	StartBusy                  // refused, as the worker is unhealthy
	StartUnknown               // no answer; it may take effect, also later
	StartEvacuated             // not sent, as the worker's availability zone is evacuated, or may be
)

const (
	// stopAgain is how long a stop may go unanswered before it is ordered again;
	// it has been sent three times by then.
	stopAgain = time.Second
	// fullPause keeps new work off a worker that refused for room, until its
	// books can be put right by its next report.
	fullPause = 500 * time.Millisecond
)

// bind takes capacity for a run of a task. The start is ordered once the
// placement is on record.
func (e *Engine) bind(task *task, node *node, number int) {
	run := &run{task: task, number: number, node: node, phase: phasePlanned}
	task.run = run
	task.lastRun = number
	node.add(run)
	e.pending = append(e.pending, run)
	job := task.step.job
	if job.state == jobs.StateQueued {
		job.state = jobs.StateRunning
	}
	e.touch(job)
}

// order sends the start of a run whose placement is on record.
func (e *Engine) order(run *run, now time.Time) {
	if run.phase != phasePlanned || run.task.run != run {
		return
	}
	if !e.stillFits(run.node, now) {
		e.resolve(run, "no room any more", now)
		return
	}
	if !e.evacuationsKnown(now) {
		e.resolve(run, "evacuated zones not known", now)
		return
	}
	run.phase = phaseOrdered
	run.orderedAt = now
	run.resumed = run.task.checkpoint != ""
	run.percentAt = now
	e.plan.Starts = append(e.plan.Starts, Start{
		Task:       run.task.key,
		Run:        run.number,
		Worker:     run.node.entry.ID,
		Spec:       run.task.step.job.submission.Spec,
		Checkpoint: run.task.checkpoint,
		Ticket:     run.task.step.ticketOf(run.node.entry.ID),
	})
}

// StartAnswered takes a worker's answer to a start.
func (e *Engine) StartAnswered(worker string, key jobs.TaskKey, number int, result StartResult, now time.Time) {
	run := e.findRun(worker, key, number)
	if run == nil {
		return
	}
	switch result {
	case StartAccepted:
		e.accepted(run, now)
	case StartUnknown:
		if run.phase == phaseOrdered {
			e.stopRun(run, "start not answered", now)
			run.node.health.silent(now)
		}
	default:
		e.refused(run, result, now)
	}
}

func (e *Engine) accepted(run *run, now time.Time) {
	if run.phase != phaseOrdered && run.phase != phaseDoubtful {
		return
	}
	run.phase = phaseRunning
	run.startedAt = now
	run.percentAt = now
	run.task.roomSince = time.Time{}
	if !run.task.step.spec.Lasting {
		run.task.pausing = pausing{}
	}
}

func (e *Engine) refused(run *run, result StartResult, now time.Time) {
	if run.seen {
		return // an earlier copy of the order is at work
	}
	switch result {
	case StartEvacuated:
		run.node.fullUntil = now.Add(fullPause) // who drives the worker knows better, or less
	case StartNoTicket:
		run.task.step.ticketRefused(run.node.entry.ID)
	case StartNoRoom:
		run.node.fullUntil = now.Add(fullPause)
	case StartBusy:
		run.node.health.busy(now)
	case StartRefused:
		run.task.startFailed(now)
	}
	e.resolve(run, "start refused", now)
}

func (e *Engine) findRun(worker string, key jobs.TaskKey, number int) *run {
	known := e.nodes[worker]
	if known == nil {
		return nil
	}
	return known.find(key, number)
}

// stopRun makes sure that a run ends: one that was not ordered is dropped, any
// other is stopped at its worker.
func (e *Engine) stopRun(run *run, why string, now time.Time) {
	if run.phase == phasePlanned {
		e.resolve(run, why, now)
		return
	}
	if !run.stopSentAt.IsZero() {
		return
	}
	run.why = why
	if run.phase == phaseOrdered {
		run.phase = phaseDoubtful
	} else {
		run.phase = phaseStopping
	}
	e.sendStop(run, now)
	e.note("run_stopped", run.task.step.job, run.node.entry.ID,
		run.task.key.String()+" lost_core_s "+strconv.Itoa(int(run.loss(now)))+" "+why)
}

func (e *Engine) sendStop(run *run, now time.Time) {
	if run.stoppedAt.IsZero() {
		run.stoppedAt = now
	}
	run.stopSentAt = now
	e.plan.Stops = append(e.plan.Stops, Stop{Task: run.task.key, Run: run.number, Worker: run.node.entry.ID})
}

// StopAnswered says that a worker took a stop; from then on the run cannot
// begin there, and the worker's next report tells whether it had begun.
func (e *Engine) StopAnswered(worker string, key jobs.TaskKey, number int, now time.Time) {
	if run := e.findRun(worker, key, number); run != nil && run.stopDoneAt.IsZero() {
		run.stopDoneAt = now
	}
}

// resolve says that a run is certainly over. Its task may run again, as may its
// whole gang once all members are over.
func (e *Engine) resolve(run *run, why string, now time.Time) {
	run.node.drop(run)
	task := run.task
	if task.run != run {
		return
	}
	task.run = nil
	if !run.startedAt.IsZero() || run.wantNode {
		task.overAt = now
	}
	job := task.step.job
	if !job.state.Final() {
		e.touch(job)
		if !task.done {
			e.note("run_over", job, run.node.entry.ID, task.key.String()+" "+why+" "+run.history(now))
		}
	}
	if task.step.spec.Gang && !task.done {
		e.dissolve(task.step, "gang member over: "+why, now)
	}
}

// dissolve stops the members that are left of a gang that lost one.
func (e *Engine) dissolve(step *step, why string, now time.Time) {
	for _, member := range step.tasks {
		if member.run != nil {
			e.stopRun(member.run, why, now)
		}
	}
}

// chaseRuns repeats stops that went unanswered.
func (e *Engine) chaseRuns(now time.Time) {
	for _, known := range e.nodeOrder {
		for _, run := range known.runs {
			waits := !run.stopSentAt.IsZero() && run.stopDoneAt.IsZero()
			if waits && now.Sub(run.stopSentAt) > stopAgain {
				e.sendStop(run, now)
			}
		}
	}
}
