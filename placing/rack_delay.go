package placing

import (
	"math"
	"time"
)

const (
	// rackDelayShare bounds how long a step waits for a rack that suits it, as a share of its
	// expected run time. Outside of that rack the step takes three times as long. After a wait
	// of up to its run time it ends within twice its run time if the rack becomes free,
	// so waiting is the better choice.
	rackDelayShare = 1.0
	// urgentDelayShare is the bound for urgent steps, as a share of Limits.ReclaimTimeout, the
	// reclaim time. They have to start within the reclaim time, and some need a preemption
	// first.
	urgentDelayShare = 0.4
	// reconnectTimeout is the time within which a silent worker is expected to answer again:
	// connections that were reset are reopened by then.
	reconnectTimeout = time.Second
)

// preferredPlacements finds the placements that suit a unit best. A step waits for its rack
// only with as many tasks as the rack could hold; the others go elsewhere.
func (e *Engine) preferredPlacements(unit *unit, view *view, now time.Time) []placement {
	if unit.isolated || !unit.prefersRack() || !e.mayWaitForRack(unit, now) {
		return view.fit(unit, false)
	}
	fitting := e.rackFitCount(unit, view, now)
	if fitting == 0 {
		return view.fit(unit, false)
	}
	inRack := view.fit(unit, true)
	outside := len(unit.tasks) - max(fitting, len(inRack))
	if outside == 0 {
		return inRack
	}
	all := view.fit(unit, false) // those in the rack come first
	return all[:min(len(all), len(inRack)+outside)]
}

// prefersRack reports whether the unit prefers certain racks, as it is slower elsewhere: a gang
// all in one rack, or a step in the rack of its data.
func (u *unit) prefersRack() bool {
	return u.step.spec.Gang && u.step.spec.OneRack || u.step.spec.DataRack != ""
}

// mayWaitForRack reports whether a step may still be delayed for a rack that suits it.
func (e *Engine) mayWaitForRack(unit *unit, now time.Time) bool {
	maxDelay := time.Duration(rackDelayShare * float64(e.expectedRuntime(unit.job, unit.tasks[0].key.Step)))
	if unit.urgent() {
		maxDelay = min(maxDelay, e.maxUrgentDelay())
	}
	return now.Sub(unit.step.readyAt) < maxDelay
}

// shouldWaitForRack reports whether a unit may still be delayed for a rack, and a preferred rack
// could hold some of it, or all of it if it is a gang.
func (e *Engine) shouldWaitForRack(unit *unit, view *view, now time.Time) bool {
	return e.mayWaitForRack(unit, now) && e.rackFitCount(unit, view, now) > 0
}

// rackFitCount returns how many of a unit's tasks a preferred rack could hold; of a gang all or
// none.
func (e *Engine) rackFitCount(unit *unit, view *view, now time.Time) int {
	counts := e.rackFitCounts(unit, view, now)
	if !unit.step.spec.Gang {
		return min(len(unit.tasks), counts[unit.step.spec.DataRack])
	}
	for _, count := range counts {
		if count >= len(unit.tasks) {
			return len(unit.tasks)
		}
	}
	return 0
}

// rackFitCounts returns how many tasks like those of a unit each preferred rack could hold.
// Units of the same kind share the counts of a pass.
func (e *Engine) rackFitCounts(unit *unit, view *view, now time.Time) map[string]int {
	key := view.fitKeyOf(unit, true)
	cacheable := unit.step.spec.MaxPerWorker == 0 && !unit.job.queue.NeedsAdvice
	if n := view.rackFitCounts[key]; n != nil && cacheable {
		return n
	}
	counts := map[string]int{}
	for _, n := range e.nodeOrder {
		if n.expectedUsable(now) && unit.eligible(n) && unit.isPreferredRack(n.entry.Rack) {
			counts[n.entry.Rack] += unit.potentialFitCountOn(n)
		}
	}
	if cacheable {
		view.rackFitCounts[key] = counts
	}
	return counts
}

// fitsWithout reports whether workers other than the avoided one, if any is named, could hold a unit,
// or one task of a unit whose tasks start alone.
func (e *Engine) fitsWithout(unit *unit, avoided string) bool {
	wanted := 1
	if unit.step.spec.Gang {
		wanted = len(unit.tasks)
	}
	for _, n := range e.nodeOrder {
		if n.entry.ID != avoided && n.expectedUsable(unit.now) && unit.eligible(n) {
			wanted -= unit.potentialFitCountOn(n)
		}
		if wanted <= 0 {
			return true
		}
	}
	return false
}

// expectedUsable reports whether a node is expected to accept new work soon: it is not leaving
// or evacuated, and it answers, has not been reached in this term, or fell silent only just
// now.
func (n *node) expectedUsable(now time.Time) bool {
	takesNewWork := n.listed && !n.entry.Leaving && !n.evacuated
	return takesNewWork && (n.silentAt.IsZero() || now.Sub(n.silentAt) < reconnectTimeout)
}

// isPreferredRack reports whether a unit that prefers certain racks prefers this one: any rack
// for a gang that is to be in one rack, otherwise the rack of its data.
func (u *unit) isPreferredRack(rack string) bool {
	return u.step.spec.Gang && u.step.spec.OneRack || rack == u.step.spec.DataRack
}

// potentialFitCountOn returns how many tasks like those of a unit a node could hold if all its
// runs ended but those of long-running tasks that were not told to stop.
func (u *unit) potentialFitCountOn(n *node) int {
	free := n.entry.Capacity
	for _, run := range n.runs {
		if run.task.step.spec.LongRunning && run.stopSentAt.IsZero() {
			free = free.Sub(run.need())
		}
	}
	need := u.step.need()
	count := quotient(free.Accelerators, need.Accelerators, math.MaxInt32)
	count = quotient(free.MilliCores, need.MilliCores, count)
	count = quotient(free.MemoryMB, need.MemoryMB, count)
	if u.step.spec.MaxPerWorker > 0 {
		count = min(count, u.step.spec.MaxPerWorker-n.countTasksOf(u.step))
	}
	return max(0, count)
}
