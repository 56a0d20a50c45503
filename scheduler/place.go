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
	shares       []*slot // by node, the guarantee whose accelerators it uses there, or nil
	pinned       bool
	started      Time
	stopping     bool // asked to stop
}

// inside reports whether the run is wholly within a guarantee.
func (r *run) inside() bool {
	for _, share := range r.shares {
		if share == nil {
			return false
		}
	}
	return true
}

// placement is a choice of workers for a job. With a slot it is wholly inside
// that guarantee.
type placement struct {
	nodes []*node
	slot  *slot
}

// ownShare is the workspace's own slot with room for the job's member on a
// node, or nil. Pinned work that does not fit into a guarantee as a whole may
// use its own workspace's promises where it stands on them.
func (s *Scheduler) ownShare(n *node, j *job) *slot {
	for _, candidate := range s.witness.byWorkspace[j.spec.Workspace] {
		if candidate.leaves(n, j.spec.Shape.Accelerators) {
			return candidate
		}
	}
	return nil
}

// admits reports whether a job may use a node now, room aside: the node works
// and the job does not wait for others since it is in doubt.
func (s *Scheduler) admits(n *node, j *job, now Time) bool {
	if !n.usable() || now < n.avoidUntil {
		return false
	}
	switch j.heeds {
	case noDoubt:
		return true
	case newDoubt:
		return now >= n.doubtUntil || !s.doubted(n, j, now)
	}
	return !n.refused && !s.doubted(n, j, now)
}

// fits reports whether a job may be placed outside its guarantee on a node now.
func (s *Scheduler) fits(n *node, j *job, now Time) bool {
	wanted := j.spec.Shape.Accelerators
	if n.free-s.keptFor(n, j, now) < wanted || !s.admits(n, j, now) {
		return false
	}
	return !j.pinned() || n.spare() >= wanted || s.ownShare(n, j) != nil
}

// keptFor is how many accelerators of a node are kept for another job. A job
// that ends before they are needed may use them, and so may one that is ahead of
// the other in order, unless runs were stopped for the other.
func (s *Scheduler) keptFor(n *node, j *job, now Time) int {
	total := 0
	for _, kept := range n.reserved {
		if kept.job != j && s.respects(j, kept, now) {
			total += kept.job.spec.Shape.Accelerators
		}
	}
	return total
}

func (s *Scheduler) respects(j *job, kept *reservation, now Time) bool {
	if kept.firm {
		return true
	}
	ahead := j.order <= kept.job.order
	return !ahead && now+s.estimates.estimate(j, planQuantile) > kept.start
}

// find looks for free workers for a job: those kept for it, its workspace's
// guarantee, or any others.
func (s *Scheduler) find(j *job, now Time) (placement, bool) {
	if found, ok := s.findReserved(j, now); ok {
		return found, true
	}
	if j.reservation != nil && j.reservation.firm {
		return placement{}, false
	}
	insideFirst := !s.smallForGuarantee(j)
	if insideFirst {
		if found, ok := s.findInside(j, now); ok {
			return found, true
		}
	}
	if nodes := s.findOutside(j, now); nodes != nil {
		return placement{nodes: nodes}, true
	}
	if !insideFirst {
		return s.findInside(j, now)
	}
	return placement{}, false
}

// smallForGuarantee reports whether the job would break up a guaranteed shape
// that is much larger than it.
func (s *Scheduler) smallForGuarantee(j *job) bool {
	for _, candidate := range s.witness.byWorkspace[j.spec.Workspace] {
		if 2*j.spec.Shape.Total() > candidate.shape.Total() {
			return false
		}
	}
	return true
}

// findInside looks for room within the workspace's guarantee, moving the
// guarantee to free workers if its own are in use by others.
func (s *Scheduler) findInside(j *job, now Time) (placement, bool) {
	for _, candidate := range s.witness.byWorkspace[j.spec.Workspace] {
		nodes := s.insideMembers(candidate, j, now, func(n *node) bool { return n.freeInside(j) >= j.spec.Shape.Accelerators })
		if nodes != nil {
			return placement{nodes: nodes, slot: candidate}, true
		}
	}
	for _, candidate := range s.witness.byWorkspace[j.spec.Workspace] {
		if candidate.nodes == nil || !candidate.idle() || !holds(candidate.shape, j.spec.Shape) || !s.relocate(candidate, j, now) {
			continue
		}
		nodes := s.insideMembers(candidate, j, now, func(n *node) bool { return n.freeInside(j) >= j.spec.Shape.Accelerators })
		if nodes != nil {
			return placement{nodes: nodes, slot: candidate}, true
		}
	}
	return placement{}, false
}

// freeInside is what is free of a node for work inside a guarantee: all but what
// is being taken back there for other guarantees.
func (n *node) freeInside(j *job) int {
	free := n.free
	for _, kept := range n.reserved {
		if kept.job != j && kept.slot != nil && kept.holds(n) {
			free -= kept.job.spec.Shape.Accelerators
		}
	}
	return free
}

// holds reports whether a shape fits into another.
func holds(outer, inner structs.Shape) bool {
	return outer.Members >= inner.Members && outer.Accelerators >= inner.Accelerators
}

