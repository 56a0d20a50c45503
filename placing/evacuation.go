package placing

import (
	"strconv"
	"time"
)

// Operators evacuate an availability zone when its workers are to get nothing new: ahead of
// work on its power or its network. From the moment that this is known nothing is placed
// there, and what was placed and not yet ordered is placed elsewhere. What runs there goes
// on. The zone's room counts for nothing until it is taken back.

// orderGrace is how long a start that was sent before its zone was evacuated may go
// unanswered: as long as its tries take. After it the run is stopped.
const orderGrace = time.Second

// evacuations are the zones that get nothing new, and how far that is known.
type evacuations struct {
	since  map[string]time.Time // when each zone was known to be evacuated
	seenAt time.Time            // as of when the zones are known
	stale  bool                 // that was too long ago at the last look
}

// Evacuate takes the availability zones that are evacuated, as they are known now.
func (e *Engine) Evacuate(zones []string, now time.Time) {
	former := e.evacuations.since
	e.evacuations.since = make(map[string]time.Time, len(zones))
	for _, zone := range zones {
		since, known := former[zone]
		if !known {
			since = now
		}
		e.evacuations.since[zone] = since
	}
	for _, known := range e.nodeOrder {
		e.markEvacuated(known, now)
	}
	e.withdrawStarts(now)
	e.dropEvacuatedClaims()
}

// withdrawStarts takes orders out of the plan that has not been carried out yet.
func (e *Engine) withdrawStarts(now time.Time) {
	orders := e.plan.Starts
	e.plan.Starts = nil
	for _, order := range orders {
		known := e.nodes[order.Worker]
		if known == nil || !known.evacuated {
			e.plan.Starts = append(e.plan.Starts, order)
			continue
		}
		if run := known.find(order.Task, order.Run); run != nil {
			e.resolve(run, zoneEvacuated(known), now)
		}
	}
}

// EvacuationsSeen says as of when the evacuated zones are known.
func (e *Engine) EvacuationsSeen(at time.Time) { e.evacuations.seenAt = at }

// markEvacuated takes what is known of a node's zone into its books.
func (e *Engine) markEvacuated(known *node, now time.Time) {
	_, evacuated := e.evacuations.since[known.entry.Zone]
	if known.evacuated == evacuated {
		return
	}
	known.evacuated = evacuated
	if !evacuated {
		return
	}
	for _, run := range append([]*run(nil), known.runs...) {
		if run.phase == phasePlanned {
			e.resolve(run, zoneEvacuated(known), now)
		}
	}
}

// zoneEvacuated is why something does not run on a node, for the log.
func zoneEvacuated(known *node) string {
	return "availability zone " + strconv.Quote(known.entry.Zone) + " evacuated"
}

// dropEvacuatedClaims gives up room that is set aside where it may not be used.
func (e *Engine) dropEvacuatedClaims() {
	for _, job := range e.active {
		if job.claim != nil && job.claim.evacuated() {
			job.claim = nil
		}
	}
}

func (c *claim) evacuated() bool {
	for _, seat := range c.seats {
		if seat.node.evacuated {
			return true
		}
	}
	return false
}

// evacuationsKnown reports whether the evacuated zones are known well enough to start
// something: half of the time that the operators allow is left for orders on their way.
func (e *Engine) evacuationsKnown(now time.Time) bool {
	return e.limits.Evacuate <= 0 || now.Sub(e.evacuations.seenAt) <= e.limits.Evacuate/2
}

// watchEvacuations notes when nothing is placed for want of knowing the evacuated zones.
func (e *Engine) watchEvacuations(now time.Time) {
	stale := !e.evacuationsKnown(now)
	if stale == e.evacuations.stale {
		return
	}
	e.evacuations.stale = stale
	event := "evacuations_known"
	if stale {
		event = "evacuations_unknown"
	}
	e.plan.Notes = append(e.plan.Notes, Note{Event: event,
		Detail: "age_ms " + strconv.FormatInt(now.Sub(e.evacuations.seenAt).Milliseconds(), 10)})
}

// recallStarts stops runs whose starts have gone unanswered since their zone was
// evacuated: such an order may wait somewhere on its way.
func (e *Engine) recallStarts(now time.Time) {
	if len(e.evacuations.since) == 0 {
		return
	}
	for _, known := range e.nodeOrder {
		if !known.evacuated || now.Sub(e.evacuations.since[known.entry.Zone]) < orderGrace {
			continue
		}
		for _, run := range append([]*run(nil), known.runs...) {
			if run.phase == phaseOrdered && run.task.run == run {
				e.stopUnit(run, zoneEvacuated(known), now)
			}
		}
	}
}
