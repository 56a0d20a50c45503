package placing

import "time"

const (
	// failuresToRest is how many failed runs, without one that was done between,
	// put a worker to rest. One is mostly the task's own fault, but a short rest of
	// one worker in 48 costs little, and a bad worker fails all that it gets.
	failuresToRest = 1
	// restFirst and restMost bound how long a worker that fails gets no work;
	// the rest doubles while its first run afterwards fails again. Bad times of
	// workers last five to seven seconds in the users' deployments.
	restFirst = 1 * time.Second
	restMost  = 8 * time.Second
	// busyPause follows an answer that says the worker is unhealthy.
	busyPause = 700 * time.Millisecond
	// silentPause follows an order without an answer.
	silentPause = 300 * time.Millisecond
)

// health is what a worker's own results say of it.
type health struct {
	failures int // in a row
	rest     time.Duration
	until    time.Time // gets nothing new before
	wary     bool      // judged badly and not yet proved good again
}

func (h *health) pause(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(h.until) {
		h.until = until
	}
}

func (h *health) busy(now time.Time)   { h.pause(now, busyPause) }
func (h *health) silent(now time.Time) { h.pause(now, silentPause) }

// stalled keeps new work off until the next report, and leaves the worker wary.
func (h *health) stalled(now time.Time) {
	h.wary = true
	h.pause(now, restFirst)
}

func (h *health) good() { *h = health{} }

func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures < failuresToRest && !h.wary {
		return
	}
	h.wary = true
	h.rest = min(restMost, max(restFirst, 2*h.rest))
	h.pause(now, h.rest)
}

// judge draws from an end what it says of the worker.
func (e *Engine) judge(known *node, run *run, end EndedTask, now time.Time) {
	switch end.How {
	case EndDone:
		known.health.good()
		if run != nil {
			e.learn(run, now)
		}
	case EndFailed:
		before := known.health.until
		known.health.failed(now)
		if known.health.until != before {
			e.plan.Notes = append(e.plan.Notes, Note{Event: "worker_rested", Worker: known.entry.ID, Detail: known.health.rest.String()})
		}
	}
}
