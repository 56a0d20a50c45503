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
		if n.trusted() {
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
		if n.trusted() && n.spare() >= shape.Accelerators {
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

// fitsBesideGuarantees reports whether the known workers, when empty, can hold
// a job that may not be stopped together with the guarantees of others.
func (s *Scheduler) fitsBesideGuarantees(spec JobSpec) bool {
	c := newCluster()
	for _, n := range s.cluster.nodes {
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
