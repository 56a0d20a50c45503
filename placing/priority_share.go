package placing

// The load that this file answers: more work than room for longer than tasks take. Work that starts
// alone finds room all the time, a gang only where several workers are free together. So single tasks
// of a lower priority were all in time, while gangs of a higher one waited for most of what they
// asked for. Work of a priority therefore waits while a higher one has less of its demand in service.
// Room that ends free up goes to the higher one until the shares agree; nothing is stopped for it.

const (
	// priorityLevels is the number of priorities that are told apart. Work of higher numbers counts as
	// of the last level.
	priorityLevels = 8
	// minHeldDemand is the waiting demand, in workers' worth, from which lower priorities wait: less
	// finds its room as tasks end.
	minHeldDemand = 1.0
)

// priorityDemand is the demand for a pool by priority, in workers' worth of the resource that a task
// uses most of. Only work that can still be in time counts as waiting, and no urgent work, which goes
// first in any case.
type priorityDemand struct{ running, waiting [priorityLevels]float64 }

// level returns the level of a priority.
func level(priority int) int { return min(max(0, priority), priorityLevels-1) }

// priorityDemands sums up the demand by pool. A unit that no workers could hold does not count.
func (e *Engine) priorityDemands(units []*unit, view *view) map[string]*priorityDemand {
	byPool := map[string]*priorityDemand{}
	for _, node := range e.nodeOrder {
		demand := byPool[node.entry.Pool]
		if demand == nil {
			demand = &priorityDemand{}
			byPool[node.entry.Pool] = demand
		}
		for level, share := range node.currentShares().byLevel {
			demand.running[level] += share
		}
	}
	reference := view.referenceCapacities()
	for _, unit := range units {
		pool := unit.job.queue.Pool
		capacity, ok := reference[pool]
		if ok && unit.tier == tierOnTime && e.fitsWithout(unit, "") {
			byPool[pool].waiting[level(unit.job.queue.Priority)] += float64(len(unit.tasks)) * dominantShare(unit.step.need(), capacity)
		}
	}
	return byPool
}

// served returns the share of the demand of a level that is in service.
func (d *priorityDemand) served(level int) float64 {
	if d.running[level] == 0 {
		return 0
	}
	return d.running[level] / (d.running[level] + d.waiting[level])
}

// holdsBack reports whether a unit is to wait, as work of a higher priority that is not urgent lacks
// its share.
func (d *priorityDemand) holdsBack(unit *unit) bool {
	if d == nil || unit.urgent() || unit.step.spec.LongRunning {
		return false
	}
	own := level(unit.job.queue.Priority)
	for higher := 1; higher < own; higher++ {
		if d.waiting[higher] >= minHeldDemand && d.served(higher) < d.served(own) {
			return true
		}
	}
	return false
}
