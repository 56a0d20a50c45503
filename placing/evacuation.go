package placing

import (
	"strconv"
	"time"
)

// Operators evacuate an availability zone when its workers are to get nothing new: ahead of
// work on its power or its network. From the moment that this is known nothing is placed
// there, and what was placed and not yet ordered is placed elsewhere. What runs there goes
// on. The zone's room counts for nothing until it is taken back.

// unansweredStartTimeout is how long a start that was sent before its zone was evacuated may go
// unanswered: as long as its tries take. After it the run is stopped.
const unansweredStartTimeout = time.Second

// evacuations are the zones that get nothing new, and how far that is known.
type evacuations struct {
	since  map[string]time.Time // when each zone was known to be evacuated
	readAt time.Time            // as of when the zones are known
	stale  bool                 // that was too long ago at the last look
}

// Evacuate takes the availability zones that are evacuated, as they are known now.
func (e *Engine) Evacuate(zones []string, now time.Time) {
	former := e.evacuations.since
	e.evacuations.since = make(map[string]time.Time, len(zones))
	for _, zone := range zones {
		since, n := former[zone]
		if !n {
			since = now
		}
		e.evacuations.since[zone] = since
	}
	for _, n := range e.nodeOrder {
		e.updateEvacuated(n, now)
	}
	e.withdrawStarts(now)
	e.dropEvacuatedReservations()
}

// withdrawStarts takes orders out of the plan that has not been carried out yet.
func (e *Engine) withdrawStarts(now time.Time) {
	orders := e.plan.Starts
	e.plan.Starts = nil
	for _, order := range orders {
		n := e.nodes[order.Worker]
		if n == nil || !n.evacuated {
			e.plan.Starts = append(e.plan.Starts, order)
			continue
		}
		if run := n.findRun(order.Task, order.Run); run != nil {
			e.endRun(run, zoneEvacuatedReason(n), now)
		}
	}
}

// EvacuationsSeen says as of when the evacuated zones are known.
func (e *Engine) EvacuationsSeen(at time.Time) { e.evacuations.readAt = at }

// updateEvacuated takes what is known of a node's zone into its books.
func (e *Engine) updateEvacuated(n *node, now time.Time) {
	_, evacuated := e.evacuations.since[n.entry.Zone]
	if n.evacuated == evacuated {
		return
	}
	n.evacuated = evacuated
	if !evacuated {
		return
	}
	for _, run := range append([]*run(nil), n.runs...) {
		if run.phase == phasePlanned {
			e.endRun(run, zoneEvacuatedReason(n), now)
		}
	}
}

// zoneEvacuatedReason is why something does not run on a node, for the log.
func zoneEvacuatedReason(n *node) string {
	return "availability zone " + strconv.Quote(n.entry.Zone) + " evacuated"
}

// dropEvacuatedReservations gives up room that is set aside where it may not be used.
func (e *Engine) dropEvacuatedReservations() {
	for _, job := range e.active {
		if job.reservation != nil && job.reservation.inEvacuatedZone() {
			job.reservation = nil
		}
	}
}

func (c *reservation) inEvacuatedZone() bool {
	for _, seat := range c.placements {
		if seat.node.evacuated {
			return true
		}
	}
	return false
}

// evacuationsFresh reports whether the evacuated zones are known well enough to start
// something: half of the time that the operators allow is left for orders on their way.
func (e *Engine) evacuationsFresh(now time.Time) bool {
	return e.limits.Evacuate <= 0 || now.Sub(e.evacuations.readAt) <= e.limits.Evacuate/2
}

// logEvacuationsFreshness notes when nothing is placed for want of knowing the evacuated zones.
func (e *Engine) logEvacuationsFreshness(now time.Time) {
	stale := !e.evacuationsFresh(now)
	if stale == e.evacuations.stale {
		return
	}
	e.evacuations.stale = stale
	event := "evacuations_known"
	if stale {
		event = "evacuations_unknown"
	}
	e.plan.Notes = append(e.plan.Notes, Note{Event: event,
		Detail: "age_ms " + strconv.FormatInt(now.Sub(e.evacuations.readAt).Milliseconds(), 10)})
}

// stopUnansweredStarts stops runs whose starts have gone unanswered since their zone was
// evacuated: such an order may wait somewhere on its way.
func (e *Engine) stopUnansweredStarts(now time.Time) {
	if len(e.evacuations.since) == 0 {
		return
	}
	for _, n := range e.nodeOrder {
		if !n.evacuated || now.Sub(e.evacuations.since[n.entry.Zone]) < unansweredStartTimeout {
			continue
		}
		for _, run := range append([]*run(nil), n.runs...) {
			if run.phase == phaseOrdered && run.task.run == run {
				e.stopRunOrGang(run, zoneEvacuatedReason(n), now)
			}
		}
	}
}
