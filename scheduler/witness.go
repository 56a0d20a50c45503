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
		if !n.usable() {
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
func (c *cluster) room(shape structs.Shape, avoid *rack) []*node {
	var best []*node
	bestLeft := 0
	for _, r := range c.racks {
		if r == avoid {
			continue
		}
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
		if n.usable() && n.spare() >= shape.Accelerators {
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
// detach is called for a slot whose inside runs must stay behind.
func (w *witness) repair(c *cluster, detach func(*slot)) {
	var missing []*slot
	for _, s := range w.slots {
		if s.broken() && !w.mend(c, s, detach) {
			missing = append(missing, s)
		}
	}
	if len(missing) > 0 {
		w.repack(c)
	}
}

// mend first replaces lost members within the rack, then moves the whole slot.
func (w *witness) mend(c *cluster, s *slot, detach func(*slot)) bool {
	if s.nodes != nil && s.replaceLost() {
		return true
	}
	detach(s)
	s.unassign()
	nodes := c.room(s.shape, nil)
	if nodes == nil {
		return false
	}
	s.assign(nodes)
	return true
}

func (s *slot) replaceLost() bool {
	r := s.nodes[0].rack
	for i, n := range s.nodes {
		if n.usable() {
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
		if n.usable() && s.member(n) < 0 && n.spare() >= s.shape.Accelerators {
			return n
		}
	}
	return nil
}

// repack lays out all slots without inside runs anew, the largest first. If
// that seats fewer slots than before, the old layout is put back.
func (w *witness) repack(c *cluster) {
	var idle []*slot
	before := map[*slot][]*node{}
	seatedBefore := 0
	for _, s := range w.slots {
		if s.nodes == nil || s.idle() {
			idle = append(idle, s)
			before[s] = s.nodes
			if s.nodes != nil {
				seatedBefore++
			}
			s.unassign()
		}
	}
	if w.seat(c, idle) >= seatedBefore {
		return
	}
	for _, s := range idle {
		s.unassign()
	}
	for _, s := range idle {
		if before[s] != nil {
			s.assign(before[s])
		}
	}
}

func (w *witness) seat(c *cluster, slots []*slot) int {
	if searchLayout(c, slots, &layoutBudget{steps: maxLayoutSteps}) {
		return len(slots)
	}
	seated := 0
	for _, s := range slots {
		if nodes := c.room(s.shape, nil); nodes != nil {
			s.assign(nodes)
			seated++
		}
	}
	return seated
}

// maxLayoutSteps bounds the exact search for a layout; beyond it the greedy
// result stands.
const maxLayoutSteps = 20_000

type layoutBudget struct{ steps int }

// searchLayout seats all slots or none, by depth-first search over racks that
// differ and over the ways to choose members that differ.
func searchLayout(c *cluster, slots []*slot, budget *layoutBudget) bool {
	if len(slots) == 0 {
		return true
	}
	first := slots[0]
	tried := map[string]bool{}
	for _, r := range c.racks {
		signature := r.signature()
		if tried[signature] {
			continue
		}
		tried[signature] = true
		seated := r.choices(first.shape, func(nodes []*node) bool {
			budget.steps--
			if budget.steps < 0 {
				return true
			}
			first.assign(nodes)
			if searchLayout(c, slots[1:], budget) {
				return true
			}
			first.unassign()
			return false
		})
		if budget.steps < 0 {
			return false
		}
		if seated {
			return true
		}
	}
	return false
}

// signature describes a rack's spare room, the same for racks that are alike.
func (r *rack) signature() string {
	var spares []byte
	for _, n := range r.nodes {
		if n.usable() {
			spares = append(spares, byte(n.spare()))
		}
	}
	sort.Slice(spares, func(i, j int) bool { return spares[i] < spares[j] })
	return string(spares)
}

// choices calls try with each essentially different choice of members, the
// tightest first, until it returns true. Workers with equal spare room are alike.
func (r *rack) choices(shape structs.Shape, try func([]*node) bool) bool {
	var able []*node
	for _, n := range r.nodes {
		if n.usable() && n.spare() >= shape.Accelerators {
			able = append(able, n)
		}
	}
	sort.SliceStable(able, func(i, j int) bool { return able[i].spare() < able[j].spare() })
	return chooseFrom(able, shape.Members, nil, try)
}

func chooseFrom(able []*node, wanted int, chosen []*node, try func([]*node) bool) bool {
	if wanted == 0 {
		return try(append([]*node(nil), chosen...))
	}
	for i := 0; i+wanted <= len(able); i++ {
		if i > 0 && able[i].spare() == able[i-1].spare() {
			continue // the same choice as the one before
		}
		if chooseFrom(able[i+1:], wanted-1, append(chosen, able[i]), try) {
			return true
		}
	}
	return false
}

// Unfit names a guaranteed shape that has no place beside the others.
type Unfit struct {
	Workspace string
	Shape     structs.Shape
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
