package scheduler

import "sort"

// Parameters of preemption.
const (
	// RestartCost is the assumed cost of stopping a run and starting it again.
	RestartCost = 30 * Second
	// maxPreemptions bounds how often one job is preempted for more urgent ones. Reclaiming a
	// guarantee is not subject to it.
	maxPreemptions = 6
	// maxGangPreemptions is the same bound for preemptForGang.
	maxGangPreemptions = 4
	// urgentTarget is the target up to which a blocked job preempts others without waiting.
	urgentTarget = 15 * Minute
	// preemptSlackDivisor sets when any other blocked job preempts: with a quarter of its
	// allowed time left until its latest start.
	preemptSlackDivisor = 4
	// gangPreemptDivisor sets when smaller runs are stopped for a blocked adjacent gang: after
	// it has been queued for 1/50 of its allowed time.
	gangPreemptDivisor = 50
)

// victimRule decides whether a run may be stopped for a job.
type victimRule func(*run) bool

// preempt stops runs so that a blocked job can start and reserves their workers for it.
func (s *Scheduler) preempt(j *job, now Time) []Action {
	if j.reservation != nil && j.reservation.firm {
		return nil
	}
	if actions := s.reclaim(j, now); actions != nil {
		return actions
	}
	if !s.mayPreempt(j, now) {
		return nil
	}
	rule := func(r *run) bool { return s.isPreemptible(r, j, now) }
	return s.preemptCheapest(j, now, rule)
}

// reclaim stops runs outside any guarantee that use the guaranteed workers of the job's
// workspace.
func (s *Scheduler) reclaim(j *job, now Time) []Action {
	for _, sl := range s.witness.byWorkspace[j.spec.Workspace] {
		rule := func(r *run) bool { return !r.pinned && !r.insideGuarantee() }
		nodes := s.chooseMembers(sl, j, now, func(n *node) bool {
			return n.freeForGuarantee(j)+stoppableAccelerators(n, rule) >= j.spec.Shape.Accelerators
		})
		if nodes == nil {
			continue
		}
		return s.stopVictims(j, nodes, sl, rule, now)
	}
	return nil
}

// stoppableAccelerators returns the accelerators on a node of runs that are stopping or that the
// rule allows to stop.
func stoppableAccelerators(n *node, rule victimRule) int {
	total := 0
	for _, r := range n.runs {
		if r.stopping || rule(r) {
			total += r.accelerators
		}
	}
	return total
}

// mayPreempt reports whether a blocked job may preempt other runs now.
func (s *Scheduler) mayPreempt(j *job, now Time) bool {
	if s.missesTarget(j, now) {
		return false
	}
	allowed := j.spec.Deadline - j.spec.SubmitTime
	return allowed <= urgentTarget || j.latestStart-now <= allowed/preemptSlackDivisor
}

// isPreemptible reports whether a run may be preempted for a more urgent job: it can be
// repeated, it is not inside the guarantee of another workspace, and its own target is missed
// already or can still be met afterwards.
func (s *Scheduler) isPreemptible(r *run, j *job, now Time) bool {
	if r.stopping || r.pinned || (r.insideGuarantee() && r.job.spec.Workspace != j.spec.Workspace) {
		return false
	}
	if now > r.job.spec.Deadline {
		return true
	}
	if r.job.preemptions >= maxPreemptions {
		return false
	}
	remaining := s.estimates.remainingTime(r, now)
	slack := r.job.spec.Deadline - now - remaining - RestartCost
	return slack > s.estimates.estimate(j, planQuantile)+2*RestartCost && r.job.order > j.order
}

// preemptCheapest stops the victims on the workers where they cost least.
func (s *Scheduler) preemptCheapest(j *job, now Time, rule victimRule) []Action {
	shape := j.spec.Shape
	if !shape.Adjacent {
		var costs []nodeCost
		for _, r := range s.cluster.racks {
			costs = append(costs, s.preemptionCosts(r, j, now, rule)...)
		}
		nodes, _ := cheapestNodes(costs, shape.Members)
		return s.stopVictims(j, nodes, nil, rule, now)
	}
	var best []*node
	bestCost := 0
	for _, r := range s.cluster.racks {
		if len(r.nodes) < shape.Members {
			continue
		}
		nodes, cost := cheapestNodes(s.preemptionCosts(r, j, now, rule), shape.Members)
		if nodes != nil && (best == nil || cost < bestCost) {
			best, bestCost = nodes, cost
		}
	}
	return s.stopVictims(j, best, nil, rule, now)
}

