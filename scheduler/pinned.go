package scheduler

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/structs"
)

// rearrange places a job that may not be stopped by moving idle guarantees out
// of its way, if all of them can be seated elsewhere.
func (s *Scheduler) rearrange(j *job, now Time) (placement, bool) {
	if !j.pinned() {
		return placement{}, false
	}
	idle := s.witness.idleSlots()
	before := lift(idle)
	if nodes := s.findOutside(j, now); nodes != nil {
		for _, n := range nodes {
			n.pinned += j.spec.Shape.Accelerators
		}
		seated := s.witness.seat(s.cluster, idle) == len(idle)
		for _, n := range nodes {
			n.pinned -= j.spec.Shape.Accelerators
		}
		if seated {
			return placement{nodes: nodes}, true
		}
	}
	putBack(idle, before)
	return placement{}, false
}

// fitsBesideGuarantees reports whether the listed workers, when empty, can hold
// a job that may not be stopped together with the guarantees of others.
func (s *Scheduler) fitsBesideGuarantees(spec JobSpec) bool {
	c := newCluster()
	for _, n := range s.cluster.nodes {
		if !n.up {
			continue
		}
		added := c.add(n.spec)
		c.change(added, func() { added.up = true })
	}
	var others []*slot
	for _, known := range s.witness.slots {
		if known.workspace != spec.Workspace {
			others = append(others, &slot{workspace: known.workspace, shape: known.shape})
		}
	}
	if spec.Shape.Adjacent {
		others = append(others, &slot{shape: spec.Shape})
		sort.SliceStable(others, func(i, j int) bool { return largerShape(others[i].shape, others[j].shape) })
		return newWitness().seat(c, others) == len(others)
	}
	newWitness().seat(c, others)
	room := 0
	for _, n := range c.nodes {
		if n.spare() >= spec.Shape.Accelerators {
			room++
		}
	}
	return room >= spec.Shape.Members
}

// cover seats a slot on the workers of a run of its workspace that is not
// inside a guarantee, filled up with others of the rack. Without it a run that
// may not be stopped would take room beside the guarantee that it uses.
func (s *Scheduler) cover(empty *slot) bool {
	for _, n := range s.cluster.nodes {
		for _, r := range n.runs {
			if r.nodes[0] != n || r.job.spec.Workspace != empty.workspace || r.sharesAny() || !holds(empty.shape, r.job.spec.Shape) {
				continue
			}
			if nodes := r.surround(empty.shape); nodes != nil {
				empty.assign(nodes)
				r.join(empty)
				return true
			}
		}
	}
	return false
}

func (r *run) sharesAny() bool {
	for _, share := range r.shares {
		if share != nil {
			return true
		}
	}
	return false
}

// surround returns the run's nodes and others of its rack that can hold a shape.
func (r *run) surround(shape structs.Shape) []*node {
	own := 0
	if r.pinned {
		own = r.accelerators
	}
	home := r.nodes[0].rack
	var nodes []*node
	for _, n := range r.nodes {
		if n.rack != home || !n.trusted() || n.spare()+own < shape.Accelerators {
			return nil
		}
		nodes = append(nodes, n)
	}
	for _, n := range home.nodes {
		if len(nodes) < shape.Members && n.trusted() && n.spare() >= shape.Accelerators && !onNode(r, n) {
			nodes = append(nodes, n)
		}
	}
	if len(nodes) < shape.Members {
		return nil
	}
	return nodes
}

func onNode(r *run, n *node) bool {
	for _, known := range r.nodes {
		if known == n {
			return true
		}
	}
	return false
}
