package placing

import (
	"fmt"
	"time"
)

// listTrust is how long the list of workers is relied on for the room of those that do
// not guard it. The operators allow a heartbeat and three seconds at least, 4.5 s, until
// a worker that has shrunk gets nothing beyond its room.
const listTrust = 3 * time.Second

// ListSeen says as of when the list of workers is known.
func (e *Engine) ListSeen(at time.Time) { e.listSeen = at }

// resized takes that a worker offers more or less than before.
func (e *Engine) resized(known *node, entry WorkerEntry) {
	if known.entry.Capacity == entry.Capacity {
		return
	}
	known.shares.known = false
	if known.entry.Pool == "" {
		return // its first entry
	}
	e.plan.Notes = append(e.plan.Notes, Note{Event: "worker_resized", Worker: entry.ID,
		Detail: fmt.Sprintf("from %+v to %+v used %+v", known.entry.Capacity, entry.Capacity, known.used)})
}

// roomKnown reports whether the room of a node can be relied on: one that does not
// guard it may have shrunk since the list was read.
func (e *Engine) roomKnown(known *node, now time.Time) bool {
	return !e.unguarded[known.entry.Pool] || now.Sub(e.listSeen) <= listTrust
}

// stillFits reports whether what was placed on a node fits the room that it offers now.
// It may have shrunk since, and one that does not guard its room starts all the same.
func (e *Engine) stillFits(known *node, now time.Time) bool {
	return known.entry.Capacity.Fits(known.used) && e.roomKnown(known, now)
}
