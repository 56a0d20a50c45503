package scheduler

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/structs"
)

// placeMovingGuarantees places a pinned job by moving idle guarantees away, if all of them fit
// elsewhere.
func (s *Scheduler) placeMovingGuarantees(j *job, now Time) (placement, bool) {
	if !j.pinned() {
		return placement{}, false
	}
	idle := s.witness.idleSlots()
	before := unassignAll(idle)
	if nodes := s.findOutsideGuarantee(j, now); nodes != nil {
		for _, n := range nodes {
			n.pinned += j.spec.Shape.Accelerators
		}
		placed := s.witness.placeSlots(s.cluster, idle) == len(idle)
		for _, n := range nodes {
			n.pinned -= j.spec.Shape.Accelerators
		}
		if placed {
			return placement{nodes: nodes}, true
		}
	}
	restorePlacements(idle, before)
	return placement{}, false
}

// fitsBesideGuarantees reports whether the listed workers, when empty, can hold a pinned job
// together with the guarantees of other workspaces.
func (s *Scheduler) fitsBesideGuarantees(spec JobSpec) bool {
	c := newCluster()
	for _, n := range s.cluster.nodes {
		if !n.up {
			continue
		}
		added := c.ensureNode(n.spec)
		c.update(added, func() { added.up = true })
	}
	var slots []*slot
	for _, sl := range s.witness.slots {
		if sl.workspace != spec.Workspace {
			slots = append(slots, &slot{workspace: sl.workspace, shape: sl.shape})
		}
	}
	if spec.Shape.Adjacent {
		slots = append(slots, &slot{shape: spec.Shape})
		sort.SliceStable(slots, func(i, j int) bool { return largerShape(slots[i].shape, slots[j].shape) })
		return newWitness().placeSlots(c, slots) == len(slots)
	}
	newWitness().placeSlots(c, slots)
	feasible := 0
	for _, n := range c.nodes {
		if n.spare() >= spec.Shape.Accelerators {
			feasible++
		}
	}
	return feasible >= spec.Shape.Members
}

// assignAroundRun assigns an unplaced slot to the workers of a run of its workspace that uses
// no guarantee, plus others of the same rack, and puts the run inside the slot. Otherwise a
// pinned run would take capacity in addition to the guarantee it could use.
func (s *Scheduler) assignAroundRun(unplaced *slot) bool {
	for _, n := range s.cluster.nodes {
		for _, r := range n.runs {
			if r.nodes[0] != n || r.job.spec.Workspace != unplaced.workspace || r.usesAnySlot() || !containsShape(unplaced.shape, r.job.spec.Shape) {
				continue
			}
			if nodes := r.nodesAround(unplaced.shape); nodes != nil {
				unplaced.assign(nodes)
				r.joinSlot(unplaced)
				return true
			}
		}
	}
	return false
}

func (r *run) usesAnySlot() bool {
	for _, sl := range r.slots {
		if sl != nil {
			return true
		}
	}
	return false
}

// nodesAround returns the run's nodes plus others of their rack, enough for a shape, or nil.
func (r *run) nodesAround(shape structs.Shape) []*node {
	own := 0
	if r.pinned {
		own = r.accelerators
	}
	rack := r.nodes[0].rack
	var nodes []*node
	for _, n := range r.nodes {
		if n.rack != rack || !n.trusted() || n.spare()+own < shape.Accelerators {
			return nil
		}
		nodes = append(nodes, n)
	}
	for _, n := range rack.nodes {
		if len(nodes) < shape.Members && n.trusted() && n.spare() >= shape.Accelerators && !runsOn(r, n) {
			nodes = append(nodes, n)
		}
	}
	if len(nodes) < shape.Members {
		return nil
	}
	return nodes
}

func runsOn(r *run, n *node) bool {
	for _, member := range r.nodes {
		if member == n {
			return true
		}
	}
	return false
}
