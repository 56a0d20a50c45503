package scheduler

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/structs"
)

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
