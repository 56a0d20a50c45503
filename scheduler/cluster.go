package scheduler

import (
	"sort"

	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// node is one worker as the scheduler sees it.
type node struct {
	spec        WorkerSpec
	index       int
	rack        *rack
	free        int
	promised    int // accelerators that the witness keeps for guarantees here
	pinned      int // accelerators of runs outside guarantees that may not be stopped
	up          bool
	quarantined bool
	evacuated   bool // its availability zone gets nothing new
	runs        []*run
	reserved    []*reservation
	avoidUntil  Time // the worker refused a run a moment ago
	blameBook
}

func (n *node) usable() bool { return n.up && !n.quarantined && !n.evacuated }

// trusted reports whether guarantees may rest on the node: it works and is not
// being tried again after a quarantine.
func (n *node) trusted() bool { return n.usable() && !n.probation }

// spare is how many accelerators pinned work or a further promise may take.
func (n *node) spare() int { return n.spec.Accelerators - n.promised - n.pinned }

// rack is a group of adjacent workers.
type rack struct {
	name   string
	zone   string
	index  int
	nodes  []*node
	counts []int // usable nodes by free accelerators
	free   int   // free accelerators of usable nodes
}

// atLeast is the number of usable nodes with at least so many free accelerators.
func (r *rack) atLeast(accelerators int) int {
	total := 0
	for level := accelerators; level < len(r.counts); level++ {
		total += r.counts[level]
	}
	return total
}

// cluster indexes the workers so that a search costs by racks, not by workers.
type cluster struct {
	nodes  []*node
	byID   map[string]*node
	racks  []*rack
	byRack map[string]*rack
}

func newCluster() *cluster {
	return &cluster{byID: map[string]*node{}, byRack: map[string]*rack{}}
}

// add returns the node of a worker, creating it down.
func (c *cluster) add(spec WorkerSpec) *node {
	if known := c.byID[spec.ID]; known != nil {
		return known
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

// change applies an update to a node and keeps the indexes true.
func (c *cluster) change(n *node, update func()) {
	c.unindex(n)
	update()
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

// take gives a run its accelerators on its nodes.
func (c *cluster) take(r *run) {
	for i, n := range r.nodes {
		c.change(n, func() { n.free -= r.accelerators })
		n.runs = append(n.runs, r)
		if share := r.shares[i]; share != nil {
			share.used[share.member(n)] += r.accelerators
		} else if r.pinned {
			n.pinned += r.accelerators
		}
	}
}

// give takes a run's accelerators back.
func (c *cluster) give(r *run) {
	for i, n := range r.nodes {
		c.change(n, func() { n.free += r.accelerators })
		n.runs = removeRun(n.runs, r)
		if share := r.shares[i]; share != nil {
			share.used[share.member(n)] -= r.accelerators
		} else if r.pinned {
			n.pinned -= r.accelerators
		}
	}
}

func removeRun(list []*run, gone *run) []*run {
	for i, known := range list {
		if known == gone {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// couldEverFit reports whether the shape fits the known workers when all are empty.
func (c *cluster) couldEverFit(shape structs.Shape) bool {
	return c.holdsEmpty(shape, func(*node) bool { return true })
}

// holdsEmpty reports whether the shape fits those of the workers that may be used when
// all are empty.
func (c *cluster) holdsEmpty(shape structs.Shape, mayUse func(*node) bool) bool {
	total := 0
	for _, r := range c.racks {
		fitting := 0
		for _, n := range r.nodes {
			if n.spec.Accelerators >= shape.Accelerators && mayUse(n) {
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

// zonesByRoom lists availability zones, those with the most free accelerators first.
func (c *cluster) zonesByRoom() []string {
	room := map[string]int{}
	var zones []string
	for _, r := range c.racks {
		if _, known := room[r.zone]; !known {
			zones = append(zones, r.zone)
		}
		room[r.zone] += r.free
	}
	sort.SliceStable(zones, func(i, j int) bool { return room[zones[i]] > room[zones[j]] })
	return zones
}

// Unholdable says why workers that are empty cannot hold a job beside what the targets
// guarantee to others; empty if they can.
func Unholdable(workers []WorkerSpec, t *targets.Targets, job JobSpec) string {
	return New(Config{Workers: workers, Targets: t}).unholdable(job)
}
