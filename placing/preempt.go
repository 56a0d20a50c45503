package placing

import (
	"sort"
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// reservationSlack is how long a reservation outlives the stop of its victims: the answer to
	// the stop and the report with the end take some milliseconds. Afterwards other victims are
	// chosen, and the reclaim time must leave time for this second try.
	reservationSlack = 400 * time.Millisecond
	// checkpointLoss is the work lost by stopping a task that saves checkpoints, which it also
	// does at the stop.
	checkpointLoss = 300 * time.Millisecond
	// maxLossFactor bounds the work that may be lost for an urgent job beyond its workspace's
	// guarantee, as a multiple of the job's value in core-seconds. The users value an urgent
	// core-second about six times as much as a lost one, and the victims also finish later.
	maxLossFactor = 2
	// urgentLossWeight is the weight of losses of urgent victims, stopped beyond their guarantee
	// for a guaranteed job; one second of their work is added for their late end. The users value
	// an urgent core-second about six times as much.
	urgentLossWeight = 6
	// preemptionBackoff is the pause before victims are searched again for a step that found none,
	// as this search is the most expensive one.
	preemptionBackoff = 100 * time.Millisecond
)

// reservation is capacity set aside for a step while its victims are stopped.
type reservation struct {
	step       *step
	placements []placement
	expiresAt  time.Time
}

// victim is a set of runs that are stopped together: a gang's or a single one.
type victim struct {
	runs []*run
	loss float64 // weighted core-seconds that would be done again
}

// preempt stops work of lower priority so that an urgent unit fits, at the least loss, and
// reserves the capacity for it.
func (e *Engine) preempt(unit *unit, view *view, now time.Time) {
	if now.Before(unit.step.nextSearchAt) {
		return
	}
	projected := view.copy()
	for _, node := range projected.nodes {
		for _, run := range node.runs {
			if e.endsSoon(run, now) {
				projected.release(node, run.need())
			}
		}
	}
	if unit.guaranteed && now.Sub(unit.step.readyAt) >= e.maxUrgentDelay() {
		unit.overGuarantee = e.overGuarantee
	}
	if placements := projected.fit(unit, true); placements != nil {
		e.reserve(unit, placements, view, now)
		return
	}
	victims, placements := e.selectVictims(unit, projected, now)
	if placements == nil || !e.justifiesLoss(unit, victims) {
		unit.step.nextSearchAt = now.Add(preemptionBackoff)
		return
	}
	for _, victim := range victims {
		for _, run := range victim.runs {
			e.stopRun(run, "room for "+unit.job.submission.ID, now)
		}
	}
	e.logEvent("preempted", unit.job, "", "victims "+strconv.Itoa(len(victims)))
	e.reserve(unit, placements, view, now)
}

// endsSoon reports whether a run was stopped and its end is not late.
func (e *Engine) endsSoon(run *run, now time.Time) bool {
	return !run.stoppedAt.IsZero() && now.Sub(run.stoppedAt) < e.stopAllowance()
}

// reserve reserves placements for a unit until its victims have had the time to stop.
func (e *Engine) reserve(unit *unit, placements []placement, view *view, now time.Time) {
	unit.reserve(&reservation{step: unit.step, placements: placements, expiresAt: now.Add(e.stopAllowance())}, view)
}

// selectVictims selects the runs to stop. A gang that is slow outside of one rack gets the rack
// with the least loss. All nodes are searched together once no rack is worth waiting for, and
// for any other step.
func (e *Engine) selectVictims(unit *unit, projected *view, now time.Time) ([]victim, []placement) {
	groups := [][]*node{projected.nodes}
	if unit.step.spec.Gang && unit.step.spec.OneRack {
		groups = projected.racks
	}
	best := e.cheapestPlan(unit, projected, groups, now)
	if best == nil && len(groups) > 1 && !e.shouldWaitForRack(unit, projected, now) {
		best = e.cheapestPlan(unit, projected, [][]*node{projected.nodes}, now)
	}
	if best == nil {
		return nil, nil
	}
	return best.victims, best.placements
}

