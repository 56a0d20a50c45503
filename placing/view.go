package placing

import (
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// view is the free capacity that the placements of one pass may use. Nodes are numbered by
// node.at. A view is modified during the pass and discarded afterwards.
type view struct {
	nodes  []*node
	free   []jobs.Resources // by node.at
	racks  [][]*node        // nodes by rack, racks in the order of their names
	rackOf []int            // by node.at: position in racks
	// failed holds, by kind of step that could not be placed in this pass, the smallest number of
	// tasks that failed. Capacity only shrinks in a pass.
	failed            map[fitKey]int
	rackFitCounts     map[fitKey]map[string]int // see Engine.rackFitCounts
	speedsSignificant bool                      // the differences between worker speeds are significant
	headroom          [classes][]bool           // by class and node.at: reserved headroom, withheld from deferrable work
	// rackFree and rackCapacity are the free and total capacity of the nodes of a rack, by position
	// in racks, in units of milliCoreEquivalents. They are updated incrementally, which saves a sum
	// over all nodes for each step that is tried, and racks with too little are skipped.
	rackFree, rackCapacity []int64
	// rackMaxFree is an upper bound of the accelerators that are free on any one node of a rack, by
	// position in racks: racks without a node that could hold a task are skipped.
	rackMaxFree []int64
}

func newView(nodes []*node) *view {
	v := &view{nodes: nodes, free: make([]jobs.Resources, len(nodes)), failed: map[fitKey]int{}, rackFitCounts: map[fitKey]map[string]int{}}
	byName := map[string]int{}
	for index, node := range nodes {
		node.at = index
		v.free[index] = node.entry.Capacity.Sub(node.used)
		rack, ok := byName[node.entry.Rack]
		if !ok {
			rack = len(v.racks)
			byName[node.entry.Rack] = rack
			v.racks = append(v.racks, nil)
		}
		v.racks[rack] = append(v.racks[rack], node)
	}
	sort.Slice(v.racks, func(a, b int) bool { return v.racks[a][0].entry.Rack < v.racks[b][0].entry.Rack })
	v.rackOf = make([]int, len(nodes))
	for rack, members := range v.racks {
		for _, node := range members {
			v.rackOf[node.at] = rack
		}
	}
	v.sumRacks()
	return v
}

// sumRacks computes the totals by rack.
func (v *view) sumRacks() {
	v.rackFree = make([]int64, len(v.racks))
	v.rackCapacity = make([]int64, len(v.racks))
	v.rackMaxFree = make([]int64, len(v.racks))
	for index, node := range v.nodes {
		rack := v.rackOf[index]
		v.rackMaxFree[rack] = max(v.rackMaxFree[rack], v.free[index].Accelerators)
		v.rackFree[rack] += freeMilliCoreEquivalents(v.free[index])
		v.rackCapacity[rack] += milliCoreEquivalents(node.entry.Capacity)
	}
}

// copy returns a view whose free capacity can be changed independently.
func (v *view) copy() *view {
	c := *v
	c.free = append([]jobs.Resources(nil), v.free...)
	c.rackFree = append([]int64(nil), v.rackFree...)
	c.rackMaxFree = append([]int64(nil), v.rackMaxFree...)
	c.failed = map[fitKey]int{}
	return &c
}

// contains reports whether a node belongs to the view.
func (v *view) contains(node *node) bool {
	return node.at < len(v.nodes) && v.nodes[node.at] == node
}

func (v *view) allocate(node *node, need jobs.Resources) {
	if v.contains(node) {
		v.setFree(node, v.free[node.at].Sub(need))
	}
}

func (v *view) release(node *node, need jobs.Resources) {
	if v.contains(node) {
		v.setFree(node, v.free[node.at].Add(need))
	}
}

// exclude withholds a node from all other units of the pass.
func (v *view) exclude(node *node) {
	if v.contains(node) {
		v.setFree(node, jobs.Resources{})
	}
}

// suitsIsolation reports whether a loss of the node would show that a suspect task caused it:
// nothing runs on the node or is about to, and it has not recently restarted.
func (v *view) suitsIsolation(node *node, now time.Time) bool {
	return len(node.runs) == 0 && v.free[node.at] == node.entry.Capacity && !now.Before(node.recentlyRestartedUntil)
}

// setFree sets the free capacity of a node and updates the totals of its rack.
func (v *view) setFree(node *node, free jobs.Resources) {
	rack := v.rackOf[node.at]
	v.rackFree[rack] += freeMilliCoreEquivalents(free) - freeMilliCoreEquivalents(v.free[node.at])
	v.rackMaxFree[rack] = max(v.rackMaxFree[rack], free.Accelerators)
	v.free[node.at] = free
}
