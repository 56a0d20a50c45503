package placing

import (
	"fmt"
	"time"
)

// maxListAge is how long the list of workers is relied on for the capacity of workers that do
// not check it themselves. The operators allow a heartbeat and three seconds, at least 4.5 s,
// until a worker that has shrunk must get nothing beyond its capacity.
const maxListAge = 3 * time.Second

// SetListReadAt sets the time when the list of workers was last read.
func (e *Engine) SetListReadAt(at time.Time) { e.listReadAt = at }

// SetListIncomplete sets whether workers that are alive may be absent from the list: it has not been
// read, or the store has just come back and entries that expired meanwhile are still to return.
func (e *Engine) SetListIncomplete(incomplete bool) { e.listIncomplete = incomplete }

// logResize logs a change of the capacity that a worker offers, and invalidates what was cached
// for the former capacity.
func (e *Engine) logResize(n *node, entry WorkerEntry) {
	if n.entry.Capacity == entry.Capacity {
		return
	}
	n.shares.valid = false
	if n.entry.Pool == "" {
		return // its first entry
	}
	e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "worker_resized", Worker: entry.ID,
		Detail: fmt.Sprintf("from %+v to %+v used %+v", n.entry.Capacity, entry.Capacity, n.used)})
}

// capacityTrusted reports whether the capacity of a node can be relied on: a worker that does
// not check it may have shrunk since the list was read.
func (e *Engine) capacityTrusted(n *node, now time.Time) bool {
	return !e.uncheckedPools[n.entry.Pool] || now.Sub(e.listReadAt) <= maxListAge
}

// stillFits reports whether the work placed on a node fits its present capacity. The worker may
// have shrunk since, and one that does not check its capacity starts the work all the same.
func (e *Engine) stillFits(n *node, now time.Time) bool {
	return n.entry.Capacity.Fits(n.used) && e.capacityTrusted(n, now)
}
