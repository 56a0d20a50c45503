package placing

import (
	"math"
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
// as far as that could hold it; what of it has no room there goes elsewhere.
func (e *Engine) bestSeats(unit *unit, open *view, now time.Time) []seat {
	if unit.isolated || !unit.wantsRack() || !e.patient(unit, now) {
		return open.fit(unit, false)
	}
	held := e.heldByRack(unit, open, now)
	if held == 0 {
		return open.fit(unit, false)
	}
	near := open.fit(unit, true)
	elsewhere := len(unit.tasks) - max(held, len(near))
	if elsewhere == 0 {
		return near
	}
	all := open.fit(unit, false) // those near come first
	return all[:min(len(all), len(near)+elsewhere)]
}

// wantsRack reports whether the unit is slower outside of one rack.
func (u *unit) wantsRack() bool {
	return u.step.spec.Gang && u.step.spec.OneRack || u.step.spec.DataRack != ""
}

// patient reports whether a step's patience is not over.
func (e *Engine) patient(unit *unit, now time.Time) bool {
	patience := time.Duration(rackPatience * float64(e.runtime(unit.job, unit.tasks[0].key.Step)))
	if unit.tier == tierUrgent {
		patience = min(patience, e.urgentPatience())
	}
	return now.Sub(unit.step.readyAt) < patience
}

// waitsForRack reports whether a unit still waits for a rack that could hold it.
func (e *Engine) waitsForRack(unit *unit, open *view, now time.Time) bool {
	return e.patient(unit, now) && e.heldByRack(unit, open, now) > 0
}

// heldByRack is how many of a unit's tasks its rack could hold; of a gang all or none.
func (e *Engine) heldByRack(unit *unit, open *view, now time.Time) int {
	rooms := e.roomsOfRacks(unit, open, now)
	if !unit.step.spec.Gang {
		return min(len(unit.tasks), rooms[unit.step.spec.DataRack])
	}
	for _, room := range rooms {
		if room >= len(unit.tasks) {
			return len(unit.tasks)
		}
	}
	return 0
}

// roomsOfRacks is how many tasks like a unit's each rack that suits it could hold. Alike
// units of a pass share the sums.
func (e *Engine) roomsOfRacks(unit *unit, open *view, now time.Time) map[string]int {
	key := open.kind(unit, true)
	alike := unit.step.spec.PerWorker == 0 && !unit.job.queue.Advised
	if known := open.rackRooms[key]; known != nil && alike {
		return known
	}
	rooms := map[string]int{}
	for _, known := range e.nodeOrder {
		if known.expected(now) && unit.mayUse(known) && unit.suitedBy(known.entry.Rack) {
			rooms[known.entry.Rack] += unit.roomOn(known)
		}
	}
	if alike {
		open.rackRooms[key] = rooms
	}
	return rooms
}

// heldWithout reports whether workers other than one could hold a unit, of tasks that start
// alone one.
func (e *Engine) heldWithout(unit *unit, avoided string) bool {
	wanted := 1
	if unit.step.spec.Gang {
		wanted = len(unit.tasks)
	}
	for _, known := range e.nodeOrder {
		if known.entry.ID != avoided && known.expected(unit.now) && unit.mayUse(known) {
			wanted -= unit.roomOn(known)
		}
		if wanted <= 0 {
			return true
		}
	}
	return false
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

// roomOn is how many tasks like a unit's a node could hold beside what lasts there.
func (u *unit) roomOn(known *node) int {
	free := known.entry.Capacity
	for _, run := range known.runs {
		if run.task.step.spec.Lasting && run.stopSentAt.IsZero() {
			free = free.Sub(run.need())
		}
	}
	need := u.step.need()
	room := quotient(free.Accelerators, need.Accelerators, math.MaxInt32)
	room = quotient(free.MilliCores, need.MilliCores, room)
	room = quotient(free.MemoryMB, need.MemoryMB, room)
	if u.step.spec.PerWorker > 0 {
		room = min(room, u.step.spec.PerWorker-known.countOf(u.step))
	}
	return max(0, room)
}
