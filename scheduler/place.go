package scheduler

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/structs"
)

// run is one placement of a job.
type run struct {
	id           string
	job          *job
	nodes        []*node
	accelerators int     // on each node
	slots        []*slot // by node, the slot whose accelerators the run uses there, or nil
	pinned       bool
	started      Time
	stopping     bool // a stop was requested
}

// insideGuarantee reports whether the run is wholly within a guarantee.
func (r *run) insideGuarantee() bool {
	for _, sl := range r.slots {
		if sl == nil {
			return false
		}
	}
	return true
}

// placement is the workers chosen for a job. With a slot, it is wholly inside that guarantee.
type placement struct {
	nodes []*node
	slot  *slot
}

// ownSlot is the slot of the job's workspace that has capacity for one member on a node, or
// nil. A pinned job that does not fit inside one guarantee may use its workspace's guaranteed
// accelerators on the nodes where it runs.
func (s *Scheduler) ownSlot(n *node, j *job) *slot {
	for _, sl := range s.witness.byWorkspace[j.spec.Workspace] {
		if sl.hasFree(n, j.spec.Shape.Accelerators) {
			return sl
		}
	}
	return nil
}

// eligible reports whether a job may use a node now, apart from capacity: the node is usable,
// not in backoff, and not avoided by the job as suspect.
func (s *Scheduler) eligible(n *node, j *job, now Time) bool {
	if !n.usable() || now < n.backoffUntil {
		return false
	}
	switch j.avoidance {
	case avoidNone:
		return true
	case avoidRecentSuspects:
		return now >= n.suspectUntil || !s.isSuspect(n, j, now)
	}
	return !n.refusedStart && !s.isSuspect(n, j, now)
}

// fits reports whether a job may be placed on a node outside its guarantee now.
func (s *Scheduler) fits(n *node, j *job, now Time) bool {
	wanted := j.spec.Shape.Accelerators
	if n.free-s.reservedForOthers(n, j, now) < wanted || !s.eligible(n, j, now) {
		return false
	}
	return !j.pinned() || n.spare() >= wanted || s.ownSlot(n, j) != nil
}

// reservedForOthers is the number of accelerators of a node that are reserved for other jobs.
// Soft reservations do not count for a job that ends before their start or precedes their job
// in the queue order.
func (s *Scheduler) reservedForOthers(n *node, j *job, now Time) int {
	total := 0
	for _, res := range n.reservations {
		if res.job != j && s.honorsReservation(j, res, now) {
			total += res.job.spec.Shape.Accelerators
		}
	}
	return total
}

// honorsReservation reports whether a job must leave the accelerators of another job's
// reservation alone.
func (s *Scheduler) honorsReservation(j *job, res *reservation, now Time) bool {
	if res.firm {
		return true
	}
	precedes := j.order <= res.job.order
	return !precedes && now+s.estimates.estimate(j, planQuantile) > res.start
}

// findPlacement finds free workers: those reserved for the job, its workspace's guarantee,
// or any others.
func (s *Scheduler) findPlacement(j *job, now Time) (placement, bool) {
	if found, ok := s.findReserved(j, now); ok {
		return found, true
	}
	if j.reservation != nil && j.reservation.firm {
		return placement{}, false
	}
	insideFirst := !s.smallForGuarantee(j)
	if insideFirst {
		if found, ok := s.findInGuarantee(j, now); ok {
			return found, true
		}
	}
	if nodes := s.findOutsideGuarantee(j, now); nodes != nil {
		return placement{nodes: nodes}, true
	}
	if !insideFirst {
		return s.findInGuarantee(j, now)
	}
	return placement{}, false
}

// smallForGuarantee reports whether the job is less than half as large as each guaranteed
// shape of its workspace. Such jobs try other workers first, so as not to break up a
// guarantee.
func (s *Scheduler) smallForGuarantee(j *job) bool {
	for _, sl := range s.witness.byWorkspace[j.spec.Workspace] {
		if 2*j.spec.Shape.Total() > sl.shape.Total() {
			return false
		}
	}
	return true
}

