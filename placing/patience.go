package placing

import (
	"slices"
	"time"
)

const (
	// rackPatience is how long a step waits for the rack that suits it, as a
	// share of its expected run time: away from it, it takes three times as
	// long, so waiting up to its own run time is the better choice.
	rackPatience = 1.0
	// urgentShare of the reclaim time replaces it for urgent steps, which must
	// have begun within all of it, and of which some must be stopped for.
	urgentShare = 0.4
	// backSoon is how long a worker that has fallen silent is expected back: within it
	// connections that were reset are opened again.
	backSoon = time.Second
)

// bestSeats finds seats for a unit where it suits it best. A step waits for its rack only
// while that can come free in time; what of it cannot find room there goes elsewhere.
func (e *Engine) bestSeats(unit *unit, open *view, now time.Time) []seat {
	if unit.isolated || !unit.wantsRack() {
		return open.fit(unit, false)
	}
	near := open.fit(unit, true)
	if len(near) == len(unit.tasks) {
		return near
	}
	all := open.fit(unit, false)
	if len(all) == len(near) {
		return near
	}
	elsewhere := len(unit.tasks) - max(len(near), e.coming(unit, now))
	return all[:min(len(all), len(near)+elsewhere)]
}

// wantsRack reports whether the unit is slower outside of one rack.
func (u *unit) wantsRack() bool {
	return u.step.spec.Gang && u.step.spec.OneRack || u.step.spec.DataRack != ""
}

// patience is how much longer a step may wait for its rack.
func (e *Engine) patience(unit *unit, now time.Time) time.Duration {
	patience := time.Duration(rackPatience * float64(e.runtime(unit.job, unit.tasks[0].key.Step)))
	if unit.tier == tierUrgent {
		patience = min(patience, e.urgentPatience())
	}
	return patience - now.Sub(unit.step.readyAt)
}

// coming is how many of a unit's tasks may find room in its rack, now or while that is worth
// waiting for; of a gang all or none.
func (e *Engine) coming(unit *unit, now time.Time) int {
	left := e.patience(unit, now)
	if left <= 0 {
		return 0
	}
	rooms := e.roomsOfRacks(unit, now.Add(left), now)
	if unit.step.spec.Gang {
		if len(rooms) > 0 && slices.Max(rooms) >= len(unit.tasks) {
			return len(unit.tasks)
		}
		return 0
	}
	room := 0
	for _, each := range rooms {
		room += each
	}
	return min(len(unit.tasks), room)
}

// roomsOfRacks is how many of a unit's tasks each rack that suits it has room for once what
// is expected to end by some time has ended.
func (e *Engine) roomsOfRacks(unit *unit, by, now time.Time) []int {
	rooms := map[string]int{}
	for _, known := range e.nodeOrder {
		if !known.expected(now) || !unit.mayUse(known) || !unit.suitedBy(known.entry.Rack) {
			continue
		}
		rooms[known.entry.Rack] += e.roomBy(unit, known, by, now)
	}
	list := make([]int, 0, len(rooms))
	for _, room := range rooms {
		list = append(list, room)
	}
	return list
}

// expected reports whether a node can get new work soon, as far as is known: it stays, and
// answers, has not been heard of in this term, or fell silent only just now.
func (n *node) expected(now time.Time) bool {
	stays := n.listed && !n.entry.Leaving && !n.evacuated
	return stays && (n.silentAt.IsZero() || now.Sub(n.silentAt) < backSoon)
}

// suitedBy reports whether a unit may be waiting for a rack.
func (u *unit) suitedBy(rack string) bool {
	return u.step.spec.Gang && u.step.spec.OneRack || rack == u.step.spec.DataRack
}

// roomBy is how many of a unit's tasks a node has room for by some time.
func (e *Engine) roomBy(unit *unit, known *node, by, now time.Time) int {
	free := known.entry.Capacity
	for _, run := range known.runs {
		if !e.endsBy(run, by, now) {
			free = free.Sub(run.need())
		}
	}
	need := unit.step.need()
	room := quotient(free.Accelerators, need.Accelerators, len(unit.tasks))
	room = quotient(free.MilliCores, need.MilliCores, room)
	room = quotient(free.MemoryMB, need.MemoryMB, room)
	if unit.step.spec.PerWorker > 0 {
		room = min(room, unit.step.spec.PerWorker)
	}
	return room
}

// endsBy reports whether a run is expected to be over by some time.
func (e *Engine) endsBy(run *run, by, now time.Time) bool {
	switch {
	case !run.stopSentAt.IsZero():
		return true
	case run.task.step.spec.Lasting:
		return false
	case run.startedAt.IsZero():
		return !now.Add(e.runtime(run.task.step.job, run.task.key.Step)).After(by)
	}
	return !now.Add(e.remaining(run, now)).After(by)
}