// insideMembers chooses members of a slot whose unused part holds the job, those
// with the least left over first. usable judges each node besides.
func (s *Scheduler) insideMembers(candidate *slot, j *job, now Time, usable func(*node) bool) []*node {
	if candidate.nodes == nil || !holds(candidate.shape, j.spec.Shape) {
		return nil
	}
	wanted := j.spec.Shape.Accelerators
	type choice struct {
		node *node
		left int
	}
	var choices []choice
	for i, n := range candidate.nodes {
		left := candidate.shape.Accelerators - candidate.used[i] - wanted
		if left >= 0 && s.admits(n, j, now) && usable(n) {
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

// relocate moves an idle slot onto free workers: unpromised ones, or those of
// another idle slot of the same shape, which takes this one's in exchange.
func (s *Scheduler) relocate(moving *slot, j *job, now Time) bool {
	free := func(n *node) bool {
		return n.trusted() && n.free-s.keptFor(n, j, now) >= moving.shape.Accelerators && s.admits(n, j, now)
	}
	if nodes := s.freeUnpromised(moving, free); nodes != nil {
		moving.unassign()
		moving.assign(nodes)
		return true
	}
	for _, other := range s.witness.slots {
		if other == moving || other.shape != moving.shape || other.nodes == nil || !other.idle() || !all(other.nodes, free) {
			continue
		}
		other.nodes, moving.nodes = moving.nodes, other.nodes
		return true
	}
	return false
}

func (s *Scheduler) freeUnpromised(moving *slot, free func(*node) bool) []*node {
	for _, r := range s.cluster.racks {
		if r.atLeast(moving.shape.Accelerators) < moving.shape.Members {
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

func all(nodes []*node, test func(*node) bool) bool {
	for _, n := range nodes {
		if !test(n) {
			return false
		}
	}
	return true
}

// findOutside looks for free workers anywhere: in one rack if the shape is
// adjacent, otherwise as near to each other as can be.
func (s *Scheduler) findOutside(j *job, now Time) []*node {
	shape := j.spec.Shape
	if shape.Members == 1 {
		return s.findOne(j, now)
	}
	if nodes := s.findRack(j, now); nodes != nil || shape.Adjacent {
		return nodes
	}
	for _, zone := range s.cluster.zonesByRoom() {
		if nodes := s.gather(j, now, func(r *rack) bool { return r.zone == zone }); nodes != nil {
			return nodes
		}
	}
	return s.gather(j, now, func(*rack) bool { return true })
}

// findOne takes the fullest worker that has room in the fullest rack that has
// one, so that whole workers and whole racks stay whole.
func (s *Scheduler) findOne(j *job, now Time) []*node {
	var best *node
	for _, r := range s.cluster.racks {
		if r.atLeast(j.spec.Shape.Accelerators) == 0 || best != nil && r.free >= best.rack.free {
			continue
		}
		if n := s.fullest(r, j, now); n != nil {
			best = n
		}
	}
	if best == nil {
		return nil
	}
	return []*node{best}
}

// fullest is the worker of a rack with the least room that is still enough.
func (s *Scheduler) fullest(r *rack, j *job, now Time) *node {
	var best *node
	for _, n := range r.nodes {
		if (best == nil || n.free < best.free) && s.fits(n, j, now) {
			best = n
		}
	}
	return best
}

// findRack takes the rack that the shape fills most tightly.
func (s *Scheduler) findRack(j *job, now Time) []*node {
	shape := j.spec.Shape
	var best []*node
	bestLeft, bestFree := 0, 0
	for _, r := range s.cluster.racks {
		left := r.atLeast(shape.Accelerators) - shape.Members
		if left < 0 {
			continue
		}
		if best != nil && (left > bestLeft || (left == bestLeft && r.free >= bestFree)) {
			continue
		}
		if nodes := s.tightest(r, j, now); nodes != nil {
			best, bestLeft, bestFree = nodes, left, r.free
		}
	}
	return best
}

// tightest takes the fullest workers of a rack that have room, or nil if too few have.
func (s *Scheduler) tightest(r *rack, j *job, now Time) []*node {
	able := s.able(r, j, now)
	if len(able) < j.spec.Shape.Members {
		return nil
	}
	sort.SliceStable(able, func(a, b int) bool {
		if able[a].free != able[b].free {
			return able[a].free < able[b].free
		}
		return able[a].promised < able[b].promised
	})
	return able[:j.spec.Shape.Members:j.spec.Shape.Members]
}

func (s *Scheduler) able(r *rack, j *job, now Time) []*node {
	var able []*node
	for _, n := range r.nodes {
		if s.fits(n, j, now) {
			able = append(able, n)
		}
	}
	return able
}

// gather takes members from several racks, those with the most room first, so
// that few racks are used.
func (s *Scheduler) gather(j *job, now Time, within func(*rack) bool) []*node {
	shape := j.spec.Shape
	type option struct {
		rack *rack
		room int
	}
	var options []option
	total := 0
	for _, r := range s.cluster.racks {
		room := r.atLeast(shape.Accelerators)
		if room > 0 && within(r) {
			options = append(options, option{r, room})
			total += room
		}
	}
	if total < shape.Members {
		return nil
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].room > options[b].room })
	var nodes []*node
	for _, o := range options {
		able := s.able(o.rack, j, now)
		nodes = append(nodes, able[:min(len(able), shape.Members-len(nodes))]...)
		if len(nodes) == shape.Members {
			return nodes
		}
	}
	return nil
}
