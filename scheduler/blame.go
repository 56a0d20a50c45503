package scheduler

import "slices"

// Constants of blame.
const (
	// quarantineAfter is how many different jobs in a row a worker fails before
	// it is taken out of use.
	quarantineAfter = 3
	// quarantineShare bounds the quarantined workers to one in so many.
	quarantineShare = 10
	// giveUpAfter is on how many different workers a job fails before the fault
	// is taken to be its own.
	giveUpAfter  = 3
	firstProbe   = 2 * Minute
	lastProbe    = 30 * Minute
	probeSlack   = 10 * Minute // what a job must be able to lose to serve as a probe
	probeTimeCap = 30 * Minute
	// doubtMost is how long jobs that doubt a worker wait for others after a failure
	// there. Others may be in use for days.
	doubtMost = 60 * Minute
)

// doubt is which doubts of workers a job heeds while it is tried.
type doubt int

const (
	anyDoubt doubt = iota // and takes no worker that did not start its last run
	newDoubt              // nothing else is free
	noDoubt               // nothing else could hold the job
)

// blameBook is what is held against a worker.
type blameBook struct {
	streak     []*job // different jobs failed since the last success
	refused    bool   // it did not start a run, and has started none since
	probation  bool   // usable for one probing run only
	probeAfter Time   // when a quarantined worker is tried again
	probeWait  Time
	doubtUntil Time // until then jobs that doubt the worker wait for others
}

// doubted reports whether a job had better not use a node: it has failed the job,
// or others while this one has one try only, or is to be tried again by a small one.
func (s *Scheduler) doubted(n *node, j *job, now Time) bool {
	return j.blames(n) || j.pinned() && len(n.streak) > 0 || n.probation && !s.mayProbe(n, j, now)
}

// heeded is which doubts a job heeds that finds no place if it heeds any.
func (s *Scheduler) heeded(j *job, now Time) doubt {
	switch {
	case !slices.ContainsFunc(s.cluster.nodes, func(n *node) bool { return n.refused || s.doubted(n, j, now) }):
		return anyDoubt
	case s.holdsUndoubted(j, now):
		return newDoubt
	}
	return noDoubt
}

// holdsUndoubted reports whether the workers that are not in doubt hold a job when empty.
func (s *Scheduler) holdsUndoubted(j *job, now Time) bool {
	return s.cluster.holdsEmpty(j.spec.Shape, func(n *node) bool { return n.usable() && !s.doubted(n, j, now) })
}

// mayProbe reports whether a job may test a worker that was in quarantine.
func (s *Scheduler) mayProbe(n *node, j *job, now Time) bool {
	return len(n.runs) == 0 && !j.pinned() && j.spec.Shape.Members == 1 && j.latestStart-now > probeSlack &&
		s.estimates.estimate(j, planQuantile) < probeTimeCap
}

// blameFailure notes a failed task and decides whose fault it is. It returns
// true if the job is to end.
func (s *Scheduler) blameFailure(j *job, n *node, now Time) (actions []Action, jobEnds bool) {
	if n == nil {
		j.failures++
		return nil, j.failures >= giveUpAfter
	}
	if n.probation {
		return s.quarantine(n, now), false
	}
	n.doubtUntil = now + doubtMost
	switch {
	case !j.blames(n):
		j.blamed = append(j.blamed, n)
		n.streak = append(n.streak, j)
	case !s.holdsUndoubted(j, now):
		j.failures++ // no other worker can tell whose fault it is
	}
	if len(n.streak) >= quarantineAfter {
		actions = s.quarantine(n, now)
	}
	return actions, len(j.blamed)+j.failures >= giveUpAfter
}

// quarantine takes a worker out, unless too many are out already, and clears
// the jobs it failed of blame.
func (s *Scheduler) quarantine(n *node, now Time) []Action {
	if !n.probation && s.quarantined >= max(1, len(s.cluster.nodes)/quarantineShare) {
		return nil
	}
	n.probeWait = min(max(2*n.probeWait, firstProbe), lastProbe)
	n.probeAfter = now + n.probeWait
	n.doubtUntil = n.probeAfter + doubtMost
	n.probation = false
	for _, j := range n.streak {
		j.unblame(n)
		s.queue.regroup(j)
	}
	n.streak = nil
	s.cluster.change(n, func() { n.quarantined = true })
	s.quarantined++
	s.witnessDirty = true
	return []Action{Quarantine{Worker: n.spec.ID}}
}

func (j *job) unblame(n *node) {
	for i, known := range j.blamed {
		if known == n {
			j.blamed = append(j.blamed[:i], j.blamed[i+1:]...)
			return
		}
	}
}

// clearBlame notes a success on workers. One that was being tried again is back
// in use.
func (s *Scheduler) clearBlame(nodes []*node) []Action {
	var actions []Action
	for _, n := range nodes {
		n.streak = nil
		if !n.probation {
			continue
		}
		n.probation = false
		n.probeWait = 0
		s.witnessDirty = true
		actions = append(actions, Quarantine{Worker: n.spec.ID, Lifted: true})
	}
	return actions
}

// probe lets quarantined workers whose time has come be tried again, by one
// small job at a time.
func (s *Scheduler) probe(now Time) {
	if s.quarantined == 0 {
		return
	}
	for _, n := range s.cluster.nodes {
		if n.quarantined && now >= n.probeAfter {
			s.cluster.change(n, func() { n.quarantined = false })
			n.probation = true
			s.quarantined--
		}
	}
}
