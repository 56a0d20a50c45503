package placing

import (
	"math"
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Headroom is reserved for work that arrives in bursts or needs much at once. Tasks that
// start alone find capacity all the time; a gang needs many whole workers at the same
// time, and urgent work cannot wait for others to end. Without headroom single tasks take
// whatever becomes free, so gangs wait and urgent work has to preempt. So deferrable work
// leaves the emptiest workers alone, up to the recent demand of the classes to which it
// yields.
const (
	// demandHalfLife is the half-life of a past peak of demand. Bursts of the users'
	// callers last four to six seconds.
	demandHalfLife = 5 * time.Second
	// maxTaskHeadroomShare bounds the share of the workers that is closed to tasks that
	// start alone: they find capacity on the others as tasks there end.
	maxTaskHeadroomShare = 0.5
	// maxGangHeadroomShare bounds the share that is closed to gangs, which need whole
	// workers themselves.
	maxGangHeadroomShare = 0.15
	// minSpareShare of the remaining work is the time to spare below which a job may use any
	// capacity, as may one that is already late: estimates are off by half. Late jobs do not
	// wait, as they would never be placed.
	minSpareShare = 1.5
	// minUsedShare is the share of the workers in use below which no headroom is reserved:
	// with half of them free there is capacity for all.
	minUsedShare = 0.5
)

// demand tracks the demand of a class of work, running and waiting, in workers' worth of
// capacity.
type demand struct {
	peak float64
	at   time.Time
}

// update takes the present demand, and returns the recent peak.
func (d *demand) update(present float64, now time.Time) float64 {
	if !d.at.IsZero() {
		d.peak *= math.Exp2(-float64(now.Sub(d.at)) / float64(demandHalfLife))
	}
	d.peak = max(d.peak, present)
	d.at = now
	return d.peak
}

// demands holds the demand of the classes for which headroom is reserved in a pool.
type demands struct{ urgent, gang demand }

// class is a kind of work by its right to headroom: the urgent and gang classes have it
// reserved, the gang and task classes yield it.
type class int

const (
	classUrgent class = iota
	classGang
	classTask
	classes
)

// class returns the class of the step's work.
func (s *step) class() class {
	switch {
	case s.job.queue.Priority == 0:
		return classUrgent
	case s.spec.Gang:
		return classGang
	}
	return classTask
}

// dominantShare returns the largest share of a capacity that need takes of any resource.
func dominantShare(need, capacity jobs.Resources) float64 {
	dominant := ratio(need.Accelerators, capacity.Accelerators)
	dominant = max(dominant, ratio(need.MilliCores, capacity.MilliCores))
	return max(dominant, ratio(need.MemoryMB, capacity.MemoryMB))
}

// unusedShare returns the share of a node that is free of every resource.
func (v *view) unusedShare(node *node) float64 {
	capacity := node.entry.Capacity
	return max(0, 1-dominantShare(capacity.Sub(v.free[node.at]), capacity))
}

// load holds running and waiting work by class, in workers' worth of capacity.
type load struct {
	running, waiting [classes]float64
	used, capacity   float64 // of the workers outside evacuated zones
}

func (l *load) demand(c class) float64 { return l.running[c] + l.waiting[c] }

// nodeShares holds the shares of a node's capacity that are in use. They are summed anew
// only after a change on the node, as most passes find most nodes unchanged.
type nodeShares struct {
	valid   bool
	used    float64
	byClass [classes]float64
	byLevel [priorityLevels]float64
}

// currentShares returns the cached shares, summing them first if they are not valid.
func (n *node) currentShares() *nodeShares {
	if n.shares.valid {
		return &n.shares
	}
	n.shares = nodeShares{valid: true, used: dominantShare(n.used, n.entry.Capacity)}
	for _, run := range n.runs {
		share := dominantShare(run.need(), n.entry.Capacity)
		n.shares.byClass[run.task.step.class()] += share
		n.shares.byLevel[level(run.task.step.job.queue.Priority)] += share
	}
	return &n.shares
}

// loads sums up running and waiting work by pool.
func (e *Engine) loads(units []*unit, view *view) map[string]*load {
	byPool := map[string]*load{}
	loadOf := func(pool string) *load {
		if byPool[pool] == nil {
			byPool[pool] = &load{}
		}
		return byPool[pool]
	}
	pool := ""
	load := loadOf(pool)
	for _, node := range e.nodeOrder {
		if node.entry.Pool != pool {
			pool = node.entry.Pool
			load = loadOf(pool)
		}
		running := node.currentShares()
		for class, part := range running.byClass {
			load.running[class] += part
		}
		if !node.evacuated {
			load.used += running.used
			load.capacity++
		}
	}
	reference := view.referenceCapacities()
	for _, unit := range units {
		pool := unit.job.queue.Pool
		if capacity, ok := reference[pool]; ok && unit.tier != tierBestEffort {
			loadOf(pool).waiting[unit.step.class()] += float64(len(unit.tasks)) * dominantShare(unit.step.need(), capacity)
		}
	}
	return byPool
}

// referenceCapacities returns, for each pool, the capacity of its first worker.
func (v *view) referenceCapacities() map[string]jobs.Resources {
	reference := map[string]jobs.Resources{}
	pool := ""
	for _, node := range v.nodes {
		if node.entry.Pool == pool {
			continue
		}
		pool = node.entry.Pool
		if _, ok := reference[pool]; !ok {
			reference[pool] = node.entry.Capacity
		}
	}
	return reference
}

func (e *Engine) demandsOf(pool string) *demands {
	if e.demands[pool] == nil {
		e.demands[pool] = &demands{}
	}
	return e.demands[pool]
}

// reserveHeadroom closes nodes of each pool to work that can wait, to the extent that the
// recent demand of the classes with priority there exceeds what they run now.
func (e *Engine) reserveHeadroom(units []*unit, view *view, now time.Time) {
	for pool, load := range e.loads(units, view) {
		demands := e.demandsOf(pool)
		urgent := demands.urgent.update(load.demand(classUrgent), now) - load.running[classUrgent]
		gangs := demands.gang.update(load.demand(classGang), now) - load.running[classGang]
		if load.used < minUsedShare*load.capacity {
			continue
		}
		view.closeNodes(pool, classGang, min(urgent, maxGangHeadroomShare*load.capacity))
		view.closeNodes(pool, classTask, min(urgent+gangs, maxTaskHeadroomShare*load.capacity))
	}
}

// closeNodes closes the emptiest nodes of the emptiest racks of a pool to a class of work,
// until about wanted nodes' worth of capacity is free on them.
func (v *view) closeNodes(pool string, to class, wanted float64) {
	if v.headroom[to] == nil {
		v.headroom[to] = make([]bool, len(v.nodes))
	}
	unused := make([]float64, len(v.nodes))
	rackUnused := make([]float64, len(v.racks))
	for index, node := range v.nodes {
		unused[index] = v.unusedShare(node)
		rackUnused[v.rackOf[index]] += unused[index]
	}
	order := make([]int, 0, len(v.nodes))
	for index, node := range v.nodes {
		if node.entry.Pool == pool {
			order = append(order, index)
		}
	}
	sort.SliceStable(order, func(a, b int) bool {
		racks := rackUnused[v.rackOf[order[a]]] - rackUnused[v.rackOf[order[b]]]
		if racks != 0 {
			return racks > 0
		}
		return unused[order[a]] > unused[order[b]]
	})
	for _, index := range order {
		if 2*wanted < unused[index] {
			return
		}
		v.headroom[to][index] = true
		wanted -= unused[index]
	}
}

// closedTo reports whether a node is withheld from a unit as reserved headroom.
func (v *view) closedTo(unit *unit, node *node) bool {
	return v.yieldsHeadroom(unit) && v.headroom[unit.step.class()][node.at]
}

// yieldsHeadroom reports whether a unit must leave reserved headroom alone.
func (v *view) yieldsHeadroom(unit *unit) bool {
	return unit.deferrable && !unit.isolated && !unit.step.spec.LongRunning && v.headroom[unit.step.class()] != nil
}
