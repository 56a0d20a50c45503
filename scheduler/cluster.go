package scheduler

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/structs"
)

// node is the scheduler's record of a worker.
type node struct {
	spec         WorkerSpec
	index        int
	rack         *rack
	free         int
	guaranteed   int // accelerators here that the witness assigns to guarantees
	pinned       int // accelerators of pinned runs outside the slots
	up           bool
	quarantined  bool
	evacuated    bool // its availability zone takes no new work
	runs         []*run
	reservations []*reservation
	backoffUntil Time // end of the backoff after a refused start
	failureTracker
}

func (n *node) usable() bool { return n.up && !n.quarantined && !n.evacuated }

// trusted reports whether guarantees may be assigned to the node: it is usable and not on
// probation.
func (n *node) trusted() bool { return n.usable() && !n.probation }

// spare is the number of accelerators left for pinned runs or further guarantees.
func (n *node) spare() int { return n.spec.Accelerators - n.guaranteed - n.pinned }

// rack is a group of adjacent workers.
type rack struct {
	name   string
	zone   string
	index  int
	nodes  []*node
	counts []int // number of usable nodes, by free accelerators
	free   int   // free accelerators of usable nodes
}

// nodesWithFree is the number of usable nodes with at least that many free accelerators.
func (r *rack) nodesWithFree(accelerators int) int {
	total := 0
	for level := accelerators; level < len(r.counts); level++ {
		total += r.counts[level]
	}
	return total
}

// cluster indexes the workers so that the cost of a search grows with the racks, not the
// workers.
type cluster struct {
	nodes  []*node
	byID   map[string]*node
	racks  []*rack
	byRack map[string]*rack
}

func newCluster() *cluster {
	return &cluster{byID: map[string]*node{}, byRack: map[string]*rack{}}
}

// ensureNode returns the node of a worker. A new node is down.
func (c *cluster) ensureNode(spec WorkerSpec) *node {
	if existing := c.byID[spec.ID]; existing != nil {
		return existing
	}
	r := c.byRack[spec.Rack]
	if r == nil {
		r = &rack{name: spec.Rack, zone: spec.AvailabilityZone, index: len(c.racks)}
		c.byRack[spec.Rack] = r
		c.racks = append(c.racks, r)
	}
	added := &node{spec: spec, index: len(c.nodes), rack: r, free: spec.Accelerators}
	c.nodes = append(c.nodes, added)
	c.byID[spec.ID] = added
	r.nodes = append(r.nodes, added)
	for len(r.counts) <= spec.Accelerators {
		r.counts = append(r.counts, 0)
	}
	return added
}

// update changes a node and updates the indexes.
func (c *cluster) update(n *node, mutate func()) {
	c.unindex(n)
	mutate()
	c.index(n)
}

func (c *cluster) unindex(n *node) {
	if !n.usable() {
		return
	}
	n.rack.counts[n.free]--
	n.rack.free -= n.free
}

func (c *cluster) index(n *node) {
	if !n.usable() {
		return
	}
	n.rack.counts[n.free]++
	n.rack.free += n.free
}

// allocate takes the accelerators of a run from its nodes.
func (c *cluster) allocate(r *run) {
	for i, n := range r.nodes {
		c.update(n, func() { n.free -= r.accelerators })
		n.runs = append(n.runs, r)
		if sl := r.slots[i]; sl != nil {
			sl.used[sl.memberIndex(n)] += r.accelerators
		} else if r.pinned {
			n.pinned += r.accelerators
		}
	}
}

// release returns the accelerators of a run to its nodes.
func (c *cluster) release(r *run) {
	for i, n := range r.nodes {
		c.update(n, func() { n.free += r.accelerators })
		n.runs = removeRun(n.runs, r)
		if sl := r.slots[i]; sl != nil {
			sl.used[sl.memberIndex(n)] -= r.accelerators
		} else if r.pinned {
			n.pinned -= r.accelerators
		}
	}
}

func removeRun(runs []*run, target *run) []*run {
	for i, r := range runs {
		if r == target {
			return append(runs[:i], runs[i+1:]...)
		}
	}
	return runs
}

// fitsWhenEmpty reports whether the shape fits all listed workers when they are empty.
func (c *cluster) fitsWhenEmpty(shape structs.Shape) bool {
	return c.fitsWhenEmptyOn(shape, func(*node) bool { return true })
}

// fitsWhenEmptyOn reports whether the shape fits the eligible workers when they are empty.
func (c *cluster) fitsWhenEmptyOn(shape structs.Shape, eligible func(*node) bool) bool {
	total := 0
	for _, r := range c.racks {
		fitting := 0
		for _, n := range r.nodes {
			if n.spec.Accelerators >= shape.Accelerators && eligible(n) {
				fitting++
			}
		}
		if fitting >= shape.Members {
			return true
		}
		total += fitting
	}
	return !shape.Adjacent && total >= shape.Members
}

// zonesByFree lists availability zones, those with the most free accelerators first.
func (c *cluster) zonesByFree() []string {
	free := map[string]int{}
	var zones []string
	for _, r := range c.racks {
		if _, seen := free[r.zone]; !seen {
			zones = append(zones, r.zone)
		}
		free[r.zone] += r.free
	}
	sort.SliceStable(zones, func(i, j int) bool { return free[zones[i]] > free[zones[j]] })
	return zones
}
