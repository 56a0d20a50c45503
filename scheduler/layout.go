package scheduler

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/structs"
)

// maxLayoutSteps bounds the exact search for a layout, a placement of all slots. Beyond it the
// slots are placed greedily.
const maxLayoutSteps = 20_000

type layoutBudget struct{ steps int }

// searchLayout places all slots or none. It is a depth-first search over distinct racks and
// distinct choices of their workers.
func searchLayout(c *cluster, slots []*slot, budget *layoutBudget) bool {
	if len(slots) == 0 {
		return true
	}
	sl := slots[0]
	tried := map[string]bool{}
	for _, r := range c.racks {
		signature := r.signature()
		if tried[signature] {
			continue
		}
		tried[signature] = true
		placed := r.forEachChoice(sl.shape, func(nodes []*node) bool {
			budget.steps--
			if budget.steps < 0 {
				return true
			}
			sl.assign(nodes)
			if searchLayout(c, slots[1:], budget) {
				return true
			}
			sl.unassign()
			return false
		})
		if budget.steps < 0 {
			return false
		}
		if placed {
			return true
		}
	}
	return false
}

// signature describes the spare accelerators of a rack's workers. Racks with the same
// signature are interchangeable.
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

// forEachChoice calls visit with each distinct choice of members, the tightest fit first,
// until it returns true. Workers with the same spare accelerators are interchangeable.
func (r *rack) forEachChoice(shape structs.Shape, visit func([]*node) bool) bool {
	var feasible []*node
	for _, n := range r.nodes {
		if n.trusted() && n.spare() >= shape.Accelerators {
			feasible = append(feasible, n)
		}
	}
	sort.SliceStable(feasible, func(i, j int) bool { return feasible[i].spare() < feasible[j].spare() })
	return forEachSubset(feasible, shape.Members, nil, visit)
}

// forEachSubset calls visit with chosen extended by each distinct subset of count nodes, until it
// returns true. The nodes are sorted by spare accelerators.
func forEachSubset(nodes []*node, count int, chosen []*node, visit func([]*node) bool) bool {
	if count == 0 {
		return visit(append([]*node(nil), chosen...))
	}
	for i := 0; i+count <= len(nodes); i++ {
		if i > 0 && nodes[i].spare() == nodes[i-1].spare() {
			continue // equivalent to the previous choice
		}
		if forEachSubset(nodes[i+1:], count-1, append(chosen, nodes[i]), visit) {
			return true
		}
	}
	return false
}
