package scheduler

import (
	"strconv"

	"github.com/teaselcleat/teaselcleat/structs"
)

func (s *Scheduler) handleRunEnded(e RunEnded, now Time) []Action {
	r := s.runs[e.Run]
	if r == nil {
		return nil
	}
	s.releaseRun(r)
	j := r.job
	if e.Result != RunNotStarted {
		r.recordStarted()
	}
	runTime := j.progress + now - r.started
	failedNode := s.cluster.byID[e.Worker]
	switch e.Result {
	case RunFinished:
		s.estimates.record(j, runTime)
		s.removeJob(j)
		return s.recordSuccess(r.nodes)
	case RunAborted:
		s.removeJob(j)
		return nil
	case RunPreempted:
		j.progress = runTime
		j.resume = true
	case RunFailed:
		return s.handleRunFailed(r, failedNode, now)
	case RunNotStarted:
		s.requeueNotStarted(j, failedNode, now)
		return nil
	case RunLost:
		return s.handleRunLost(r, now)
	}
	return s.requeue(j, e.Result == RunPreempted, now)
}

// recordStarted records that all workers of a run started it.
func (r *run) recordStarted() {
	for _, n := range r.nodes {
		n.refusedStart = false
	}
}

// refusalBackoff is how long a worker gets no run after it refused one.
const refusalBackoff = 2 * Second

// requeueNotStarted enqueues a job whose run did not start, and backs off from the worker that
// refused it.
func (s *Scheduler) requeueNotStarted(j *job, n *node, now Time) {
	j.runCount--
	if n != nil {
		n.backoffUntil = now + refusalBackoff
		n.refusedStart = true
	}
	s.enqueue(j, now)
}

// requeue enqueues a job again if it may be repeated. A run that was stopped without a
// checkpoint restarts from the job's last checkpoint.
func (s *Scheduler) requeue(j *job, checkpointed bool, now Time) []Action {
	if j.pinned() && !checkpointed {
		s.removeJob(j)
		return []Action{End{Job: j.spec.ID, Outcome: structs.OutcomeUnknown, Reason: structs.ReasonMemberLost}}
	}
	s.enqueue(j, now)
	return nil
}

// handleRunLost records a lost run, and ends its job after too many early losses.
func (s *Scheduler) handleRunLost(r *run, now Time) []Action {
	j := r.job
	jobEnds := s.recordLoss(r, now)
	if !jobEnds || j.pinned() {
		return s.requeue(j, false, now)
	}
	s.removeJob(j)
	return []Action{End{Job: j.spec.ID, Outcome: structs.OutcomeRan, Reason: structs.ReasonJobFailsEverywhere,
		Detail: "lost its workers in " + strconv.Itoa(j.earlyLosses) + " runs"}}
}

// handleRunFailed records a failed run, and ends its job if the job is at fault or may not be
// repeated.
func (s *Scheduler) handleRunFailed(r *run, failedNode *node, now Time) []Action {
	j := r.job
	actions, jobEnds := s.recordFailure(j, failedNode, now)
	if jobEnds || j.pinned() {
		s.removeJob(j)
		reason := structs.ReasonJobFailsEverywhere
		if !jobEnds {
			reason = structs.ReasonTaskFailed
		}
		return append(actions, End{Job: j.spec.ID, Outcome: structs.OutcomeRan, Reason: reason,
			Detail: "failed on " + strconv.Itoa(len(j.failedNodes)) + " workers"})
	}
	s.enqueue(j, now)
	return actions
}
