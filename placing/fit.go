package placing

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// view is the capacity that a placement may count on, node by node. It is
// worked on and thrown away, or kept if the placement is taken.
type view struct {
	nodes []*node
	free  map[*node]jobs.Resources
}

func (v *view) copy() *view {
	made := &view{nodes: v.nodes, free: make(map[*node]jobs.Resources, len(v.free))}
	for node, free := range v.free {
		made.free[node] = free
	}
	return made
}

func (v *view) take(node *node, need jobs.Resources) { v.free[node] = v.free[node].Sub(need) }
func (v *view) give(node *node, need jobs.Resources) { v.free[node] = v.free[node].Add(need) }

// seat is a place for one task.
type seat struct {
	task *task
	node *node
}

// need is what a task of the step occupies.
func (s *step) need() jobs.Resources {
	need := s.spec.Need
	if s.spec.Fills {
		need.MilliCores = 0
	}
	return need
}

// serves reports whether a node may ever run tasks of a step.
func (n *node) serves(step *step) bool {
	return n.entry.Pool == step.job.queue.Pool && n.entry.HasLabel(step.spec.RequiredLabel)
}

// seats is how many tasks of a step fit on a node, up to most.
func (v *view) seats(node *node, step *step, most int) int {
	need := step.need()
	free := v.free[node]
	count := most
	count = min(count, quotient(free.MilliCores, need.MilliCores, count))
	count = min(count, quotient(free.MemoryMB, need.MemoryMB, count))
	count = min(count, quotient(free.Accelerators, need.Accelerators, count))
	if step.spec.PerWorker > 0 && count > 0 {
		count = min(count, step.spec.PerWorker-node.countOf(step))
	}
	return max(0, count)
}

func quotient(free, need int64, otherwise int) int {
	if need <= 0 {
		return otherwise
	}
	return int(max(0, free) / need)
}

// countOf is how many tasks of a step may be running on the node.
func (n *node) countOf(step *step) int {
	count := 0
	for _, run := range n.runs {
		if run.task.step == step {
			count++
		}
	}
	return count
}

// fit finds seats for the tasks of a unit among nodes. A gang gets seats for
// all tasks or none; strict asks for the rack that suits the step best.
func (v *view) fit(unit *unit, strict bool) []seat {
	nodes := v.allowed(unit)
	spec := unit.step.spec
	switch {
	case spec.Gang && spec.OneRack:
		return v.fitRack(unit, nodes, strict)
	case spec.DataRack != "":
		return v.fitNear(unit, nodes, strict)
	}
	return v.fill(unit, nodes)
}

func (v *view) allowed(unit *unit) []*node {
	var list []*node
	for _, node := range v.nodes {
		if node.serves(unit.step) && (unit.tasks[0].avoid == "" || unit.tasks[0].avoid != node.entry.ID) {
			list = append(list, node)
		}
	}
	return list
}

// fitNear prefers the rack where the data lies, and allows no other if strict.
func (v *view) fitNear(unit *unit, nodes []*node, strict bool) []seat {
	var near, far []*node
	for _, node := range nodes {
		if node.entry.Rack == unit.step.spec.DataRack {
			near = append(near, node)
		} else {
			far = append(far, node)
		}
	}
	seats := v.fill(unit, near)
	if strict && len(near) > 0 {
		return seats
	}
	if len(seats) == len(unit.tasks) {
		return seats
	}
	if unit.step.spec.Gang {
		return v.fill(unit, nodes)
	}
	rest := *unit
	rest.tasks = unit.tasks[len(seats):]
	return append(seats, v.fill(&rest, far)...)
}

// fitRack seats a gang in the one rack that it fills best; if none holds it and
// strict is false, anywhere.
func (v *view) fitRack(unit *unit, nodes []*node, strict bool) []seat {
	racks := map[string][]*node{}
	var names []string
	for _, node := range nodes {
		if racks[node.entry.Rack] == nil {
			names = append(names, node.entry.Rack)
		}
		racks[node.entry.Rack] = append(racks[node.entry.Rack], node)
	}
	sort.Strings(names)
	var best []seat
	bestLeft := 0.0
	for _, name := range names {
		seats := v.fill(unit, racks[name])
		if len(seats) == 0 {
			continue
		}
		left := v.left(racks[name])
		if name == unit.step.spec.DataRack {
			left = -1 // near its data goes before everything else
		}
		if best == nil || left < bestLeft {
			best, bestLeft = seats, left
		}
	}
	if best == nil && !strict {
		return v.fill(unit, nodes)
	}
	return best
}

// left is what a set of nodes has free, in cores.
func (v *view) left(nodes []*node) float64 {
	sum := 0.0
	for _, node := range nodes {
		sum += cores(v.free[node])
	}
	return sum
}

// fill seats as many tasks as fit, tightest nodes first; of a gang all or none.
func (v *view) fill(unit *unit, nodes []*node) []seat {
	ordered := v.byTightness(unit, nodes)
	var seats []seat
	tasks := unit.tasks
	for _, node := range ordered {
		count := v.seats(node, unit.step, len(tasks))
		for _, task := range tasks[:count] {
			seats = append(seats, seat{task: task, node: node})
		}
		tasks = tasks[count:]
		if len(tasks) == 0 {
			return seats
		}
	}
	if unit.step.spec.Gang {
		return nil
	}
	return seats
}

// byTightness orders nodes so that those with least left over come first, and
// large holes stay for large tasks. Nodes on probation come last.
func (v *view) byTightness(unit *unit, nodes []*node) []*node {
	need := unit.step.need()
	ordered := make([]*node, 0, len(nodes))
	weight := make(map[*node]float64, len(nodes))
	for _, node := range nodes {
		if !v.free[node].Fits(need) {
			continue
		}
		ordered = append(ordered, node)
		weight[node] = node.tightness(v.free[node])
		if node.health.wary {
			weight[node] += probationWeight
		}
	}
	sort.SliceStable(ordered, func(a, b int) bool { return weight[ordered[a]] < weight[ordered[b]] })
	return ordered
}

// probationWeight is above every tightness, so that workers on probation are
// taken only where nothing else fits.
const probationWeight = 10

// tightness is the free share of the node, accelerators counting twice as they
// are what large tasks lack first.
func (n *node) tightness(free jobs.Resources) float64 {
	share := func(part, whole int64) float64 {
		if whole <= 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	capacity := n.entry.Capacity
	return 2*share(free.Accelerators, capacity.Accelerators) + share(free.MilliCores, capacity.MilliCores) + share(free.MemoryMB, capacity.MemoryMB)
}
