package placing

import "time"

const (
	// failuresToBackoff is how many failed runs in a row put a worker in backoff. One
	// failure is mostly the task's own fault, but a short backoff of one worker in 48 costs
	// little, and a bad worker fails every task that it gets.
	failuresToBackoff = 1
	// minWorkerBackoff and maxWorkerBackoff bound how long a failing worker gets no work;
	// the backoff doubles while its first run afterwards fails again. Bad phases of
	// workers last five to seven seconds in the users' deployments.
	minWorkerBackoff = 1 * time.Second
	maxWorkerBackoff = 8 * time.Second
	// busyBackoff follows an answer that says the worker is unhealthy.
	busyBackoff = 700 * time.Millisecond
	// silentBackoff follows an order that was not answered.
	silentBackoff = 300 * time.Millisecond
)

// health tracks the results of a worker.
type health struct {
	failures     int // in a row
	backoff      time.Duration
	backoffUntil time.Time // gets no new work before
	onProbation  bool      // found bad, with no success since
}

// backOff extends the backoff to at least length from now.
func (h *health) backOff(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(h.backoffUntil) {
		h.backoffUntil = until
	}
}

func (h *health) markBusy(now time.Time)   { h.backOff(now, busyBackoff) }
func (h *health) markSilent(now time.Time) { h.backOff(now, silentBackoff) }

// markStalled backs off for minWorkerBackoff, which each pass extends while a run there is
// stalled, and puts the worker on probation.
func (h *health) markStalled(now time.Time) {
	h.onProbation = true
	h.backOff(now, minWorkerBackoff)
}

func (h *health) reset() { *h = health{} }

// markFailed counts a failed run, and backs off after failuresToBackoff in a row or on
// probation.
func (h *health) markFailed(now time.Time) {
	h.failures++
	if h.failures < failuresToBackoff && !h.onProbation {
		return
	}
	h.onProbation = true
	h.backoff = min(maxWorkerBackoff, max(minWorkerBackoff, 2*h.backoff))
	h.backOff(now, h.backoff)
}

// updateHealth updates the health of a node from the end of a run.
func (e *Engine) updateHealth(n *node, run *run, end EndedTask, now time.Time) {
	switch end.Kind {
	case EndDone:
		n.health.reset()
		if run != nil {
			e.updateEstimate(run, now)
		}
	case EndFailed:
		before := n.health.backoffUntil
		n.health.markFailed(now)
		if n.health.backoffUntil != before {
			e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "worker_rested", Worker: n.entry.ID, Detail: n.health.backoff.String()})
		}
	}
}