// nodeCost is a worker and the cost of stopping the victims there.
type nodeCost struct {
	node *node
	cost int
}

// cheapestNodes returns the wanted number of nodes with the lowest costs and the sum of these, or
// nil if there are too few.
func cheapestNodes(costs []nodeCost, wanted int) ([]*node, int) {
	if len(costs) < wanted {
		return nil, 0
	}
	sort.SliceStable(costs, func(a, b int) bool { return costs[a].cost < costs[b].cost })
	nodes := make([]*node, 0, wanted)
	total := 0
	for _, c := range costs[:wanted] {
		nodes = append(nodes, c.node)
		total += c.cost
	}
	return nodes, total
}

// firmlyReservedForOther reports whether another job has a firm reservation on the node.
func (n *node) firmlyReservedForOther(j *job) bool {
	for _, res := range n.reservations {
		if res.job != j && res.firm {
			return true
		}
	}
	return false
}

// preemptionCosts returns the nodes of a rack on which one member of the job fits after stops
// that the rule allows, with the costs of the stops.
func (s *Scheduler) preemptionCosts(r *rack, j *job, now Time, rule victimRule) []nodeCost {
	var costs []nodeCost
	for _, n := range r.nodes {
		if n.firmlyReservedForOther(j) || !s.eligible(n, j, now) {
			continue
		}
		if j.pinned() && n.spare() < j.spec.Shape.Accelerators && s.ownSlot(n, j) == nil {
			continue
		}
		victims, ok := selectVictims(n, j, rule)
		if ok {
			costs = append(costs, nodeCost{n, totalStopCost(victims)})
		}
	}
	return costs
}

// selectVictims chooses the runs to stop on a node, the cheapest first, until one member of
// the job fits.
func selectVictims(n *node, j *job, rule victimRule) ([]*run, bool) {
	wanted := j.spec.Shape.Accelerators
	free := n.freeForGuarantee(j)
	var candidates []*run
	for _, r := range n.runs {
		if r.stopping {
			free += r.accelerators
		} else if rule(r) {
			candidates = append(candidates, r)
		}
	}
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].stopCost() < candidates[b].stopCost() })
	var victims []*run
	for _, r := range candidates {
		if free >= wanted {
			break
		}
		victims = append(victims, r)
		free += r.accelerators
	}
	return victims, free >= wanted
}

// stopCost weighs a stop by the accelerators it idles and the number of earlier preemptions of
// the job.
func (r *run) stopCost() int {
	return len(r.nodes) * r.accelerators * (1 + r.job.preemptions)
}

func totalStopCost(victims []*run) int {
	total := 0
	for _, r := range victims {
		total += r.stopCost()
	}
	return total
}

// stopVictims stops the victims on the chosen workers and reserves the workers for the job.
func (s *Scheduler) stopVictims(j *job, nodes []*node, sl *slot, rule victimRule, now Time) []Action {
	if nodes == nil {
		return nil
	}
	var actions []Action
	for _, n := range nodes {
		victims, ok := selectVictims(n, j, rule)
		if !ok {
			continue // a gang stopped on an earlier worker freed this one as well
		}
		for _, victim := range victims {
			if victim.stopping {
				continue
			}
			victim.stopping = true
			victim.job.preemptions++
			actions = append(actions, Preempt{Job: victim.job.spec.ID, Run: victim.id, ForJob: j.spec.ID})
		}
	}
	s.reserve(&reservation{job: j, nodes: nodes, slot: sl, start: now, expires: now + firmReservationTimeout, firm: true})
	return actions
}

// preemptForGang stops smaller runs with enough slack for a large adjacent gang, which would
// otherwise wait until a whole rack happens to be free.
func (s *Scheduler) preemptForGang(j *job, now Time) []Action {
	allowed := j.spec.Deadline - j.spec.SubmitTime
	if !j.spec.Shape.Adjacent || j.reservation != nil && j.reservation.firm || now-j.queuedSince < allowed/gangPreemptDivisor {
		return nil
	}
	rule := func(r *run) bool {
		smaller := r.job.spec.Shape.Total() < j.spec.Shape.Total()
		return smaller && r.job.preemptions < maxGangPreemptions && s.isPreemptible(r, j, now)
	}
	return s.preemptCheapest(j, now, rule)
}
