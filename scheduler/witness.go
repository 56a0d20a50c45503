package scheduler

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// slot is one guaranteed shape and the workers that stay reclaimable for it. A run is inside
// the slot on a worker if it uses the slot's accelerators there, see run.slots, and outside
// otherwise.
type slot struct {
	workspace string
	shape     structs.Shape
	nodes     []*node // one per member; nil while the trusted workers cannot hold the shape
	used      []int   // accelerators in use by runs inside the slot, by member
	unfit     bool    // reported as unfit by the last GuaranteeUnfit action for it
}

// idle reports whether no run is inside the slot.
func (s *slot) idle() bool {
	for _, used := range s.used {
		if used > 0 {
			return false
		}
	}
	return true
}

// needsRepair reports whether the slot has no workers, or one that is not trusted.
func (s *slot) needsRepair() bool {
	if s.nodes == nil {
		return true
	}
	for _, n := range s.nodes {
		if !n.trusted() {
			return true
		}
	}
	return false
}

// memberIndex returns the position of a node among the members of the slot, or -1.
func (s *slot) memberIndex(n *node) int {
	for i, member := range s.nodes {
		if member == n {
			return i
		}
	}
	return -1
}

// witness is a placement of all guaranteed shapes at once, which proves that the guarantees
// can be met together. On each worker, the guaranteed accelerators and those of pinned runs
// outside the slots fit together, so every shape can be reclaimed by stopping runs that can be
// repeated. A run is pinned if its job may not be repeated, see job.pinned.
type witness struct {
	slots       []*slot
	byWorkspace map[string][]*slot
}

func newWitness() *witness { return &witness{byWorkspace: map[string][]*slot{}} }

func (s *slot) assign(nodes []*node) {
	s.nodes = nodes
	s.used = make([]int, len(nodes))
	for _, n := range nodes {
		n.guaranteed += s.shape.Accelerators
	}
}

func (s *slot) unassign() {
	for _, n := range s.nodes {
		n.guaranteed -= s.shape.Accelerators
	}
	s.nodes = nil
	s.used = nil
}

// setTargets replaces the guarantees. Slots of guarantees that remain are kept; release is
// called for the others.
func (w *witness) setTargets(t *targets.Targets, release func(*slot)) {
	var slots []*slot
	old := w.slots
	for _, name := range t.WorkspaceNames() {
		for _, shape := range t.Workspaces[name].Guarantee {
			sl := takeSlot(&old, name, shape)
			if sl == nil {
				sl = &slot{workspace: name, shape: shape}
			}
			slots = append(slots, sl)
		}
	}
	for _, sl := range old {
		release(sl)
	}
	w.slots = slots
	sort.SliceStable(w.slots, func(i, j int) bool { return largerShape(w.slots[i].shape, w.slots[j].shape) })
	w.byWorkspace = map[string][]*slot{}
	for _, s := range w.slots {
		w.byWorkspace[s.workspace] = append(w.byWorkspace[s.workspace], s)
	}
}

// takeSlot removes a slot of a workspace and shape from a list and returns it, or nil.
func takeSlot(slots *[]*slot, workspace string, shape structs.Shape) *slot {
	for i, sl := range *slots {
		if sl.workspace == workspace && sl.shape == shape {
			*slots = append((*slots)[:i], (*slots)[i+1:]...)
			return sl
		}
	}
	return nil
}

// largerShape orders shapes for placing them one by one: most accelerators per member first,
// then most members.
func largerShape(a, b structs.Shape) bool {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators > b.Accelerators
	}
	return a.Members > b.Members
}

// findNodes finds workers in one rack for a guaranteed shape. It prefers the rack that the
// shape fills most tightly and the workers with the fewest spare accelerators.
func (c *cluster) findNodes(shape structs.Shape) []*node {
	var best []*node
	bestLeft := 0
	for _, r := range c.racks {
		nodes, left := r.findNodes(shape)
		if nodes != nil && (best == nil || left < bestLeft) {
			best = nodes
			bestLeft = left
		}
	}
	return best
}

// findNodes returns workers of the rack for a guaranteed shape, or nil. left is the number of
// spare accelerators on the feasible workers beyond the shape.
func (r *rack) findNodes(shape structs.Shape) (nodes []*node, left int) {
	var feasible []*node
	for _, n := range r.nodes {
		if n.trusted() && n.spare() >= shape.Accelerators {
			feasible = append(feasible, n)
			left += n.spare()
		}
	}
	if len(feasible) < shape.Members {
		return nil, 0
	}
	sort.SliceStable(feasible, func(i, j int) bool { return feasible[i].spare() < feasible[j].spare() })
	return feasible[:shape.Members:shape.Members], left - shape.Total()
}

// repair assigns workers to every slot that needs it, if the trusted workers allow it. detach
// turns the runs inside a slot that is about to move to other workers into runs outside it.
// assignAroundRun tries to assign a slot to the workers of a run of its workspace,
// so that the run is inside the slot.
func (w *witness) repair(c *cluster, detach func(*slot), assignAroundRun func(*slot) bool) {
	var unplaced []*slot
	for _, s := range w.slots {
		if s.needsRepair() && !w.repairSlot(c, s, detach, assignAroundRun) {
			unplaced = append(unplaced, s)
		}
	}
	if len(unplaced) > 0 {
		w.repack(c, w.idleSlots())
	}
	if w.countUnplaced() > 0 {
		w.repack(c, w.movableSlots())
	}
}

// countUnplaced is the number of slots without workers.
func (w *witness) countUnplaced() int {
	count := 0
	for _, s := range w.slots {
		if s.nodes == nil {
			count++
		}
	}
	return count
}

