package placing

import (
	"math"
	"sort"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// fitKey holds the properties of a step that decide whether it fits, except for the number
// of its tasks.
type fitKey struct {
	pool, label, dataRack string
	need                  jobs.Resources
	gang, oneRack, strict bool
	yieldsHeadroom        bool
}

// placement assigns a task to a node.
type placement struct {
	task *task
	node *node
}

// need returns the resources that a task of the step occupies. Cores of fillers do not
// count, as they use only what others leave.
func (s *step) need() jobs.Resources {
	need := s.spec.Need
	if s.spec.Filler {
		need.MilliCores = 0
	}
	return need
}

// accepts reports whether a node may run the unit's tasks now.
func (n *node) accepts(unit *unit) bool {
	avoided := !unit.ignorePreferences && unit.avoidWorker != "" && unit.avoidWorker == n.entry.ID
	return !avoided && unit.eligible(n) && unit.hasValidTicket(n)
}

// eligible reports whether a node is of the pool and kind that the unit's tasks require, and
// not forbidden by the policy of their queue.
func (u *unit) eligible(n *node) bool {
	return !u.forbiddenOn(n) && n.entry.Pool == u.job.queue.Pool && n.entry.HasLabel(u.step.spec.RequiredLabel)
}

// capacityFor returns how many tasks of a step fit on a node, up to limit.
func (v *view) capacityFor(node *node, step *step, need jobs.Resources, limit int) int {
	free := v.free[node.at]
	if !free.Fits(need) {
		return 0 // the usual case on full nodes; saves three divisions
	}
	count := quotient(free.Accelerators, need.Accelerators, limit)
	count = quotient(free.MilliCores, need.MilliCores, count)
	count = quotient(free.MemoryMB, need.MemoryMB, count)
	if step.spec.MaxPerWorker > 0 && count > 0 {
		count = min(count, step.spec.MaxPerWorker-node.countTasksOf(step))
	}
	return max(0, count)
}

// stillAvailable returns those of some placements whose nodes are free now and whose
// tasks still wait; of a gang all or none.
func (v *view) stillAvailable(unit *unit, placements []placement) []placement {
	need := unit.step.need()
	var available []placement
	for _, p := range placements {
		waits := !p.task.done && p.task.run == nil
		if waits && v.contains(p.node) && v.free[p.node.at].Fits(need) {
			v.allocate(p.node, need)
			available = append(available, p)
		}
	}
	for _, p := range available {
		v.release(p.node, need)
	}
	if unit.step.spec.Gang && len(available) < len(unit.tasks) {
		return nil
	}
	return available
}

// quotient returns how often need fits into free, up to limit.
func quotient(free, need int64, limit int) int {
	if need <= 0 {
		return limit
	}
	return min(limit, int(max(0, free)/need))
}

// countTasksOf returns how many tasks of a step may be running on the node.
func (n *node) countTasksOf(step *step) int {
	count := 0
	for _, run := range n.runs {
		if run.task.step == step {
			count++
		}
	}
	return count
}

func (v *view) fitKeyOf(u *unit, strict bool) fitKey {
	spec := u.step.spec
	return fitKey{
		pool:           u.job.queue.Pool,
		label:          spec.RequiredLabel,
		dataRack:       spec.DataRack,
		need:           u.step.need(),
		gang:           spec.Gang,
		oneRack:        spec.OneRack,
		strict:         strict,
		yieldsHeadroom: v.yieldsHeadroom(u),
	}
}

// fit finds placements for the tasks of a unit, for a gang all of them or none. strict
// allows only the rack that suits the step best. A search that failed in this pass for as
// many tasks or fewer with the same key is not repeated, unless workers are ruled out for
// this one step.
func (v *view) fit(unit *unit, strict bool) []placement {
	cacheable := unit.avoidWorker == "" && unit.step.spec.MaxPerWorker == 0 && !unit.isolated && !unit.job.queue.NeedsAdvice
	key := v.fitKeyOf(unit, strict)
	tasks := 1
	if unit.step.spec.Gang {
		tasks = len(unit.tasks)
	}
	if failedTasks, failed := v.failed[key]; failed && cacheable && tasks >= failedTasks {
		return nil
	}
	placements := v.findPlacements(unit, strict)
	if placements == nil && cacheable {
		v.failed[key] = tasks
	}
	return placements
}

// findPlacements searches the nodes that the topology constraints of the unit allow.
func (v *view) findPlacements(unit *unit, strict bool) []placement {
	spec := unit.step.spec
	switch {
	case spec.Gang && spec.OneRack:
		return v.searchRacks(unit, strict)
	case spec.DataRack != "":
		return v.searchDataRack(unit, strict)
	}
	return v.pack(unit, v.nodes)
}

// searchDataRack prefers the rack that holds the step's data. If strict is set and the rack has
// nodes in the view, it allows no other.
func (v *view) searchDataRack(unit *unit, strict bool) []placement {
	var dataRackNodes []*node
	for _, rack := range v.racks {
		if rack[0].entry.Rack == unit.step.spec.DataRack {
			dataRackNodes = rack
		}
	}
	placements := v.pack(unit, dataRackNodes)
	if strict && len(dataRackNodes) > 0 || len(placements) == len(unit.tasks) {
		return placements
	}
	if unit.step.spec.Gang {
		return v.pack(unit, v.nodes)
	}
	for _, p := range placements {
		v.allocate(p.node, unit.step.need())
	}
	remaining := *unit
	remaining.tasks = unit.tasks[len(placements):]
	nodes := v.nodes
	if unit.step.spec.MaxPerWorker > 0 {
		nodes = v.nodesOutside(unit.step.spec.DataRack) // the limit does not count these placements yet
	}
	elsewhere := v.pack(&remaining, nodes)
	for _, p := range placements {
		v.release(p.node, unit.step.need())
	}
	return append(placements, elsewhere...)
}

// nodesOutside returns the nodes of all other racks.
func (v *view) nodesOutside(rack string) []*node {
	var outside []*node
	for _, node := range v.nodes {
		if node.entry.Rack != rack {
			outside = append(outside, node)
		}
	}
	return outside
}

// searchRacks places a gang in the one rack where it leaves the least free; if it fits in
// none and strict is false, anywhere.
func (v *view) searchRacks(unit *unit, strict bool) []placement {
	var best []placement
	bestLeftover := 0.0
	minCores := milliCoreEquivalents(unit.step.need()) * int64(len(unit.tasks)) // a rack with less cannot hold the gang
	for index, rack := range v.racks {
		if v.rackFree[index] < minCores || v.rackMaxFree[index] < unit.step.need().Accelerators {
			continue
		}
		placements := v.pack(unit, rack)
		if placements == nil {
			continue
		}
		leftover := v.freeCores(rack) - v.rackSpeedValue(placements, unit)
		if rack[0].entry.Rack == unit.step.spec.DataRack {
			leftover = math.Inf(-1) // the rack of its data goes before all others
		}
		if best == nil || leftover < bestLeftover {
			best, bestLeftover = placements, leftover
		}
	}
	if best == nil && !strict {
		return v.pack(unit, v.nodes)
	}
	return best
}

// freeCores returns the free capacity of a set of nodes, in cores.
func (v *view) freeCores(nodes []*node) float64 {
	sum := 0.0
	for _, node := range nodes {
		sum += coreEquivalents(v.free[node.at])
	}
	return sum
}

// candidate is a node with capacity for some tasks. Lower weights are preferred.
type candidate struct {
	node   *node
	count  int
	weight float64
}

// pack places as many tasks as fit, fullest nodes first; of a gang all or none.
func (v *view) pack(unit *unit, nodes []*node) []placement {
	candidates, capacity := v.candidates(unit, nodes)
	wanted := len(unit.tasks)
	if capacity == 0 || unit.step.spec.Gang && capacity < wanted {
		return nil
	}
	sort.Slice(candidates, func(a, b int) bool {
		if candidates[a].weight != candidates[b].weight {
			return candidates[a].weight < candidates[b].weight
		}
		return candidates[a].node.at < candidates[b].node.at
	})
	placements := make([]placement, 0, min(capacity, wanted))
	for _, c := range candidates {
		for range min(c.count, wanted-len(placements)) {
			placements = append(placements, placement{task: unit.tasks[len(placements)], node: c.node})
		}
		if len(placements) == wanted {
			break
		}
	}
	return placements
}

// candidates lists the nodes with capacity for the unit, and how many tasks they hold in all.
func (v *view) candidates(unit *unit, nodes []*node) ([]candidate, int) {
	need := unit.step.need()
	if len(nodes) != len(v.nodes) {
		return v.addCandidates(nil, unit, need, nodes, 0)
	}
	var candidates []candidate
	capacity := 0
	weights := v.rackWeights(unit) // within one rack they make no difference
	for index, rack := range v.racks {
		if v.rackMaxFree[index] < need.Accelerators {
			continue
		}
		weight := 0.0
		if weights != nil {
			weight = weights[index]
		}
		var added int
		candidates, added = v.addCandidates(candidates, unit, need, rack, weight)
		capacity += added
	}
	return candidates, capacity
}

// addCandidates appends those of some nodes that have capacity for the unit, and returns
// how many tasks they hold. rackWeight is added to the weight of each.
func (v *view) addCandidates(candidates []candidate, unit *unit, need jobs.Resources, nodes []*node, rackWeight float64) ([]candidate, int) {
	capacity := 0
	for _, node := range nodes {
		count := v.capacityFor(node, unit.step, need, len(unit.tasks))
		if count == 0 || !node.accepts(unit) || v.closedTo(unit, node) || unit.emptyOnly && !v.suitsIsolation(node, unit.now) {
			continue
		}
		weight := node.freeShare(v.free[node.at]) + v.nodeSpeedWeight(node, unit) + v.nodeExplorationWeight(node, unit)
		if unit.isolated {
			weight = -weight // prefers nodes where the loss of the worker costs least
		}
		if node.health.onProbation || unit.now.Before(node.recentlyRestartedUntil) {
			weight += probationWeight
		}
		if unit.ignorePreferences && (!node.schedulable(unit.now) || node.entry.ID == unit.avoidWorker) {
			weight += lastResortWeight
		}
		candidates = append(candidates, candidate{node: node, count: count, weight: weight + rackWeight})
		capacity += count
	}
	return candidates, capacity
}

// rackWeights makes work that is not urgent prefer racks that are in use, so that an
// urgent gang mostly finds a rack without preemption. It is nil for urgent work.
func (v *view) rackWeights(unit *unit) []float64 {
	if unit.job.queue.Priority == 0 {
		return nil
	}
	weights := make([]float64, len(v.racks))
	for index := range v.racks {
		weights[index] = unusedRackWeight * ratio(v.rackFree[index], v.rackCapacity[index])
	}
	return weights
}

// unusedRackWeight is above the highest freeShare of a node.
const unusedRackWeight = 5

// probationWeight is above the highest freeShare, so that workers on probation and
// recently restarted ones are used only where nothing else fits.
const probationWeight = 20

// lastResortWeight is above the sum of the other weights. It is added for workers that should
// get no new work.
const lastResortWeight = 100

// freeShare returns the free share of the node. Accelerators count twice, as large tasks
// run out of them first. The lowest share is preferred, so that large holes stay for
// large tasks.
func (n *node) freeShare(free jobs.Resources) float64 {
	capacity := n.entry.Capacity
	return 2*ratio(free.Accelerators, capacity.Accelerators) + ratio(free.MilliCores, capacity.MilliCores) + ratio(free.MemoryMB, capacity.MemoryMB)
}

// ratio returns part / whole, or 0 if whole is not positive.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
