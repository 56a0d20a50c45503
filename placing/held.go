package placing

import (
	"strconv"
	"strings"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Work that fits on workers that can be used may still wait: another place suits it better,
// or the room is better left to other work. Each such preference costs the work time. What
// holds a step back, for how long and with how much room free is told here, and the wait is
// bounded: in a pool that is mostly idle, and for tasks that last in any, a step begins on
// whatever workers can be used soon after its turn came, whoever held the term meanwhile.

const (
	// heldLook is the time between two looks for steps that are held back.
	heldLook = 250 * time.Millisecond
	// heldAfter is how long a step waits before it is told what holds it back, and heldTold
	// how often that is told again.
	heldAfter = time.Second
	heldTold  = 2 * time.Second
	// beginWithin is how long preferences may hold a step back in an idle pool, and a lasting
	// task anywhere. It leaves a second of overdueAfter for the look, the record and the start.
	beginWithin = 1750 * time.Millisecond
	// settleTime is how long a holder has known of the step by then: in its first moments
	// most workers have not reported to it yet.
	settleTime = time.Second
	// overdueAfter is the time within which users expect a step whose turn has come to begin
	// in an idle pool with room for it.
	overdueAfter = 3 * time.Second
	// idleUse is the share in use below which a pool is idle.
	idleUse = 0.5
	// plentyTimes is how often over a step has to fit for users to expect that.
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
		if now.Sub(unit.step.readyAt) < heldAfter || !look.idle(unit) && !look.untold(unit) {
			continue
		}
		rest := unit.unseated()
		if len(rest.tasks) == 0 {
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
	begins := len(seats) > 0 && h.mustBegin(unit)
	if held != nil && !begins {
		unit.setAside(held, h.room)
	}
	if len(seats) > 0 && (begins || h.untold(unit)) {
		h.tell(unit, seats)
	}
	if begins {
		h.engine.seat(unit, seats, h.room, h.now)
		delete(h.used, unit.job.queue.Pool)
	}
}

// watch notes since when a unit has waited beside the room in which users expect it to
// begin.
func (h *holdUps) watch(unit *unit, seats []seat) {
	plenty := len(seats) > 0 && h.idle(unit) && h.roomFor(unit) >= plentyTimes*len(unit.tasks)
	if !plenty {
		unit.step.roomSince = time.Time{}
	} else if unit.step.roomSince.IsZero() {
		unit.step.roomSince = h.now
	}
}

// overdue reports whether a unit has waited for longer than users expect beside such room.
func (h *holdUps) overdue(step *step) bool {
	waited := h.now.Sub(step.readyAt) >= overdueAfter
	return waited && !step.roomSince.IsZero() && h.now.Sub(step.roomSince) >= overdueAfter-heldAfter
}

// mustBegin reports whether preferences may hold a unit back no more.
func (h *holdUps) mustBegin(unit *unit) bool {
	known := h.now.Sub(unit.step.readyAt) >= beginWithin && h.now.Sub(unit.step.seenAt) >= settleTime
	return known && h.idle(unit)
}

// idle reports whether a unit's pool is idle, as it always counts for tasks that last.
func (h *holdUps) idle(unit *unit) bool {
	return unit.step.spec.Lasting || h.use(unit.job.queue.Pool) < idleUse
}

// roomFor is how many tasks like a unit's there is room for.
func (h *holdUps) roomFor(unit *unit) int {
	_, room := h.room.options(unit, h.room.nodes)
	return room
}

// untold reports whether it was not told lately what holds a unit back.
func (h *holdUps) untold(unit *unit) bool { return h.now.Sub(unit.step.toldHeld) >= heldTold }

// use is the share of a pool that is in use, of the resource of which most is.
func (h *holdUps) use(pool string) float64 {
	if known, seen := h.used[pool]; seen {
		return known
	}
	var used, whole jobs.Resources
	for _, known := range h.engine.nodeOrder {
		if known.entry.Pool == pool && !known.evacuated {
			used = used.Add(known.used)
			whole = whole.Add(known.entry.Capacity)
		}
	}
	h.used[pool] = part(used, whole)
	return h.used[pool]
}

// tell notes by which preferences a unit is held back from some seats.
func (h *holdUps) tell(unit *unit, seats []seat) {
	unit.step.toldHeld = h.now
	event := "start_held"
	if h.overdue(unit.step) {
		event = "start_overdue"
	}
	against := unit.against(seats, h.kept[unit.step.class()], h.now)
	h.engine.note(event, unit.job, "", "step "+strconv.Itoa(unit.tasks[0].key.Step)+" tasks "+strconv.Itoa(len(unit.tasks))+
		" tier "+strconv.Itoa(int(unit.tier))+" waited_ms "+strconv.FormatInt(h.now.Sub(unit.step.readyAt).Milliseconds(), 10)+
		" for "+strings.Join(against, ",")+" room_for "+strconv.Itoa(h.roomFor(unit))+
		" pool_used_percent "+strconv.Itoa(int(100*h.use(unit.job.queue.Pool))))
}