// idleSlots are the slots without runs inside them.
func (w *witness) idleSlots() []*slot {
	var idle []*slot
	for _, s := range w.slots {
		if s.nodes == nil || s.idle() {
			idle = append(idle, s)
		}
	}
	return idle
}

// movableSlots are the slots without pinned runs inside them. When such a slot moves, the runs
// inside it stay on their workers and are outside the guarantee from then on. They may be
// stopped there, and the guarantee can be reclaimed for them elsewhere.
func (w *witness) movableSlots() []*slot {
	var movable []*slot
	for _, s := range w.slots {
		if !s.hasPinnedRuns() {
			movable = append(movable, s)
		}
	}
	return movable
}

func (s *slot) hasPinnedRuns() bool {
	for _, n := range s.nodes {
		for _, r := range n.runs {
			if r.pinned && r.usesSlot(s) {
				return true
			}
		}
	}
	return false
}

func (r *run) usesSlot(s *slot) bool {
	for _, sl := range r.slots {
		if sl == s {
			return true
		}
	}
	return false
}

// repairSlot replaces untrusted members within the rack, or else moves the whole slot. It reports
// whether the slot has trusted workers afterwards.
func (w *witness) repairSlot(c *cluster, s *slot, detach func(*slot), assignAroundRun func(*slot) bool) bool {
	if s.nodes != nil && s.replaceUntrustedMembers() {
		return true
	}
	detach(s)
	s.unassign()
	if assignAroundRun(s) {
		return true
	}
	nodes := c.findNodes(s.shape)
	if nodes == nil {
		return false
	}
	s.assign(nodes)
	return true
}

// replaceUntrustedMembers replaces each member that is not trusted by another worker of the
// rack. It stops and reports false at the first one that has a run inside the slot or for which
// no worker has enough spare accelerators; members before it may have been replaced then.
func (s *slot) replaceUntrustedMembers() bool {
	r := s.nodes[0].rack
	for i, n := range s.nodes {
		if n.trusted() {
			continue
		}
		if s.used[i] > 0 {
			return false
		}
		substitute := s.findSubstitute(r)
		if substitute == nil {
			return false
		}
		n.guaranteed -= s.shape.Accelerators
		substitute.guaranteed += s.shape.Accelerators
		s.nodes[i] = substitute
	}
	return true
}

func (s *slot) findSubstitute(r *rack) *node {
	for _, n := range r.nodes {
		if n.trusted() && s.memberIndex(n) < 0 && n.spare() >= s.shape.Accelerators {
			return n
		}
	}
	return nil
}

// slotPlacement is the placement of a slot before it was moved.
type slotPlacement struct {
	nodes []*node
	used  []int
}

// repack places the given slots anew, the largest first. If that does not place more slots
// than before, it restores the old placements.
func (w *witness) repack(c *cluster, slots []*slot) {
	before := unassignAll(slots)
	placedBefore := 0
	for _, old := range before {
		if old.nodes != nil {
			placedBefore++
		}
	}
	sort.SliceStable(slots, func(i, j int) bool { return largerShape(slots[i].shape, slots[j].shape) })
	if w.placeSlots(c, slots) <= placedBefore {
		restorePlacements(slots, before)
		return
	}
	for _, s := range slots {
		s.detachRuns(before[s])
	}
}

// unassignAll takes the slots off their workers and returns their placements. Runs inside them
// stay.
func unassignAll(slots []*slot) map[*slot]slotPlacement {
	before := map[*slot]slotPlacement{}
	for _, s := range slots {
		before[s] = slotPlacement{s.nodes, s.used}
		s.unassign()
	}
	return before
}

// restorePlacements restores the placements that unassignAll returned.
func restorePlacements(slots []*slot, before map[*slot]slotPlacement) {
	for _, s := range slots {
		s.unassign()
		if before[s].nodes != nil {
			s.assign(before[s].nodes)
			s.used = before[s].used
		}
	}
}

// detachRuns turns the runs inside a slot's old placement into runs outside it.
func (s *slot) detachRuns(old slotPlacement) {
	for _, n := range old.nodes {
		for _, r := range n.runs {
			for i, sl := range r.slots {
				if sl == s {
					r.slots[i] = nil
				}
			}
		}
	}
}

// placeSlots assigns workers to the given slots, by the exact search or else greedily, and returns
// the number of placed slots.
func (w *witness) placeSlots(c *cluster, slots []*slot) int {
	if searchLayout(c, slots, &layoutBudget{steps: maxLayoutSteps}) {
		return len(slots)
	}
	placed := 0
	for _, s := range slots {
		if nodes := c.findNodes(s.shape); nodes != nil {
			s.assign(nodes)
			placed++
		}
	}
	return placed
}

// UnfitGuarantee is a guaranteed shape that does not fit beside the other guarantees.
type UnfitGuarantee struct {
	Workspace string
	Shape     structs.Shape
}

// CheckGuarantees returns the guaranteed shapes that the empty workers cannot hold all at
// once. An empty result means that all fit.
func CheckGuarantees(workers []WorkerSpec, t *targets.Targets) []UnfitGuarantee {
	c := newCluster()
	for _, spec := range workers {
		n := c.ensureNode(spec)
		c.update(n, func() { n.up = true })
	}
	w := newWitness()
	w.setTargets(t, func(*slot) {})
	w.placeSlots(c, w.slots)
	var unfit []UnfitGuarantee
	for _, s := range w.slots {
		if s.nodes == nil {
			unfit = append(unfit, UnfitGuarantee{Workspace: s.workspace, Shape: s.shape})
		}
	}
	return unfit
}
