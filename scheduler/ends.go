package scheduler

import (
	"strconv"

	"github.com/teaselcleat/teaselcleat/structs"
)

func (s *Scheduler) runEnded(e RunEnded, now Time) []Action {
	r := s.runs[e.Run]
	if r == nil {
		return nil
	}
	s.finish(r)
	j := r.job
	if e.Result != RunNotStarted {
		r.wasStarted()
	}
	took := j.progress + now - r.started
	blamed := s.cluster.byID[e.Worker]
	switch e.Result {
	case RunFinished:
		s.estimates.learn(j, took)
		s.forget(j)
		return s.clearBlame(r.nodes)
	case RunAborted:
		s.forget(j)
		return nil
	case RunPreempted:
		j.progress = took
		j.resume = true
	case RunFailed:
		return s.runFailed(r, blamed, now)
	case RunNotStarted:
		s.requeueNotStarted(j, blamed, now)
		return nil
	case RunLost:
		return s.runLost(r, now)
	}
	return s.requeue(j, e.Result == RunPreempted, now)
}

// wasStarted notes that all workers of a run took its start.
func (r *run) wasStarted() {
	for _, n := range r.nodes {
		n.refused = false
	}
}

// avoidAfterRefusal is how long a worker that refused a run is left alone.
const avoidAfterRefusal = 2 * Second

func (s *Scheduler) requeueNotStarted(j *job, refused *node, now Time) {
	j.runs--
	if refused != nil {
		refused.avoidUntil = now + avoidAfterRefusal
		refused.refused = true
	}
	s.enqueue(j, now)
}

// requeue queues a job again if it may be repeated. A run that was stopped
// without a checkpoint starts anew from the last one.
func (s *Scheduler) requeue(j *job, checkpointed bool, now Time) []Action {
	if j.pinned() && !checkpointed {
		s.forget(j)
		return []Action{End{Job: j.spec.ID, Outcome: structs.OutcomeUnknown, Reason: structs.ReasonMemberLost}}
	}
	s.enqueue(j, now)
	return nil
}

func (s *Scheduler) runLost(r *run, now Time) []Action {
	j := r.job
	ends := s.blameLoss(r, now)
	if !ends || j.pinned() {
		return s.requeue(j, false, now)
	}
	s.forget(j)
	return []Action{End{Job: j.spec.ID, Outcome: structs.OutcomeRan, Reason: structs.ReasonJobFails,
		Detail: "lost its workers in " + strconv.Itoa(j.earlyLosses) + " runs"}}
}

func (s *Scheduler) runFailed(r *run, blamed *node, now Time) []Action {
	j := r.job
	actions, ends := s.blameFailure(j, blamed, now)
	if ends || j.pinned() {
		s.forget(j)
		reason := structs.ReasonJobFails
		if !ends {
			reason = structs.ReasonTaskFailed
		}
		return append(actions, End{Job: j.spec.ID, Outcome: structs.OutcomeRan, Reason: reason,
			Detail: "failed on " + strconv.Itoa(len(j.blamed)) + " workers"})
	}
	s.enqueue(j, now)
	return actions
}
