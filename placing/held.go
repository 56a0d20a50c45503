package placing

import (
	"strconv"
	"strings"
	"time"
)

// Work that fits on workers that can be used may still wait: another place suits it better,
// or the room is better left to other work. Each such preference costs the work time. What
// holds a step back, for how long and with how much room free is told here.

const (
	// heldLook is the time between two looks for steps that are held back.
	heldLook = 250 * time.Millisecond
	// heldAfter is how long a step waits before it is told what holds it back, and heldTold
	// how often that is told again.
	heldAfter = time.Second
	heldTold  = 2 * time.Second
	// overdueAfter is the time within which users expect a step whose turn has come to begin
	// while its pool is mostly idle.
	overdueAfter = 3 * time.Second
	// idleUse is the share of a pool in use below which users expect that.
	idleUse = 0.5
	// plentyTimes is how often over a step has to fit for that.
	plentyTimes = 2
)

// preference is a reason to leave work waiting though it fits somewhere.
type preference int

const (
	preferOneRack   preference = iota // a gang's tasks in one rack
	preferDataRack                    // the rack where the data lies
	preferKeptClear                   // room that is kept clear of work that can wait
	preferRested                      // workers that rest after failures
	preferApart                       // a worker that a suspected task has to itself
	preferEmpty                       // an empty and steady worker for a suspected task
	preferOther                       // another worker than the last that it failed on
	preferences
)

var preferenceNames = [preferences]string{"one_rack", "data_rack", "kept_clear", "rested", "apart", "empty", "other_worker"}

// tellHeld says which units wait although they fit somewhere, and why.
func (e *Engine) tellHeld(units []*unit, open *view, now time.Time) {
	if now.Sub(e.heldAt) < heldLook {
		return
	}
	e.heldAt = now
	var waiting []*unit
	for _, unit := range units {
		if rest := unit.unseated(); len(rest.tasks) > 0 && now.Sub(unit.step.readyAt) >= heldAfter && now.Sub(unit.step.toldHeld) >= heldTold {
			waiting = append(waiting, rest)
		}
	}
	if len(waiting) == 0 {
		return
	}
	kept := open.keptNodes()
	fallback := e.fallback(now)
	for _, unit := range waiting {
		if seats := fallback.fit(unit, false); seats != nil {
			e.noteHeld(unit, seats, kept, fallback, now)
		}
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

// fallback is the view of all nodes that can be used, whether they are better left alone
// or not. Nodes are numbered anew: older views are not to be used after it.
func (e *Engine) fallback(now time.Time) *view {
	var nodes []*node
	for _, known := range e.nodeOrder {
		if known.usable(now) && e.roomKnown(known, now) {
			nodes = append(nodes, known)
		}
	}
	return e.viewOf(nodes)
}

// keptNodes are the nodes that are kept clear, by the class of work that they are kept
// clear of.
func (v *view) keptNodes() [classes]map[*node]bool {
	var kept [classes]map[*node]bool
	for class, closed := range v.closed {
		kept[class] = map[*node]bool{}
		for at, isClosed := range closed {
			if isClosed {
				kept[class][v.nodes[at]] = true
			}
		}
	}
	return kept
}

func (e *Engine) noteHeld(unit *unit, seats []seat, kept [classes]map[*node]bool, fallback *view, now time.Time) {
	unit.step.toldHeld = now
	waited := now.Sub(unit.step.readyAt)
	used := e.poolUse(unit.job.queue.Pool)
	_, room := fallback.options(unit, fallback.nodes)
	plenty := room >= plentyTimes*len(unit.tasks)
	event := "start_held"
	if waited >= overdueAfter && used < idleUse && plenty {
		event = "start_overdue"
	}
	e.note(event, unit.job, "", "step "+strconv.Itoa(unit.tasks[0].key.Step)+" tasks "+strconv.Itoa(len(unit.tasks))+
		" tier "+strconv.Itoa(int(unit.tier))+" waited_ms "+strconv.FormatInt(waited.Milliseconds(), 10)+
		" for "+strings.Join(unit.givenUp(seats, kept, now), ",")+" room_for "+strconv.Itoa(room)+
		" pool_used_percent "+strconv.Itoa(int(100*used)))
}

// poolUse is the share of a pool that is in use, in cores.
func (e *Engine) poolUse(pool string) float64 {
	var used, whole int64
	for _, known := range e.nodeOrder {
		if known.entry.Pool == pool && !known.evacuated {
			used += weighCores(known.used)
			whole += weighCores(known.entry.Capacity)
		}
	}
	return share(used, whole)
}

// givenUp names the preferences that a unit's seats would go against.
func (u *unit) givenUp(seats []seat, kept [classes]map[*node]bool, now time.Time) []string {
	var against [preferences]bool
	spec := u.step.spec
	for _, seat := range seats {
		node := seat.node
		against[preferOneRack] = against[preferOneRack] || spec.Gang && spec.OneRack && node.entry.Rack != seats[0].node.entry.Rack
		against[preferDataRack] = against[preferDataRack] || spec.DataRack != "" && node.entry.Rack != spec.DataRack
		against[preferKeptClear] = against[preferKeptClear] || kept[u.step.class()][node]
		against[preferRested] = against[preferRested] || now.Before(node.health.until)
		against[preferApart] = against[preferApart] || node.isolating > 0
		against[preferEmpty] = against[preferEmpty] || u.isolated && len(node.runs) > 0
		against[preferOther] = against[preferOther] || u.tasks[0].avoid == node.entry.ID
	}
	var names []string
	for preference, isAgainst := range against {
		if isAgainst {
			names = append(names, preferenceNames[preference])
		}
	}
	return names
}