// preemptionPlan is a set of victims in one group of nodes and the placements that they free.
type preemptionPlan struct {
	victims    []victim
	placements []placement
	loss       float64
}

// cheapestPlan returns the plan with the least loss over some groups of nodes, or nil.
func (e *Engine) cheapestPlan(unit *unit, projected *view, groups [][]*node, now time.Time) *preemptionPlan {
	var best *preemptionPlan
	for _, group := range groups {
		if !enoughCapacity(unit, group) {
			continue
		}
		plan := newVictimSearch(unit, projected, group, now).findPlan(best)
		if plan != nil {
			best = plan
		}
	}
	return best
}

// victimSearch searches one group of nodes for victims.
type victimSearch struct {
	unit    *unit
	view    *view
	nodes   []*node
	now     time.Time
	stopped map[*run]bool
	next    []*preemptionPlan // by position in nodes: the cheapest way to place one more task there
}

func newVictimSearch(unit *unit, projected *view, nodes []*node, now time.Time) *victimSearch {
	s := &victimSearch{unit: unit, view: projected.copy(), nodes: nodes, now: now, stopped: map[*run]bool{}}
	s.next = make([]*preemptionPlan, len(nodes))
	for index := range nodes {
		s.refresh(index)
	}
	return s
}

// refresh plans anew how one more task could be placed on the node at a position.
func (s *victimSearch) refresh(index int) {
	s.next[index] = nil
	if s.nodes[index].accepts(s.unit) {
		s.next[index] = s.planOneMore(s.nodes[index])
	}
}

// findPlan adds the cheapest victims for one more task at a time until the unit fits. It gives
// up once the loss reaches that of the best plan found so far.
func (s *victimSearch) findPlan(best *preemptionPlan) *preemptionPlan {
	plan := &preemptionPlan{}
	wanted := len(s.unit.tasks)
	if !s.unit.step.spec.Gang {
		wanted = 1
	}
	for {
		_, count := s.view.candidates(s.unit, s.nodes)
		if count >= wanted {
			plan.placements = s.view.pack(s.unit, s.nodes)
			return plan
		}
		next := s.cheapestNext()
		if next == nil {
			return nil
		}
		plan.victims = append(plan.victims, next.victims...)
		plan.loss += next.loss
		if best != nil && plan.loss >= best.loss {
			return nil
		}
		s.release(next)
	}
}

// cheapestNext returns the plan that places one more task at the least loss, or nil.
func (s *victimSearch) cheapestNext() *preemptionPlan {
	var best *preemptionPlan
	for _, plan := range s.next {
		if plan != nil && (best == nil || plan.loss < best.loss) {
			best = plan
		}
	}
	return best
}

// release frees the capacity of the victims on all of their nodes.
func (s *victimSearch) release(plan *preemptionPlan) {
	touched := map[*node]bool{}
	for _, victim := range plan.victims {
		for _, run := range victim.runs {
			s.stopped[run] = true
			s.view.release(run.node, run.need())
			touched[run.node] = true
		}
	}
	for index, node := range s.nodes {
		if touched[node] {
			s.refresh(index)
		}
	}
}

// enoughCapacity reports whether a unit would fit if only long-running tasks ran beside it.
func enoughCapacity(unit *unit, nodes []*node) bool {
	wanted := 1
	if unit.step.spec.Gang {
		wanted = len(unit.tasks)
	}
	for _, node := range nodes {
		wanted -= unit.potentialFitCountOn(node)
	}
	return wanted <= 0
}

