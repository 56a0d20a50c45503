package scheduler

import "slices"

// Limits of failure tracking, quarantine and probation.
const (
	// quarantineFailures is the number of different jobs in a row that fail on a worker before
	// it is quarantined.
	quarantineFailures = 3
	// quarantineDivisor bounds the quarantined workers to one in 10.
	quarantineDivisor = 10
	// maxJobFailures is the number of counted failures at which a job is taken to be at fault
	// itself: one for each different worker that it failed on, and those of job.failures.
	maxJobFailures = 3
	// minProbeBackoff and maxProbeBackoff bound the length of a quarantine. It doubles with each
	// quarantine of a worker until the worker has passed its probation.
	minProbeBackoff = 2 * Minute
	maxProbeBackoff = 30 * Minute
	// minProbeSlack and maxProbeRunTime are the least slack and the longest expected run time of
	// a probe: a job that may run on a worker on probation.
	minProbeSlack   = 10 * Minute
	maxProbeRunTime = 30 * Minute
	// suspectTimeout is how long after a failure on a worker, or after its quarantine, the jobs
	// that suspect it wait for other workers. Those may be in use for days.
	suspectTimeout = 60 * Minute
)

// avoidance selects the suspect workers that a placement attempt of a job avoids.
type avoidance int

const (
	avoidSuspects       avoidance = iota // all suspect workers, and those that refused a start and have started none since
	avoidRecentSuspects                  // suspect workers until their suspectUntil; used if no other worker is free
	avoidNone                            // no worker; used if the job does not fit without suspect workers
)

// failureTracker records the failures of a worker.
type failureTracker struct {
	failedJobs       []*job // different jobs that failed here since the last success
	refusedStart     bool   // it refused to start a run and has started none since
	probation        bool   // back from quarantine, usable by one probe run at a time
	quarantinedUntil Time   // when the quarantine ends and probation begins
	probeBackoff     Time   // length of the last quarantine; 0 after a passed probation
	suspectUntil     Time   // until then, jobs that suspect the worker wait for others
}

// isSuspect reports whether a job should avoid a node: the job failed there, or other jobs did
// and this one is pinned, or the node is on probation and the job is no probe.
func (s *Scheduler) isSuspect(n *node, j *job, now Time) bool {
	return j.failedOn(n) || j.pinned() && len(n.failedJobs) > 0 || n.probation && !s.canProbe(n, j, now)
}

// fallbackAvoidance is the avoidance for a second attempt to place a job after avoidSuspects
// found no placement. If that avoided no worker, it is avoidSuspects again, and a second attempt
// would be in vain.
func (s *Scheduler) fallbackAvoidance(j *job, now Time) avoidance {
	switch {
	case !slices.ContainsFunc(s.cluster.nodes, func(n *node) bool { return n.refusedStart || s.isSuspect(n, j, now) }):
		return avoidSuspects
	case s.fitsWithoutSuspects(j, now):
		return avoidRecentSuspects
	}
	return avoidNone
}

// fitsWithoutSuspects reports whether a job fits the workers it does not suspect when they are
// empty.
func (s *Scheduler) fitsWithoutSuspects(j *job, now Time) bool {
	return s.cluster.fitsWhenEmptyOn(j.spec.Shape, func(n *node) bool { return n.usable() && !s.isSuspect(n, j, now) })
}

// canProbe reports whether a job may run on a worker on probation.
func (s *Scheduler) canProbe(n *node, j *job, now Time) bool {
	return len(n.runs) == 0 && !j.pinned() && j.spec.Shape.Members == 1 && j.latestStart-now > minProbeSlack &&
		s.estimates.estimate(j, planQuantile) < maxProbeRunTime
}

// recordFailure records a failed task and attributes the fault to the worker or the job. It
// returns true if the job ends. n is nil if the worker is not known; the failure then counts
// against the job. A failure on a worker on probation does not: the worker is quarantined again.
func (s *Scheduler) recordFailure(j *job, n *node, now Time) (actions []Action, jobEnds bool) {
	if n == nil {
		j.failures++
		return nil, j.failures >= maxJobFailures
	}
	if n.probation {
		return s.quarantine(n, now), false
	}
	n.suspectUntil = now + suspectTimeout
	switch {
	case !j.failedOn(n):
		j.failedNodes = append(j.failedNodes, n)
		n.failedJobs = append(n.failedJobs, j)
	case !s.fitsWithoutSuspects(j, now):
		j.failures++ // no other worker can show whether the job or the worker is at fault
	}
	if len(n.failedJobs) >= quarantineFailures {
		actions = s.quarantine(n, now)
	}
	return actions, len(j.failedNodes)+j.failures >= maxJobFailures
}

// quarantine takes a worker out of use. Unless the worker is on probation, it does nothing if too
// many are quarantined already. The jobs that failed there no longer count the failure.
func (s *Scheduler) quarantine(n *node, now Time) []Action {
	if !n.probation && s.quarantined >= max(1, len(s.cluster.nodes)/quarantineDivisor) {
		return nil
	}
	n.probeBackoff = min(max(2*n.probeBackoff, minProbeBackoff), maxProbeBackoff)
	n.quarantinedUntil = now + n.probeBackoff
	n.suspectUntil = n.quarantinedUntil + suspectTimeout
	n.probation = false
	for _, j := range n.failedJobs {
		j.forgetFailure(n)
		s.queue.regroup(j)
	}
	n.failedJobs = nil
	s.cluster.update(n, func() { n.quarantined = true })
	s.quarantined++
	s.witnessDirty = true
	return []Action{Quarantine{Worker: n.spec.ID}}
}

func (j *job) forgetFailure(n *node) {
	for i, failed := range j.failedNodes {
		if failed == n {
			j.failedNodes = append(j.failedNodes[:i], j.failedNodes[i+1:]...)
			return
		}
	}
}

// recordSuccess records a finished run on workers and ends their probation. A success also
// starts the count of failed jobs of each worker anew.
func (s *Scheduler) recordSuccess(nodes []*node) []Action {
	var actions []Action
	for _, n := range nodes {
		n.failedJobs = nil
		if !n.probation {
			continue
		}
		n.probation = false
		n.probeBackoff = 0
		s.witnessDirty = true
		actions = append(actions, Quarantine{Worker: n.spec.ID, Lifted: true})
	}
	return actions
}

// endQuarantines puts quarantined workers on probation when their quarantine is over. They take
// one small job at a time, see canProbe.
func (s *Scheduler) endQuarantines(now Time) {
	if s.quarantined == 0 {
		return
	}
	for _, n := range s.cluster.nodes {
		if n.quarantined && now >= n.quarantinedUntil {
			s.cluster.update(n, func() { n.quarantined = false })
			n.probation = true
			s.quarantined--
		}
	}
}
