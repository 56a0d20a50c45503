package placing

import (
	"strconv"
	"strings"
	"time"
)

// Work that fits on workers that can be used may still wait: another place suits it better,
// or the room is better left to other work. Each such preference costs the work time. What
// holds a step back, for how long and with how much room free is told here, and the wait is
// bounded: in a pool that is mostly idle, and for tasks that last in any, a step that fits
// twice over begins within some seconds on whatever workers can be used.

const (
	// heldLook is the time between two looks for steps that are held back.
	heldLook = 250 * time.Millisecond
	// heldAfter is how long a step waits before it is told what holds it back, and heldTold
	// how often that is told again.
	heldAfter = time.Second
	heldTold  = 2 * time.Second
	// overdueAfter is the time within which users expect a step whose turn has come to begin
	// in an idle pool with plenty of room.
	overdueAfter = 3 * time.Second
	// beginWithin is how long preferences may hold a step back there. It leaves a second for
	// two looks, the record and the start.
	beginWithin = 2 * time.Second
	// settleTime is how long a holder may wait for the workers of a pool to report to it.
	settleTime = time.Second
	// idleUse is the share in use below which a pool is idle.
	idleUse = 0.5
	// plentyTimes is how often over a step fits where there is plenty of room.
	plentyTimes = 2
)

// holdUps are the steps that preferences hold back, as seen in one look.
type holdUps struct {
	engine *Engine
	now    time.Time
	room   *view                   // of all nodes that can be used
	kept   [classes]map[*node]bool // kept clear of classes of work
	used   map[string]float64      // share of pools in use
}

// relieve seats units that preferences have held back for long enough, and says of others
// that wait although they fit somewhere why they do. The pass's own view is not to be used
// after it.
func (e *Engine) relieve(units []*unit, open *view, now time.Time) {
	if now.Sub(e.heldAt) < heldLook {
		return
	}
	e.heldAt = now
	look := &holdUps{engine: e, now: now, used: map[string]float64{}}
	for _, unit := range units {
		tells := now.Sub(unit.step.readyAt) >= heldAfter && look.untold(unit)
		if !look.idle(unit) && !tells {
			unit.step.roomSince = time.Time{}
			continue
		}
		rest := unit.unseated()
		if len(rest.tasks) == 0 {
			unit.step.roomSince = time.Time{}
			continue
		}
		if look.room == nil {
			look.kept = open.keptNodes()
			look.room = e.usableView(now)
		}
		look.settle(rest)
	}
}

// unseated is what of a unit has no seat yet, free of all preferences.
func (u *unit) unseated() *unit {
	rest := *u
	rest.tasks = nil
	for _, task := range u.tasks {
		if task.run == nil {
			rest.tasks = append(rest.tasks, task)
		}
	}
	rest.patient = false
	rest.emptyOnly = false
	rest.anywhere = true
	return &rest
}

// usableView is the view of all nodes that can be used, whether they are better left alone
// or not. It numbers nodes anew.
func (e *Engine) usableView(now time.Time) *view {
	var nodes []*node
	for _, known := range e.nodeOrder {
		if known.usable(now) && e.roomKnown(known, now) {
			nodes = append(nodes, known)
		}
	}
	return e.viewOf(nodes)
}

// settle seats a unit if it must begin and there is room, and else tells what holds it back.
func (h *holdUps) settle(unit *unit) {
	held := unit.takeBack(h.room, h.now)
	seats := h.room.fit(unit, false)
	h.watch(unit, seats)
	begins := h.mustBegin(unit.step)
	if held != nil && !begins {
		unit.setAside(held, h.room)
	}
	tells := begins || h.untold(unit) && h.now.Sub(unit.step.readyAt) >= heldAfter
	if tells && len(seats) > 0 {
		h.tell(unit, seats)
	}
	if begins {
		h.engine.seat(unit, seats, h.room, h.now)
		delete(h.used, unit.job.queue.Pool)
	}
}

// watch notes since when a unit has waited in an idle pool with plenty of room.
func (h *holdUps) watch(unit *unit, seats []seat) {
	plenty := len(seats) > 0 && h.idle(unit) && h.roomFor(unit) >= plentyTimes*len(unit.tasks)
	if !plenty {
		unit.step.roomSince = time.Time{}
	} else if unit.step.roomSince.IsZero() {
		unit.step.roomSince = h.now
	}
}

// mustBegin reports whether preferences may hold a step back no more. How much room there
// was under former holders of the term is not known: the wait there counts in full.
func (h *holdUps) mustBegin(step *step) bool {
	if step.roomSince.IsZero() || !h.settled(step) {
		return false
	}
	inherited := step.seenAt.Sub(step.readyAt) >= settleTime
	return h.now.Sub(step.roomSince) >= beginWithin || inherited && h.now.Sub(step.readyAt) >= beginWithin
}

// settled reports whether the workers of a step's pool have reported to this holder, or
// have had the time to.
func (h *holdUps) settled(step *step) bool {
	if h.now.Sub(step.seenAt) >= settleTime {
		return true
	}
	for _, known := range h.engine.nodeOrder {
		if known.entry.Pool == step.job.queue.Pool && !known.reported && known.expected(h.now) {
			return false
		}
	}
	return true
}

// idle reports whether a unit's pool is idle, as it always counts for tasks that last.
func (h *holdUps) idle(unit *unit) bool {
	return unit.step.spec.Lasting || h.use(unit.job.queue.Pool) < idleUse
}

// roomFor is how many tasks like a unit's there is room for, counted up to what is plenty on
// each worker.
func (h *holdUps) roomFor(unit *unit) int {
	room := 0
	for _, node := range h.room.nodes {
		if node.serves(unit) {
			room += h.room.seats(node, unit.step, unit.step.need(), plentyTimes*len(unit.tasks))
		}
	}
	return room
}

// untold reports whether it was not told lately what holds a unit back.
func (h *holdUps) untold(unit *unit) bool { return h.now.Sub(unit.step.toldHeld) >= heldTold }

// use is the share of a pool that is in use, in cores.
func (h *holdUps) use(pool string) float64 {
	if known, seen := h.used[pool]; seen {
		return known
	}
	var used, whole int64
	for _, known := range h.engine.nodeOrder {
		if known.entry.Pool == pool && !known.evacuated {
			used += weighCores(known.used)
			whole += weighCores(known.entry.Capacity)
		}
	}
	h.used[pool] = share(used, whole)
	return h.used[pool]
}

// tell notes by which preferences a unit is held back from some seats.
func (h *holdUps) tell(unit *unit, seats []seat) {
	unit.step.toldHeld = h.now
	event := "start_held"
	if since := unit.step.roomSince; !since.IsZero() && h.now.Sub(since) >= overdueAfter {
		event = "start_overdue"
	}
	against := unit.against(seats, h.kept[unit.step.class()], h.now)
	h.engine.note(event, unit.job, "", "step "+strconv.Itoa(unit.tasks[0].key.Step)+" tasks "+strconv.Itoa(len(unit.tasks))+
		" tier "+strconv.Itoa(int(unit.tier))+" waited_ms "+strconv.FormatInt(h.now.Sub(unit.step.readyAt).Milliseconds(), 10)+
		" for "+strings.Join(against, ",")+" room_for "+strconv.Itoa(h.roomFor(unit))+
		" pool_used_percent "+strconv.Itoa(int(100*h.use(unit.job.queue.Pool))))
}
