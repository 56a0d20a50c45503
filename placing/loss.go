package placing

import (
	"fmt"
	"time"
)

// lose takes that a node's life is over, and with it all that may be there.
func (e *Engine) lose(known *node, why string, now time.Time) {
	if len(known.runs) > 0 {
		e.plan.Notes = append(e.plan.Notes, Note{Event: "worker_lost", Worker: known.entry.ID,
			Detail: fmt.Sprintf("%s runs %d %s", why, len(known.runs), known.silence(now))})
	}
	for _, run := range append([]*run(nil), known.runs...) {
		e.resolve(run, why, now)
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

// worked is how long a run was at its worker before that fell silent, or until now.
// started is false if the worker was never known to have it.
func (r *run) worked(now time.Time) (length time.Duration, started bool) {
	if r.startedAt.IsZero() {
		return 0, false
	}
	end := now
	if !r.node.silentAt.IsZero() {
		end = r.node.silentAt
	}
	return max(0, end.Sub(r.startedAt)), true
}

// history is what tells the ends of a task's runs apart, for the log.
func (r *run) history(now time.Time) string {
	worked, started := r.worked(now)
	return fmt.Sprintf("run %d started %t worked_ms %d percent %d", r.number, started, worked.Milliseconds(), r.percent)
}
