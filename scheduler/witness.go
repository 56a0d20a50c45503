package scheduler

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// slot is one guaranteed shape and the workers that are kept reclaimable for it.
type slot struct {
	workspace string
	shape     structs.Shape
	nodes     []*node // one for each member; nil while the live workers cannot hold it
	used      []int   // accelerators of inside runs, by member
	unfit     bool    // reported as unfit
}

func (s *slot) idle() bool {
	for _, used := range s.used {
		if used > 0 {
			return false
		}
	}
	return true
}

func (s *slot) broken() bool {
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

func (s *slot) member(n *node) int {
	for i, known := range s.nodes {
		if known == n {
			return i
		}
	}
	return -1
}

// witness is a packing of every guaranteed shape at once. On each worker what
// is promised and what may not be stopped fit together, so every shape can be
// reclaimed by stopping runs that can be repeated.
type witness struct {
	slots       []*slot
	byWorkspace map[string][]*slot
}

func newWitness() *witness { return &witness{byWorkspace: map[string][]*slot{}} }

func (s *slot) assign(nodes []*node) {
	s.nodes = nodes
	s.used = make([]int, len(nodes))
	for _, n := range nodes {
		n.promised += s.shape.Accelerators
	}
}

func (s *slot) unassign() {
	for _, n := range s.nodes {
		n.promised -= s.shape.Accelerators
	}
	s.nodes = nil
	s.used = nil
}

// setTargets replaces the guarantees, keeping the slots that stay as they are.
func (w *witness) setTargets(t *targets.Targets, release func(*slot)) {
	var kept []*slot
	old := w.slots
	for _, name := range t.WorkspaceNames() {
		for _, shape := range t.Workspaces[name].Guarantee {
			found := takeSlot(&old, name, shape)
			if found == nil {
				found = &slot{workspace: name, shape: shape}
			}
			kept = append(kept, found)
		}
	}
	for _, gone := range old {
		release(gone)
	}
	w.slots = kept
	sort.SliceStable(w.slots, func(i, j int) bool { return largerShape(w.slots[i].shape, w.slots[j].shape) })
	w.byWorkspace = map[string][]*slot{}
	for _, s := range w.slots {
		w.byWorkspace[s.workspace] = append(w.byWorkspace[s.workspace], s)
	}
}

func takeSlot(from *[]*slot, workspace string, shape structs.Shape) *slot {
	for i, known := range *from {
		if known.workspace == workspace && known.shape == shape {
			*from = append((*from)[:i], (*from)[i+1:]...)
			return known
		}
	}
	return nil
}

// largerShape orders shapes for packing: the widest members first, then the
// most members.
func largerShape(a, b structs.Shape) bool {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators > b.Accelerators
	}
	return a.Members > b.Members
}

// room finds workers in one rack that can take the promise of a shape. Racks
// that are filled most tightly come first, and within a rack the workers with
// the least spare room.
func (c *cluster) room(shape structs.Shape) []*node {
	var best []*node
	bestLeft := 0
	for _, r := range c.racks {
		nodes, left := r.room(shape)
		if nodes != nil && (best == nil || left < bestLeft) {
			best = nodes
			bestLeft = left
		}
	}
	return best
}

func (r *rack) room(shape structs.Shape) (nodes []*node, left int) {
	var able []*node
	for _, n := range r.nodes {
		if n.trusted() && n.spare() >= shape.Accelerators {
			able = append(able, n)
			left += n.spare()
		}
	}
	if len(able) < shape.Members {
		return nil, 0
	}
	sort.SliceStable(able, func(i, j int) bool { return able[i].spare() < able[j].spare() })
	return able[:shape.Members:shape.Members], left - shape.Total()
}

// repair gives every broken slot workers again where the live ones allow it.
// detach is called for a slot whose inside runs must stay behind; cover lays a
// slot over a run of its workspace, if it can.
func (w *witness) repair(c *cluster, detach func(*slot), cover func(*slot) bool) {
	var missing []*slot
	for _, s := range w.slots {
		if s.broken() && !w.mend(c, s, detach, cover) {
			missing = append(missing, s)
		}
	}
	if len(missing) > 0 {
		w.repack(c, w.idleSlots())
	}
	if w.missing() > 0 {
		w.repack(c, w.movableSlots())
	}
}

// missing is the number of slots that have no workers.
func (w *witness) missing() int {
	count := 0
	for _, s := range w.slots {
		if s.nodes == nil {
			count++
		}
	}
	return count
}

