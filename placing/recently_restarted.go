package placing

import (
	"fmt"
	"time"
)

const (
	// maxUnexplainedSilences is how many workers without a just started run may fall silent
	// within earlyLossWindow of a loss for the loss to count as early. More point to a power
	// failure of a whole room, or to this instance's own connections.
	maxUnexplainedSilences = 3
	// recentRestartPeriod is how long a worker counts as recently restarted, from the loss of a
	// former incarnation at its address: workers that crash repeatedly do so every few seconds.
	recentRestartPeriod = 30 * time.Second
)

// markSilent records that a node does not answer.
func (e *Engine) markSilent(n *node, now time.Time) {
	n.answering = false
	if !n.silentAt.IsZero() {
		return
	}
	n.silentAt = now
	for len(e.unexplainedSilences) > 0 && now.Sub(e.unexplainedSilences[0]) > recentRestartPeriod {
		e.unexplainedSilences = e.unexplainedSilences[1:]
	}
	if !n.hasRecentStart(now) {
		e.unexplainedSilences = append(e.unexplainedSilences, now)
	}
}

// unexplainedSilencesNear returns how many workers without a just started run fell silent within
// earlyLossWindow of a moment.
func (e *Engine) unexplainedSilencesNear(at time.Time) int {
	count := 0
	for _, silentAt := range e.unexplainedSilences {
		if silentAt.Sub(at).Abs() < earlyLossWindow {
			count++
		}
	}
	return count
}

// hasRecentStart reports whether a run on the node started within earlyLossWindow before a moment.
func (n *node) hasRecentStart(at time.Time) bool {
	for _, run := range n.runs {
		if startedAt := run.workStartedAt(); !startedAt.IsZero() && at.Sub(startedAt) < earlyLossWindow {
			return true
		}
	}
	return false
}

// markRecentlyRestarted marks the incarnations that follow a lost one at its address as
// recently restarted for some time from the loss, whatever they finish meanwhile: work prefers
// other workers, and their loss does not count against a task.
func (e *Engine) markRecentlyRestarted(address string, now time.Time) {
	if address == "" {
		return // the incarnation is known from the log alone
	}
	for a, until := range e.recentlyRestarted {
		if now.After(until) {
			delete(e.recentlyRestarted, a)
		}
	}
	e.recentlyRestarted[address] = now.Add(recentRestartPeriod)
	for _, n := range e.nodeOrder {
		if n.entry.Address == address {
			n.recentlyRestartedUntil = e.recentlyRestarted[address]
		}
	}
}

// isKnownMisdirected records that another worker answers at the address of a node. It reports whether that
// was known and nothing is lost with the node: its entry may stay in the list for good.
func (e *Engine) isKnownMisdirected(n *node) bool {
	known := e.misdirected[n.entry.ID]
	e.misdirected[n.entry.ID] = true
	return known && !n.reported && len(n.runs) == 0
}

// expireMisdirected drops the nodes that are not listed any more.
func (e *Engine) expireMisdirected() {
	for id := range e.misdirected {
		if n := e.nodes[id]; n == nil || !n.listed {
			delete(e.misdirected, id)
		}
	}
}

// silenceDetail returns, for the log, how long a node has not answered. A node on which a former
// leader placed work may never have answered this one.
func (n *node) silenceDetail(now time.Time) string {
	if n.silentAt.IsZero() {
		return "never answered"
	}
	return fmt.Sprintf("silent_ms %d", now.Sub(n.silentAt).Milliseconds())
}
