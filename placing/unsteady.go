package placing

import (
	"fmt"
	"time"
)

const (
	// unexplainedMost is how many workers may fall silent within earlyLoss of one, without
	// a run that had just begun there, for its loss to point at a task: more is a room
	// without power, or this instance's own connections.
	unexplainedMost = 3
	// unsteadyFor is how long a worker counts as unsteady after a former life at its
	// address was lost: workers that go up and down do so every few seconds.
	unsteadyFor = 30 * time.Second
)

// fellSilent notes that a node does not answer.
func (e *Engine) fellSilent(known *node, now time.Time) {
	known.answering = false
	if !known.silentAt.IsZero() {
		return
	}
	known.silentAt = now
	for len(e.unexplained) > 0 && now.Sub(e.unexplained[0]) > unsteadyFor {
		e.unexplained = e.unexplained[1:]
	}
	if !known.begins(now) {
		e.unexplained = append(e.unexplained, now)
	}
}

// unexplainedAbout is how many workers fell silent within earlyLoss of a moment without
// a run that had just begun there.
func (e *Engine) unexplainedAbout(at time.Time) int {
	count := 0
	for _, other := range e.unexplained {
		if other.Sub(at).Abs() < earlyLoss {
			count++
		}
	}
	return count
}

// begins reports whether a run on the node began within earlyLoss before a moment.
func (n *node) begins(at time.Time) bool {
	for _, run := range n.runs {
		if begun := run.begun(); !begun.IsZero() && at.Sub(begun) < earlyLoss {
			return true
		}
	}
	return false
}

// markUnsteady has the lives that follow a lost one at its address count as unsteady
// for some time, whatever they finish meanwhile: work goes elsewhere if it can, and
// their loss says nothing of a task.
func (e *Engine) markUnsteady(address string, now time.Time) {
	if address == "" {
		return // of a life that only the log has named
	}
	for other, until := range e.unsteady {
		if now.After(until) {
			delete(e.unsteady, other)
		}
	}
	e.unsteady[address] = now.Add(unsteadyFor)
	for _, known := range e.nodeOrder {
		if known.entry.Address == address {
			known.unsteady = e.unsteady[address]
		}
	}
}

// silence is since when a node has not answered, for the log. One that a former
// holder of the term placed work on may never have answered this one.
func (n *node) silence(now time.Time) string {
	if n.silentAt.IsZero() {
		return "never answered"
	}
	return fmt.Sprintf("silent_ms %d", now.Sub(n.silentAt).Milliseconds())
}
