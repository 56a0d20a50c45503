package placing

import (
	"strconv"
	"time"
)

// Operators evacuate an availability zone ahead of work on its power or its network. Once
// an evacuation is known, nothing new is placed in the zone, and tasks that are placed but
// not yet ordered are placed elsewhere. Running tasks go on. The capacity of the zone does
// not count until the evacuation is revoked.

// unansweredStartTimeout is how long a start that was sent before its zone was evacuated
// may go unanswered: as long as its retries take. After that the run is stopped.
const unansweredStartTimeout = time.Second

// evacuations holds the evacuated zones and how recent that information is.
type evacuations struct {
	evacuatedAt map[string]time.Time // by zone: when its evacuation was learned
	readAt      time.Time            // when the zones were last read
	stale       bool                 // the last check found readAt too old
}

// SetEvacuatedZones sets the availability zones that are evacuated.
func (e *Engine) SetEvacuatedZones(zones []string, now time.Time) {
	former := e.evacuations.evacuatedAt
	e.evacuations.evacuatedAt = make(map[string]time.Time, len(zones))
	for _, zone := range zones {
		since, ok := former[zone]
		if !ok {
			since = now
		}
		e.evacuations.evacuatedAt[zone] = since
	}
	for _, n := range e.nodeOrder {
		e.updateEvacuated(n, now)
	}
	e.withdrawStarts(now)
	e.dropEvacuatedReservations()
}

// withdrawStarts removes starts on evacuated nodes from a plan that is not carried out yet.
func (e *Engine) withdrawStarts(now time.Time) {
	starts := e.plan.Starts
	e.plan.Starts = nil
	for _, start := range starts {
		n := e.nodes[start.Worker]
		if n == nil || !n.evacuated {
			e.plan.Starts = append(e.plan.Starts, start)
			continue
		}
		if run := n.findRun(start.Task, start.Run); run != nil {
			e.endRun(run, zoneEvacuatedReason(n), now)
		}
	}
}

// SetEvacuationsReadAt sets the time as of which the evacuated zones were read.
func (e *Engine) SetEvacuationsReadAt(at time.Time) { e.evacuations.readAt = at }

// updateEvacuated applies the state of a node's zone to the node. Planned runs on a newly
// evacuated node are withdrawn.
func (e *Engine) updateEvacuated(n *node, now time.Time) {
	_, evacuated := e.evacuations.evacuatedAt[n.entry.Zone]
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

// zoneEvacuatedReason returns the reason for the log why nothing runs on the node.
func zoneEvacuatedReason(n *node) string {
	return "availability zone " + strconv.Quote(n.entry.Zone) + " evacuated"
}

// dropEvacuatedReservations releases reservations on nodes that may not be used any more.
func (e *Engine) dropEvacuatedReservations() {
	for _, job := range e.active {
		if job.reservation != nil && job.reservation.inEvacuatedZone() {
			job.reservation = nil
		}
	}
}

// inEvacuatedZone reports whether any reserved node is evacuated.
func (r *reservation) inEvacuatedZone() bool {
	for _, p := range r.placements {
		if p.node.evacuated {
			return true
		}
	}
	return false
}

// evacuationsFresh reports whether the evacuated zones were read recently enough to start
// something: half of the time that the operators allow is left for orders in transit.
func (e *Engine) evacuationsFresh(now time.Time) bool {
	return e.limits.EvacuationTimeout <= 0 || now.Sub(e.evacuations.readAt) <= e.limits.EvacuationTimeout/2
}

// logEvacuationsFreshness logs when placement is suspended or resumed because the
// evacuated zones are not known recently enough.
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
	e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: event,
		Detail: "age_ms " + strconv.FormatInt(now.Sub(e.evacuations.readAt).Milliseconds(), 10)})
}

// stopUnansweredStarts stops runs whose starts have gone unanswered since their zone was
// evacuated: such an order may still be delivered.
func (e *Engine) stopUnansweredStarts(now time.Time) {
	if len(e.evacuations.evacuatedAt) == 0 {
		return
	}
	for _, n := range e.nodeOrder {
		if !n.evacuated || now.Sub(e.evacuations.evacuatedAt[n.entry.Zone]) < unansweredStartTimeout {
			continue
		}
		for _, run := range append([]*run(nil), n.runs...) {
			if run.phase == phaseOrdered && run.task.run == run {
				e.stopRunOrGang(run, zoneEvacuatedReason(n), now)
			}
		}
	}
}