// findInGuarantee finds capacity within the workspace's guarantee. An idle guarantee whose
// workers are used by other runs is moved to free workers.
func (s *Scheduler) findInGuarantee(j *job, now Time) (placement, bool) {
	for _, sl := range s.witness.byWorkspace[j.spec.Workspace] {
		nodes := s.chooseMembers(sl, j, now, func(n *node) bool { return n.freeForGuarantee(j) >= j.spec.Shape.Accelerators })
		if nodes != nil {
			return placement{nodes: nodes, slot: sl}, true
		}
	}
	for _, sl := range s.witness.byWorkspace[j.spec.Workspace] {
		if sl.nodes == nil || !sl.idle() || !containsShape(sl.shape, j.spec.Shape) || !s.relocate(sl, j, now) {
			continue
		}
		nodes := s.chooseMembers(sl, j, now, func(n *node) bool { return n.freeForGuarantee(j) >= j.spec.Shape.Accelerators })
		if nodes != nil {
			return placement{nodes: nodes, slot: sl}, true
		}
	}
	return placement{}, false
}

// freeForGuarantee is the number of accelerators of a node that are free for runs inside a
// guarantee: all but those being reclaimed for other guarantees.
func (n *node) freeForGuarantee(j *job) int {
	free := n.free
	for _, res := range n.reservations {
		if res.job != j && res.slot != nil && res.usableOn(n) {
			free -= res.job.spec.Shape.Accelerators
		}
	}
	return free
}

// containsShape reports whether inner fits into outer.
func containsShape(outer, inner structs.Shape) bool {
	return outer.Members >= inner.Members && outer.Accelerators >= inner.Accelerators
}

// chooseMembers chooses members of a slot whose unused part holds the job, those with the
// least left over first. It considers only feasible nodes.
func (s *Scheduler) chooseMembers(sl *slot, j *job, now Time, feasible func(*node) bool) []*node {
	if sl.nodes == nil || !containsShape(sl.shape, j.spec.Shape) {
		return nil
	}
	wanted := j.spec.Shape.Accelerators
	type choice struct {
		node *node
		left int
	}
	var choices []choice
	for i, n := range sl.nodes {
		left := sl.shape.Accelerators - sl.used[i] - wanted
		if left >= 0 && s.eligible(n, j, now) && feasible(n) {
			choices = append(choices, choice{n, left})
		}
	}
	if len(choices) < j.spec.Shape.Members {
		return nil
	}
	sort.SliceStable(choices, func(a, b int) bool { return choices[a].left < choices[b].left })
	nodes := make([]*node, 0, j.spec.Shape.Members)
	for _, c := range choices[:j.spec.Shape.Members] {
		nodes = append(nodes, c.node)
	}
	return nodes
}

// relocate moves an idle slot to free workers: workers with enough spare accelerators, or
// those of another idle slot of the same shape in exchange.
func (s *Scheduler) relocate(moving *slot, j *job, now Time) bool {
	free := func(n *node) bool {
		return n.trusted() && n.free-s.reservedForOthers(n, j, now) >= moving.shape.Accelerators && s.eligible(n, j, now)
	}
	if nodes := s.findUnguaranteed(moving, free); nodes != nil {
		moving.unassign()
		moving.assign(nodes)
		return true
	}
	for _, candidate := range s.witness.slots {
		if candidate == moving || candidate.shape != moving.shape || candidate.nodes == nil || !candidate.idle() || !allNodes(candidate.nodes, free) {
			continue
		}
		candidate.nodes, moving.nodes = moving.nodes, candidate.nodes
		return true
	}
	return false
}

// findUnguaranteed finds free workers in one rack whose spare accelerators hold a moving slot.
func (s *Scheduler) findUnguaranteed(moving *slot, free func(*node) bool) []*node {
	for _, r := range s.cluster.racks {
		if r.nodesWithFree(moving.shape.Accelerators) < moving.shape.Members {
			continue
		}
		var nodes []*node
		for _, n := range r.nodes {
			if len(nodes) < moving.shape.Members && free(n) && n.spare() >= moving.shape.Accelerators {
				nodes = append(nodes, n)
			}
		}
		if len(nodes) == moving.shape.Members {
			return nodes
		}
	}
	return nil
}

