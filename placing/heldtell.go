package placing

import (
	"strconv"
	"strings"
	"time"
)

// poolWatchGap is how long after a look a pool is still taken to have been idle since.
const poolWatchGap = time.Second

// idlePool is since when a pool has been idle, and when that was last seen.
type idlePool struct{ since, seen time.Time }

// watchPools notes since when pools have been idle.
func (h *holdUps) watchPools() {
	pools := h.engine.idlePools
	for _, known := range h.engine.nodeOrder {
		pool := known.entry.Pool
		was := pools[pool]
		switch {
		case was.seen.Equal(h.now):
		case h.use(pool) >= idleUse:
			pools[pool] = idlePool{since: time.Time{}, seen: h.now}
		case was.since.IsZero() || h.now.Sub(was.seen) > poolWatchGap:
			pools[pool] = idlePool{since: h.now, seen: h.now}
		default:
			pools[pool] = idlePool{since: was.since, seen: h.now}
		}
	}
}

// tells reports whether it is time to tell what holds a unit back.
func (h *holdUps) tells(unit *unit) bool {
	waits := h.now.Sub(unit.step.readyAt) >= heldAfter && h.now.Sub(unit.step.toldHeld) >= heldTold
	return waits && h.told < tellMost
}

// overdue reports whether a unit has waited for longer than users expect in an idle pool with
// plenty of room, under this holder. It does not go by what bounds the wait.
func (h *holdUps) overdue(unit *unit) bool {
	if !unit.mustNotStand() {
		return false
	}
	waits := unit.step.readyAt
	for _, task := range unit.tasks {
		waits = latest(waits, task.overAt)
	}
	idle := h.engine.idlePools[unit.job.queue.Pool].since
	return !idle.IsZero() && h.now.Sub(latest(idle, waits)) >= overdueAfter && h.plenty(unit)
}

// tell notes by which preferences a unit is held back from some seats.
func (h *holdUps) tell(unit *unit, seats []seat) {
	h.told++
	unit.step.toldHeld = h.now
	event := "start_held"
	if h.overdue(unit) {
		event = "start_overdue"
	}
	against := unit.against(seats, h.kept[unit.step.class()], h.now)
	h.engine.note(event, unit.job, "", "step "+strconv.Itoa(unit.tasks[0].key.Step)+" tasks "+strconv.Itoa(len(unit.tasks))+
		" tier "+strconv.Itoa(int(unit.tier))+" waited_ms "+strconv.FormatInt(h.now.Sub(unit.step.readyAt).Milliseconds(), 10)+
		" for "+strings.Join(against, ",")+" room_for "+strconv.Itoa(h.roomFor(unit))+
		" pool_used_percent "+strconv.Itoa(int(100*h.use(unit.job.queue.Pool))))
}
