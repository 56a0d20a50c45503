package placing

import (
	"math"
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
	// how often that is told again. Telling takes a search: tellMost bounds those of one look.
	heldAfter = time.Second
	heldTold  = 2 * time.Second
	tellMost  = 8
	// overdueAfter is the time within which users expect a step whose turn has come to begin
	// in an idle pool with plenty of room.
	overdueAfter = 3 * time.Second
	// beginWithin is how long preferences may hold a step back there. Up to two looks, the
	// record and the start come on top.
	beginWithin = 2 * time.Second
	// reportTime is within what time the workers of a pool report to a new holder.
	reportTime = time.Second
	// idleUse is the share in use, in cores, below which users expect that. What room is kept
	// clear for goes by the resource of which most is in use, see idleShare.
	idleUse = 0.5
	// plentyTimes is how often over a gang, or a task alone, fits where there is plenty of room.
	plentyTimes = 2
)

// holdUps are the steps that preferences hold back, as seen in one look.
type holdUps struct {
	engine *Engine
	now    time.Time
	room   *view                   // of all nodes that can be used; nil until it is needed
	kept   [classes]map[*node]bool // kept clear of classes of work
	used   map[string]float64      // share of pools in use
	rooms  map[kind]int            // for how many tasks of a kind there is room
	told   int                     // steps that were told of
}

// relieve seats units that preferences have held back for long enough, and says of others
// that wait although they fit somewhere why they do. The pass's own view is not to be used
// after it.
func (e *Engine) relieve(units []*unit, open *view, now time.Time) {
	if now.Sub(e.heldAt) < heldLook {
		return
	}
	e.heldAt = now
	held := &holdUps{engine: e, now: now, used: map[string]float64{}, rooms: map[kind]int{}}
	held.watchPools()
	for _, unit := range units {
		rest := unit.unseated()
		if len(rest.tasks) == 0 {
			continue
		}
		if held.room == nil && (held.idle(unit) || held.tells(unit)) {
			held.kept = open.keptNodes()
			held.room = e.usableView(now)
		}
		held.look(rest)
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

// look seats those of a unit's tasks that must begin, and else tells what holds it back.
func (h *holdUps) look(unit *unit) {
	h.watch(unit)
	due := h.due(unit)
	if len(due.tasks) == 0 && !h.tells(unit) {
		return
	}
	claimed := unit.takeBack(h.room)
	tried := due
	if len(due.tasks) == 0 {
		tried = unit
	}
	seats := h.room.fit(tried, false)
	if len(seats) > 0 && (tried == due || h.tells(unit)) {
		h.tell(unit, seats)
	}
	if len(seats) > 0 && tried == due {
		h.engine.seat(due, seats, h.room, h.now)
		delete(h.used, unit.job.queue.Pool)
		clear(h.rooms)
	} else if claimed != nil {
		unit.setAside(claimed, h.room)
	}
}

// watch notes since when the tasks of a unit have waited in an idle pool with plenty of room
// while nothing of their job was at work; lasting tasks are expected to run each.
func (h *holdUps) watch(unit *unit) {
	plenty := unit.mustNotStand() && h.idle(unit) && h.plenty(unit)
	for _, task := range unit.tasks {
		if !plenty {
			task.roomSince = time.Time{}
		} else if task.roomSince.IsZero() {
			task.roomSince = h.now
		}
	}
}

// mustNotStand reports whether users expect some of a unit's tasks to run: nothing of its job
// does, or each is expected to.
func (u *unit) mustNotStand() bool { return u.step.spec.Lasting || !u.job.atWork() }

// atWork reports whether a task of the job runs, as far as is known.
func (j *job) atWork() bool {
	for _, occurrence := range j.runs {
		for _, step := range occurrence.steps {
			for _, task := range step.tasks {
				if task.run != nil && task.run.phase == phaseRunning && task.run.node.answering {
					return true
				}
			}
		}
	}
	return false
}

// due is what of a unit preferences may hold back no more.
func (h *holdUps) due(unit *unit) *unit {
	due := *unit
	due.tasks = nil
	if !h.reported(unit.step) {
		return &due
	}
	for _, task := range unit.tasks {
		if !task.roomSince.IsZero() && h.now.Sub(task.roomSince) >= beginWithin {
			due.tasks = append(due.tasks, task)
		}
	}
	if unit.step.spec.Gang && len(due.tasks) < len(unit.tasks) {
		due.tasks = nil
	}
	return &due
}

// reported reports whether the workers of a step's pool have reported to this holder, or
// have had the time to.
func (h *holdUps) reported(step *step) bool {
	if h.now.Sub(step.seenAt) >= reportTime {
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

// use is the share of a pool that is in use, in cores, of the workers that are there; all
// where none is.
func (h *holdUps) use(pool string) float64 {
	if known, seen := h.used[pool]; seen {
		return known
	}
	var used, whole int64
	for _, known := range h.engine.nodeOrder {
		if known.entry.Pool == pool && known.listed && known.silentAt.IsZero() && !known.evacuated {
			used += weighCores(known.used)
			whole += weighCores(known.entry.Capacity)
		}
	}
	h.used[pool] = 1
	if whole > 0 {
		h.used[pool] = share(used, whole)
	}
	return h.used[pool]
}

// plenty reports whether a unit's gang fits twice over, or a task of it that starts alone.
func (h *holdUps) plenty(unit *unit) bool {
	wanted := plentyTimes
	if unit.step.spec.Gang {
		wanted *= len(unit.tasks)
	}
	return h.roomFor(unit) >= wanted
}

// roomFor is how many tasks like a unit's there is room for, on workers that may run them by
// all that is known.
func (h *holdUps) roomFor(unit *unit) int {
	key := h.room.kind(unit, false)
	alike := unit.step.spec.PerWorker == 0 && !unit.job.queue.Advised
	if known, seen := h.rooms[key]; seen && alike {
		return known
	}
	room := 0
	for _, node := range h.room.nodes {
		if unit.mayUse(node) && unit.allowedOn(node) {
			room += h.room.seats(node, unit.step, unit.step.need(), math.MaxInt32)
		}
	}
	if alike {
		h.rooms[key] = room
	}
	return room
}
