package placing

import (
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// StartResult is a worker's answer to a start.
type StartResult int

// Results of a start.
const (
	StartAccepted   StartResult = iota
	StartRefused                // refused; it never starts
	StartNoTicket               // refused without a valid ticket
	StartNoCapacity             // refused, as the task does not fit there now
	StartBusy                   // refused, as the worker is unhealthy
	StartUnknown                // no answer; it may take effect, also later
	StartEvacuated              // not sent, as the worker's availability zone is evacuated, or may be
)

const (
	// stopRetryInterval is how long a stop may go unanswered before it is sent again; the transport
	// has sent it three times by then.
	stopRetryInterval = time.Second
	// noCapacityBackoff keeps new work off a worker that refused for lack of capacity, until its
	// next report corrects the accounting.
	noCapacityBackoff = 500 * time.Millisecond
)

// assume reserves capacity for a new run of a task. The start is sent once the placement is on
// record.
func (e *Engine) assume(task *task, node *node, number int) {
	run := &run{task: task, number: number, node: node, phase: phasePlanned}
	task.run = run
	task.lastRun = number
	node.addRun(run)
	e.pendingRuns = append(e.pendingRuns, run)
	e.markDirty(task.step.job)
}

// dropUnfit ends a run whose placement is on record if its worker may not take it any more, and with it
// the other members of its gang, of which nothing was sent yet.
func (e *Engine) dropUnfit(run *run, now time.Time) {
	if run.phase != phasePlanned || run.task.run != run {
		return
	}
	switch {
	case !e.stillFits(run.node, now):
		e.endRun(run, "does not fit any more", now)
	case run.node.entry.Leaving:
		e.endRun(run, "worker leaving", now)
	case !e.evacuationsFresh(now):
		e.endRun(run, "evacuated zones not known", now)
	}
}

// dispatch orders the start of a run whose placement is on record.
func (e *Engine) dispatch(run *run, now time.Time) {
	if run.phase != phasePlanned || run.task.run != run {
		return
	}
	run.phase = phaseOrdered
	run.orderedAt = now
	run.awaitsAnswer = true
	run.resumed = run.task.checkpoint != ""
	run.percentAt = now
	e.plan.Starts = append(e.plan.Starts, Start{
		Task:       run.task.key,
		Run:        run.number,
		Worker:     run.node.entry.ID,
		Spec:       run.task.step.job.submission.Spec,
		Checkpoint: run.task.checkpoint,
		Ticket:     run.task.step.ticketFor(run.node.entry.ID),
		Priority:   e.startPriority(run.task.step.job),
	})
}

// StartAnswered handles a worker's answer to a start.
func (e *Engine) StartAnswered(worker string, key jobs.TaskKey, number int, result StartResult, now time.Time) {
	n := e.nodes[worker]
	if n == nil {
		return
	}
	run := n.findRun(key, number)
	copied := run != nil && run.startOrigin == OriginOwnCopy
	if run == nil || run.startOrigin != OriginOwn && !copied {
		e.recordLeaseOrder(n, now)
	}
	if result == StartUnknown || copied {
		e.expectCopies(n, key, number, now)
	}
	if run == nil {
		return
	}
	run.awaitsAnswer = false
	switch result {
	case StartAccepted:
		e.startAccepted(run, now)
	case StartUnknown:
		if run.phase == phaseOrdered {
			e.stopRunOrGang(run, "start not answered", now)
			run.node.health.markSilent(now)
		}
	default:
		e.startRefused(run, result, now)
	}
}

// startAccepted marks an ordered run as running.
func (e *Engine) startAccepted(run *run, now time.Time) {
	if run.phase != phaseOrdered && run.phase != phaseUncertain {
		return
	}
	run.phase = phaseRunning
	run.startedAt = now
	run.percentAt = now
	e.markRunning(run.task.step.job)
	run.task.ampleCapacitySince = time.Time{}
	if !run.task.step.spec.LongRunning {
		run.task.startBackoff = startBackoff{}
	}
}

// markRunning gives a job that waited the state running. A placement does not: its start may never be
// answered, and until a task has started the job counts as waiting.
func (e *Engine) markRunning(job *job) {
	if job.state != jobs.StateQueued {
		return
	}
	job.state = jobs.StateRunning
	e.startedJobs = append(e.startedJobs, job)
}

// startRefused ends a run whose start was refused, and applies the reason to its worker or task.
func (e *Engine) startRefused(run *run, result StartResult, now time.Time) {
	if run.seen {
		return // an earlier copy of the order has started it
	}
	switch result {
	case StartEvacuated:
		// The worker's dispatcher has newer, or older, data on evacuations.
		run.node.fullUntil = now.Add(noCapacityBackoff)
	case StartNoTicket:
		run.task.step.dropTicket(run.node.entry.ID)
	case StartNoCapacity:
		run.node.fullUntil = now.Add(noCapacityBackoff)
	case StartBusy:
		run.node.health.markBusy(now)
	case StartRefused:
		run.task.startFailed(now)
	}
	e.endRun(run, "start refused", now)
}

func (e *Engine) findRun(worker string, key jobs.TaskKey, number int) *run {
	n := e.nodes[worker]
	if n == nil {
		return nil
	}
	return n.findRun(key, number)
}

// stopRun makes sure that a run ends: one that was not ordered is dropped, any other is stopped
// at its worker.
func (e *Engine) stopRun(run *run, reason string, now time.Time) {
	if run.phase == phasePlanned {
		e.endRun(run, reason, now)
		return
	}
	if !run.stopSentAt.IsZero() {
		return
	}
	run.stopReason = reason
	if run.phase == phaseOrdered {
		run.phase = phaseUncertain
	} else {
		run.phase = phaseStopping
	}
	e.sendStop(run, now)
	job := run.task.step.job
	job.stops.add(run.loss(now))
	e.logEvent("run_stopped", job, run.node.entry.ID, run.task.key.String()+" lost_core_s "+strconv.Itoa(int(run.loss(now)))+" "+reason+" "+job.stops.String())
}

func (e *Engine) sendStop(run *run, now time.Time) {
	if run.stoppedAt.IsZero() {
		run.stoppedAt = now
	}
	run.stopSentAt = now
	e.plan.Stops = append(e.plan.Stops, Stop{Task: run.task.key, Run: run.number, Worker: run.node.entry.ID})
}

// StopAcknowledged records that a worker acknowledged a stop. From then on the run cannot start
// there, and the worker's next report shows whether it had started.
func (e *Engine) StopAcknowledged(worker string, key jobs.TaskKey, number int, now time.Time) {
	n := e.nodes[worker]
	if n == nil {
		return
	}
	n.acknowledgeOpenStop(key, number)
	if run := n.findRun(key, number); run != nil && run.stopDoneAt.IsZero() {
		run.stopDoneAt = now
	}
}

// endRun removes a run that certainly neither runs nor will. Its task may run again, as may its
// whole gang once the runs of all members are over.
func (e *Engine) endRun(run *run, reason string, now time.Time) {
	if run.awaitsAnswer {
		e.expectCopies(run.node, run.task.key, run.number, now)
	}
	run.node.removeRun(run)
	e.recordStopDelay(run, now)
	task := run.task
	if task.run != run {
		return
	}
	task.run = nil
	if !run.startedAt.IsZero() || run.unconfirmed {
		task.lastRunEndedAt = now
	}
	job := task.step.job
	if !job.state.Final() {
		e.markDirty(job)
		if !task.done {
			e.logEvent("run_over", job, run.node.entry.ID, task.key.String()+" "+reason+" "+run.summary(now))
		}
	}
	if task.step.spec.Gang && !task.done {
		e.stopGang(task.step, "gang member over: "+reason, now)
	}
}

// stopGang stops the remaining members of a gang that lost one.
func (e *Engine) stopGang(step *step, reason string, now time.Time) {
	for _, member := range step.tasks {
		if member.run != nil {
			e.stopRun(member.run, reason, now)
		}
	}
}

// retryStops sends unanswered stops again.
func (e *Engine) retryStops(now time.Time) {
	for _, n := range e.nodeOrder {
		e.retryOpenStops(n, now)
		for _, run := range n.runs {
			unanswered := !run.stopSentAt.IsZero() && run.stopDoneAt.IsZero()
			if unanswered && now.Sub(run.stopSentAt) > stopRetryInterval {
				e.sendStop(run, now)
			}
		}
	}
}
