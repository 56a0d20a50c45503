package scheduler

import "sort"

// Constants of preemption.
const (
	// RestartCost is what stopping and running again is taken to cost a run.
	RestartCost = 30 * Second
	// maxPreemptions is how often one job gives way to more urgent ones; a
	// reclaimed guarantee is not bound by it.
	maxPreemptions = 6
	// maxMadeWay is the same for large gangs that need not be prompt.
	maxMadeWay = 4
	// promptTarget is the target below which a blocked job does not wait before
	// others give way.
	promptTarget = 15 * Minute
	// waitShare is the part of its time that any other blocked job has left
	// when others give way.
	waitShare = 4 // a quarter
	// makeWayShare is the part of its time after which smaller runs are stopped
	// for a blocked adjacent gang.
	makeWayShare = 50
)

// victimRule decides whether a run may be stopped for a job.
type victimRule func(*run) bool

// makeRoom looks for runs to stop so that a blocked job can start, and keeps
// their workers for it. It returns the stops to carry out.
func (s *Scheduler) makeRoom(j *job, now Time) []Action {
	if j.reservation != nil && j.reservation.firm {
		return nil
	}
	if actions := s.reclaim(j, now); actions != nil {
		return actions
	}
	if !s.pressing(j, now) {
		return nil
	}
	rule := func(r *run) bool { return s.yields(r, j, now) }
	return s.clear(j, now, rule)
}

// reclaim takes back the workspace's own guarantee from whoever borrows it.
func (s *Scheduler) reclaim(j *job, now Time) []Action {
	for _, candidate := range s.witness.byWorkspace[j.spec.Workspace] {
		rule := func(r *run) bool { return !r.pinned && !r.inside() }
		nodes := s.insideMembers(candidate, j, now, func(n *node) bool {
			return n.freeInside(j)+stoppable(n, rule) >= j.spec.Shape.Accelerators
		})
		if nodes == nil {
			continue
		}
		return s.stopFor(j, nodes, candidate, rule, now)
	}
	return nil
}

func stoppable(n *node, rule victimRule) int {
	total := 0
	for _, r := range n.runs {
		if r.stopping || rule(r) {
			total += r.accelerators
		}
	}
	return total
}

// pressing reports whether a blocked job should make others give way now.
func (s *Scheduler) pressing(j *job, now Time) bool {
	if s.hopeless(j, now) {
		return false
	}
	allowed := j.spec.Deadline - j.spec.Submit
	return allowed <= promptTarget || j.latestStart-now <= allowed/waitShare
}

// yields reports whether a run gives way to a more urgent job: it can be
// repeated, it is not inside another workspace's guarantee, and its own target
// is either out of reach already or can still be met afterwards.
func (s *Scheduler) yields(r *run, j *job, now Time) bool {
	if r.stopping || r.pinned || (r.inside() && r.job.spec.Workspace != j.spec.Workspace) {
		return false
	}
	if now > r.job.spec.Deadline {
		return true
	}
	if r.job.preemptions >= maxPreemptions {
		return false
	}
	remaining := s.estimates.remaining(r, now)
	slack := r.job.spec.Deadline - now - remaining - RestartCost
	return slack > s.estimates.estimate(j, planQuantile)+2*RestartCost && r.job.order > j.order
}

// clear finds the cheapest workers whose runs may be stopped under a rule.
func (s *Scheduler) clear(j *job, now Time, rule victimRule) []Action {
	shape := j.spec.Shape
	if !shape.Adjacent {
		var everywhere []nodeCost
		for _, r := range s.cluster.racks {
			everywhere = append(everywhere, s.clearCosts(r, j, now, rule)...)
		}
		nodes, _ := cheapest(everywhere, shape.Members)
		return s.stopFor(j, nodes, nil, rule, now)
	}
	var best []*node
	bestCost := 0
	for _, r := range s.cluster.racks {
		if len(r.nodes) < shape.Members {
			continue
		}
		nodes, cost := cheapest(s.clearCosts(r, j, now, rule), shape.Members)
		if nodes != nil && (best == nil || cost < bestCost) {
			best, bestCost = nodes, cost
		}
	}
	return s.stopFor(j, best, nil, rule, now)
}

// nodeCost is a worker and what stopping the runs in the way there costs.
type nodeCost struct {
	node *node
	cost int
}

func cheapest(costs []nodeCost, wanted int) ([]*node, int) {
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

func (n *node) keptForAnother(j *job) bool {
	for _, kept := range n.reserved {
		if kept.job != j && kept.firm {
			return true
		}
	}
	return false
}

func (s *Scheduler) clearCosts(r *rack, j *job, now Time, rule victimRule) []nodeCost {
	var costs []nodeCost
	for _, n := range r.nodes {
		if n.keptForAnother(j) || !s.admits(n, j, now) {
			continue
		}
		if j.pinned() && n.spare() < j.spec.Shape.Accelerators && s.ownShare(n, j) == nil {
			continue
		}
		victims, ok := victimsOn(n, j, rule)
		if ok {
			costs = append(costs, nodeCost{n, stopCost(victims)})
		}
	}
	return costs
}

// victimsOn chooses the runs to stop on a node, the cheapest first, until the
// job's members fit.
func victimsOn(n *node, j *job, rule victimRule) ([]*run, bool) {
	wanted := j.spec.Shape.Accelerators
	free := n.freeInside(j)
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

// stopCost weighs a stop by the accelerators it idles and by how often the job
// gave way before.
func (r *run) stopCost() int {
	return len(r.nodes) * r.accelerators * (1 + r.job.preemptions)
}

func stopCost(victims []*run) int {
	total := 0
	for _, r := range victims {
		total += r.stopCost()
	}
	return total
}

// stopFor stops what is in the way on the chosen workers and keeps them.
func (s *Scheduler) stopFor(j *job, nodes []*node, in *slot, rule victimRule, now Time) []Action {
	if nodes == nil {
		return nil
	}
	var actions []Action
	for _, n := range nodes {
		victims, ok := victimsOn(n, j, rule)
		if !ok {
			continue // a gang stopped on an earlier worker freed this one too
		}
		for _, victim := range victims {
			if victim.stopping {
				continue
			}
			victim.stopping = true
			victim.job.preemptions++
			actions = append(actions, Preempt{Job: victim.job.spec.ID, Run: victim.id, For: j.spec.ID})
		}
	}
	s.reserve(&reservation{job: j, nodes: nodes, slot: in, start: now, expires: now + firmReservation, firm: true})
	return actions
}

// makeWay stops small runs that can wait so that a large adjacent gang need not
// wait until a rack happens to be empty.
func (s *Scheduler) makeWay(j *job, now Time) []Action {
	allowed := j.spec.Deadline - j.spec.Submit
	if !j.spec.Shape.Adjacent || j.reservation != nil && j.reservation.firm || now-j.waitSince < allowed/makeWayShare {
		return nil
	}
	rule := func(r *run) bool {
		smaller := r.job.spec.Shape.Total() < j.spec.Shape.Total()
		return smaller && r.job.preemptions < maxMadeWay && s.yields(r, j, now)
	}
	return s.clear(j, now, rule)
}