// idleSlots are those without inside runs.
func (w *witness) idleSlots() []*slot {
	var idle []*slot
	for _, s := range w.slots {
		if s.nodes == nil || s.idle() {
			idle = append(idle, s)
		}
	}
	return idle
}

// movableSlots are those whose inside runs can all be stopped. Such a run may be
// left behind as one outside its guarantee, since the guarantee can be reclaimed
// for it elsewhere.
func (w *witness) movableSlots() []*slot {
	var movable []*slot
	for _, s := range w.slots {
		if !s.holdsPinned() {
			movable = append(movable, s)
		}
	}
	return movable
}

func (s *slot) holdsPinned() bool {
	for _, n := range s.nodes {
		for _, r := range n.runs {
			if r.pinned && r.uses(s) {
				return true
			}
		}
	}
	return false
}

func (r *run) uses(s *slot) bool {
	for _, share := range r.shares {
		if share == s {
			return true
		}
	}
	return false
}

// mend first replaces lost members within the rack, then moves the whole slot.
func (w *witness) mend(c *cluster, s *slot, detach func(*slot), cover func(*slot) bool) bool {
	if s.nodes != nil && s.replaceLost() {
		return true
	}
	detach(s)
	s.unassign()
	if cover(s) {
		return true
	}
	nodes := c.room(s.shape)
	if nodes == nil {
		return false
	}
	s.assign(nodes)
	return true
}

func (s *slot) replaceLost() bool {
	r := s.nodes[0].rack
	for i, n := range s.nodes {
		if n.trusted() {
			continue
		}
		if s.used[i] > 0 {
			return false
		}
		substitute := s.substitute(r)
		if substitute == nil {
			return false
		}
		n.promised -= s.shape.Accelerators
		substitute.promised += s.shape.Accelerators
		s.nodes[i] = substitute
	}
	return true
}

func (s *slot) substitute(r *rack) *node {
	for _, n := range r.nodes {
		if n.trusted() && s.member(n) < 0 && n.spare() >= s.shape.Accelerators {
			return n
		}
	}
	return nil
}

// seating is where a slot was before it was moved.
type seating struct {
	nodes []*node
	used  []int
}

// repack lays out the given slots anew, the largest first. If that does not
// seat more slots than before, the old layout is put back.
func (w *witness) repack(c *cluster, slots []*slot) {
	before := lift(slots)
	seatedBefore := 0
	for _, old := range before {
		if old.nodes != nil {
			seatedBefore++
		}
	}
	sort.SliceStable(slots, func(i, j int) bool { return largerShape(slots[i].shape, slots[j].shape) })
	if w.seat(c, slots) <= seatedBefore {
		putBack(slots, before)
		return
	}
	for _, s := range slots {
		s.leaveBehind(before[s])
	}
}

// lift takes slots off their workers, whatever runs inside them.
func lift(slots []*slot) map[*slot]seating {
	before := map[*slot]seating{}
	for _, s := range slots {
		before[s] = seating{s.nodes, s.used}
		s.unassign()
	}
	return before
}

func putBack(slots []*slot, before map[*slot]seating) {
	for _, s := range slots {
		s.unassign()
		if before[s].nodes != nil {
			s.assign(before[s].nodes)
			s.used = before[s].used
		}
	}
}

// leaveBehind turns the runs inside a slot's old place into runs outside it.
func (s *slot) leaveBehind(old seating) {
	for _, n := range old.nodes {
		for _, r := range n.runs {
			for i, share := range r.shares {
				if share == s {
					r.shares[i] = nil
				}
			}
		}
	}
}

func (w *witness) seat(c *cluster, slots []*slot) int {
	if searchLayout(c, slots, &layoutBudget{steps: maxLayoutSteps}) {
		return len(slots)
	}
	seated := 0
	for _, s := range slots {
		if nodes := c.room(s.shape); nodes != nil {
			s.assign(nodes)
			seated++
		}
	}
	return seated
}

// CheckGuarantees reports the guaranteed shapes that the workers cannot all
// hold at once, when nothing runs. An empty result means they fit.
func CheckGuarantees(workers []WorkerSpec, t *targets.Targets) []Unfit {
	c := newCluster()
	for _, spec := range workers {
		n := c.add(spec)
		c.change(n, func() { n.up = true })
	}
	w := newWitness()
	w.setTargets(t, func(*slot) {})
	w.seat(c, w.slots)
	var unfit []Unfit
	for _, s := range w.slots {
		if s.nodes == nil {
			unfit = append(unfit, Unfit{Workspace: s.workspace, Shape: s.shape})
		}
	}
	return unfit
}
