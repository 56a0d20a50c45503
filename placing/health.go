package placing

import "time"

const (
	// failuresToBackoff is how many failed runs, without one that was done between,
	// put a worker to rest. One is mostly the task's own fault, but a short rest of
	// one worker in 48 costs little, and a bad worker fails all that it gets.
	failuresToBackoff = 1
	// minWorkerBackoff and maxWorkerBackoff bound how long a worker that fails gets no work;
	// the rest doubles while its first run afterwards fails again. Bad times of
	// workers last five to seven seconds in the users' deployments.
	minWorkerBackoff = 1 * time.Second
	maxWorkerBackoff = 8 * time.Second
	// busyBackoff follows an answer that says the worker is unhealthy.
	busyBackoff = 700 * time.Millisecond
	// silentBackoff follows an order without an answer.
	silentBackoff = 300 * time.Millisecond
)

// health is what a worker's own results say of it.
type health struct {
	failures    int // in a row
	backoff     time.Duration
	until       time.Time // gets nothing new before
	onProbation bool      // judged badly and not yet proved good again
}

func (h *health) backOff(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(h.until) {
		h.until = until
	}
}

func (h *health) markBusy(now time.Time)   { h.backOff(now, busyBackoff) }
func (h *health) markSilent(now time.Time) { h.backOff(now, silentBackoff) }

// markStalled keeps new work off until the next report, and leaves the worker wary.
func (h *health) markStalled(now time.Time) {
	h.onProbation = true
	h.backOff(now, minWorkerBackoff)
}

func (h *health) reset() { *h = health{} }

func (h *health) markFailed(now time.Time) {
	h.failures++
	if h.failures < failuresToBackoff && !h.onProbation {
		return
	}
	h.onProbation = true
	h.backoff = min(maxWorkerBackoff, max(minWorkerBackoff, 2*h.backoff))
	h.backOff(now, h.backoff)
}

// updateHealth draws from an end what it says of the worker.
func (e *Engine) updateHealth(n *node, run *run, end EndedTask, now time.Time) {
	switch end.How {
	case EndDone:
		n.health.reset()
		if run != nil {
			e.updateEstimate(run, now)
		}
	case EndFailed:
		before := n.health.until
		n.health.markFailed(now)
		if n.health.until != before {
			e.plan.Notes = append(e.plan.Notes, Note{Event: "worker_rested", Worker: n.entry.ID, Detail: n.health.backoff.String()})
		}
	}
}