func allNodes(nodes []*node, pred func(*node) bool) bool {
	for _, n := range nodes {
		if !pred(n) {
			return false
		}
	}
	return true
}

// findOutsideGuarantee finds free workers anywhere: in one rack if the shape is adjacent,
// otherwise in one rack, one availability zone or the whole fleet, in this order.
func (s *Scheduler) findOutsideGuarantee(j *job, now Time) []*node {
	shape := j.spec.Shape
	if shape.Members == 1 {
		return s.findSingle(j, now)
	}
	if nodes := s.findInRack(j, now); nodes != nil || shape.Adjacent {
		return nodes
	}
	for _, zone := range s.cluster.zonesByFree() {
		if nodes := s.gatherNodes(j, now, func(r *rack) bool { return r.zone == zone }); nodes != nil {
			return nodes
		}
	}
	return s.gatherNodes(j, now, func(*rack) bool { return true })
}

// findSingle takes the fullest feasible worker of the fullest rack that has one, so that empty
// workers and racks stay free for gangs.
func (s *Scheduler) findSingle(j *job, now Time) []*node {
	var best *node
	for _, r := range s.cluster.racks {
		if r.nodesWithFree(j.spec.Shape.Accelerators) == 0 || best != nil && r.free >= best.rack.free {
			continue
		}
		if n := s.fullestNode(r, j, now); n != nil {
			best = n
		}
	}
	if best == nil {
		return nil
	}
	return []*node{best}
}

// fullestNode is the feasible worker of a rack with the fewest free accelerators.
func (s *Scheduler) fullestNode(r *rack, j *job, now Time) *node {
	var best *node
	for _, n := range r.nodes {
		if (best == nil || n.free < best.free) && s.fits(n, j, now) {
			best = n
		}
	}
	return best
}

// findInRack chooses the rack that the shape fills most tightly.
func (s *Scheduler) findInRack(j *job, now Time) []*node {
	shape := j.spec.Shape
	var best []*node
	bestLeft, bestFree := 0, 0
	for _, r := range s.cluster.racks {
		left := r.nodesWithFree(shape.Accelerators) - shape.Members
		if left < 0 {
			continue
		}
		if best != nil && (left > bestLeft || (left == bestLeft && r.free >= bestFree)) {
			continue
		}
		if nodes := s.tightestNodes(r, j, now); nodes != nil {
			best, bestLeft, bestFree = nodes, left, r.free
		}
	}
	return best
}

// tightestNodes takes the fullest feasible workers of a rack, or nil if there are too few.
func (s *Scheduler) tightestNodes(r *rack, j *job, now Time) []*node {
	feasible := s.feasibleNodes(r, j, now)
	if len(feasible) < j.spec.Shape.Members {
		return nil
	}
	sort.SliceStable(feasible, func(a, b int) bool {
		if feasible[a].free != feasible[b].free {
			return feasible[a].free < feasible[b].free
		}
		return feasible[a].guaranteed < feasible[b].guaranteed
	})
	return feasible[:j.spec.Shape.Members:j.spec.Shape.Members]
}

func (s *Scheduler) feasibleNodes(r *rack, j *job, now Time) []*node {
	var feasible []*node
	for _, n := range r.nodes {
		if s.fits(n, j, now) {
			feasible = append(feasible, n)
		}
	}
	return feasible
}

// gatherNodes takes members from several racks, those with the most feasible workers first, so
// that few racks are used.
func (s *Scheduler) gatherNodes(j *job, now Time, include func(*rack) bool) []*node {
	shape := j.spec.Shape
	type option struct {
		rack  *rack
		count int
	}
	var options []option
	total := 0
	for _, r := range s.cluster.racks {
		count := r.nodesWithFree(shape.Accelerators)
		if count > 0 && include(r) {
			options = append(options, option{r, count})
			total += count
		}
	}
	if total < shape.Members {
		return nil
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].count > options[b].count })
	var nodes []*node
	for _, o := range options {
		feasible := s.feasibleNodes(o.rack, j, now)
		nodes = append(nodes, feasible[:min(len(feasible), shape.Members-len(nodes))]...)
		if len(nodes) == shape.Members {
			return nodes
		}
	}
	return nil
}