// planOneMore selects victims on one node, least loss first, until one more task fits, and
// drops those that turn out not to be needed. It returns nil if no victims free enough
// capacity, or if the step may have no more tasks on the node.
func (s *victimSearch) planOneMore(node *node) *preemptionPlan {
	need := s.unit.step.need()
	fitting := s.view.capacityFor(node, s.unit.step, need, len(s.unit.tasks))
	if limit := s.unit.step.spec.MaxPerWorker; limit > 0 && node.countTasksOf(s.unit.step)+fitting >= limit {
		return nil
	}
	free := s.view.free[node.at]
	for range fitting {
		free = free.Sub(need)
	}
	candidates := node.victimsFor(s.unit, s.stopped, s.now)
	count := 0
	for count < len(candidates) && !free.Fits(need) {
		free = free.Add(candidates[count].usageOn(node))
		count++
	}
	if !free.Fits(need) {
		return nil
	}
	plan := &preemptionPlan{}
	for index := count - 1; index >= 0; index-- {
		without := free.Sub(candidates[index].usageOn(node))
		if without.Fits(need) {
			free = without
			continue
		}
		plan.victims = append(plan.victims, candidates[index])
		plan.loss += candidates[index].loss
	}
	if len(plan.victims) == 0 {
		return nil
	}
	return plan
}

// usageOn returns the resources that a victim occupies on one node.
func (v victim) usageOn(node *node) jobs.Resources {
	sum := jobs.Resources{}
	for _, run := range v.runs {
		if run.node == node {
			sum = sum.Add(run.need())
		}
	}
	return sum
}

// victimsFor lists the victims on a node that may be stopped for a unit, least loss first.
func (n *node) victimsFor(unit *unit, stopped map[*run]bool, now time.Time) []victim {
	var list []victim
	for index, candidate := range n.runs {
		if !candidate.preemptibleFor(unit) || stopped[candidate] {
			continue
		}
		step := candidate.task.step
		if !step.spec.Gang {
			list = append(list, victim{runs: []*run{candidate}, loss: candidate.weightedLoss(now)})
			continue
		}
		if !n.hasEarlierMember(step, index) {
			list = append(list, gangVictim(step, now))
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].loss < list[b].loss })
	return list
}

// hasEarlierMember reports whether a member of the step's gang precedes index in the runs of
// the node.
func (n *node) hasEarlierMember(step *step, index int) bool {
	for _, run := range n.runs[:index] {
		if run.task.step == step {
			return true
		}
	}
	return false
}

// preemptibleFor reports whether a run may be stopped for an urgent unit.
func (r *run) preemptibleFor(unit *unit) bool {
	job := r.task.step.job
	lowerPriority := job.queue.Priority > unit.job.queue.Priority
	overGuarantee := job.queue.Priority == 0 && unit.overGuarantee[job.submission.Workspace]
	return (lowerPriority || overGuarantee) && unit.mayStop(r.task.step) && !r.task.step.spec.LongRunning && r.stopSentAt.IsZero() && r.task.run == r
}

// gangVictim returns all runs of a gang as one victim.
func gangVictim(step *step, now time.Time) victim {
	var v victim
	for _, member := range step.tasks {
		if member.run != nil {
			v.runs = append(v.runs, member.run)
			v.loss += member.run.weightedLoss(now)
		}
	}
	return v
}

// loss returns the core-seconds that a stop would lose.
func (r *run) loss(now time.Time) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	elapsed := now.Sub(r.startedAt)
	if r.task.step.spec.Checkpoints {
		elapsed = min(elapsed, checkpointLoss)
	}
	return elapsed.Seconds() * coreEquivalents(r.task.step.spec.Need)
}

// weightedLoss returns the loss of a stop, weighted for comparison with others.
func (r *run) weightedLoss(now time.Time) float64 {
	if r.task.step.job.queue.Priority == 0 {
		return urgentLossWeight * (r.loss(now) + coreEquivalents(r.task.step.spec.Need))
	}
	return r.loss(now)
}

// justifiesLoss allows any loss within the workspace's guarantee, and beyond it as much as the
// value of the job covers.
func (e *Engine) justifiesLoss(unit *unit, victims []victim) bool {
	loss := 0.0
	for _, victim := range victims {
		loss += victim.loss
	}
	work := e.coreSeconds(unit.job, nil)
	value := baseValue*e.meanWork(unit.job, work) + workValue*work
	return loss <= maxLossFactor*value || unit.guaranteed
}
