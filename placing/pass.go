package placing

import (
	"strconv"
	"time"
)

const (
	// minPassInterval and passIntervalPerNode set the least time between two passes, some twenty
	// times the duration of a pass.
	minPassInterval     = 5 * time.Millisecond
	passIntervalPerNode = 43 * time.Microsecond
)

// maybeRunPass runs a pass unless the last one was a moment ago: answers come in bursts, and
// the cost of a pass grows with the number of workers.
func (e *Engine) maybeRunPass(now time.Time) {
	e.logEvacuationsFreshness(now)
	if !e.evacuationsFresh(now) {
		return
	}
	interval := minPassInterval + time.Duration(len(e.nodeOrder))*passIntervalPerNode
	if now.Sub(e.lastPassAt) < interval {
		e.plan.RecheckAfter = interval - now.Sub(e.lastPassAt)
		return
	}
	e.lastPassAt = now
	e.runPass(now)
}

// runPass places waiting work and preempts other work for urgent work that does not fit.
func (e *Engine) runPass(now time.Time) {
	units := e.waitingUnits(now)
	if len(units) == 0 {
		return
	}
	view := e.schedulableView(now)
	e.logSummary(units, view, now)
	var demands map[string]*priorityDemand
	for _, unit := range units {
		if demands == nil && unit.tier != tierUrgent {
			e.reserveHeadroom(units, view, now)
			demands = e.priorityDemands(units, view)
		}
		unit.heldBack = demands[unit.job.queue.Pool].holdsBack(unit)
		if unit.heldBack || e.allowedStarts(unit) == 0 {
			continue
		}
		e.placeUnit(unit, view, now)
	}
	e.requestAdvice(view, now)
	e.startDelayedUnits(units, view, now)
}

// schedulableView returns a view of the free capacity of the schedulable nodes.
func (e *Engine) schedulableView(now time.Time) *view {
	e.expireReservations(now)
	nodes := make([]*node, 0, len(e.nodeOrder))
	for _, n := range e.nodeOrder {
		if n.schedulable(now) && e.capacityTrusted(n, now) {
			nodes = append(nodes, n)
		}
	}
	return e.viewOf(nodes)
}

// expireReservations drops the reservations that have expired.
func (e *Engine) expireReservations(now time.Time) {
	for _, job := range e.active {
		if job.reservation != nil && !now.Before(job.reservation.expiresAt) {
			job.reservation = nil
		}
	}
}

// viewOf returns a view of the free capacity of the given nodes, less reserved capacity.
func (e *Engine) viewOf(nodes []*node) *view {
	v := newView(nodes)
	v.speedsSignificant = e.speedVariance.significant
	for _, job := range e.active {
		if job.reservation == nil {
			continue
		}
		for _, p := range job.reservation.placements {
			v.allocate(p.node, p.task.step.need())
		}
	}
	return v
}

// usable reports whether a node can accept new work.
func (n *node) usable(now time.Time) bool {
	present := n.listed && n.reported && n.answering && !n.entry.Leaving && !n.evacuated
	return present && n.unknownRuns == 0 && !now.Before(n.fullUntil) && !now.Before(n.strayAcksArriveUntil)
}

// schedulable reports whether a node can accept new work and is neither isolated nor in
// backoff.
func (n *node) schedulable(now time.Time) bool {
	return n.usable(now) && n.isolatedRuns == 0 && !now.Before(n.health.backoffUntil)
}

// placeUnit places the tasks of a unit. If none fits, it queues the unit for advice
// and, if it is urgent, preempts other work.
func (e *Engine) placeUnit(unit *unit, view *view, now time.Time) {
	reservation := unit.releaseReservation(view)
	placements := e.limitStarts(unit, e.findPlacements(unit, reservation, view, now))
	if len(placements) > 0 {
		e.assumeUnit(unit, placements, view, now)
		if len(placements) < len(unit.tasks) {
			e.queueForAdvice(unit)
		}
		return
	}
	if reservation != nil {
		unit.reserve(reservation, view)
		return
	}
	e.queueForAdvice(unit)
	if unit.urgent() && !unit.isolated {
		e.preempt(unit, view, now)
	}
}

// releaseReservation returns a unit's reserved capacity to the view for the unit's own use, and
// returns the reservation.
func (u *unit) releaseReservation(view *view) *reservation {
	reservation := u.job.reservation
	if reservation == nil || reservation.step != u.step || u.isolated {
		return nil
	}
	for _, p := range reservation.placements {
		view.release(p.node, u.step.need())
	}
	clear(view.failed) // the reserved capacity is free for this unit
	u.job.reservation = nil
	return reservation
}

// reserve withholds the capacity of a reservation from other units.
func (u *unit) reserve(reservation *reservation, view *view) {
	u.job.reservation = reservation
	for _, p := range reservation.placements {
		view.allocate(p.node, u.step.need())
	}
}

// findPlacements finds placements for a unit. With a reservation they are in the rack that suits
// the step, or those of the reservation itself.
func (e *Engine) findPlacements(unit *unit, reservation *reservation, view *view, now time.Time) []placement {
	if reservation == nil {
		return e.preferredPlacements(unit, view, now)
	}
	if placements := view.fit(unit, true); placements != nil {
		return placements
	}
	return view.stillAvailable(unit, reservation.placements)
}

// assumeUnit assumes the given placements of a unit. The runs of a gang get the same number.
func (e *Engine) assumeUnit(unit *unit, placements []placement, view *view, now time.Time) {
	number := 0
	if unit.step.spec.Gang {
		for _, task := range unit.step.tasks {
			number = max(number, task.lastRun)
		}
		number++
	}
	for _, p := range placements {
		runNumber := number
		if runNumber == 0 {
			runNumber = p.task.lastRun + 1
		}
		if unit.isolated {
			view.exclude(p.node)
		} else {
			view.allocate(p.node, unit.step.need())
		}
		e.assume(p.task, p.node, runNumber)
	}
	e.logEvent("placed", unit.job, placements[0].node.entry.ID, "step "+strconv.Itoa(placements[0].task.key.Step)+
		" tasks "+strconv.Itoa(len(placements))+" of "+strconv.Itoa(len(unit.step.tasks))+
		" tier "+strconv.Itoa(int(unit.tier))+" waited_ms "+strconv.FormatInt(now.Sub(unit.step.readyAt).Milliseconds(), 10))
}
