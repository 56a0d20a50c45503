package placing

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// paceRaiseBelow is the share of a response target below which the pace of filler tasks may be
	// raised, by paceStep percent at a time.
	paceRaiseBelow = 0.8
	paceStep       = 20
	// paceRaiseInterval is the least time between two raises; the effect of a raise on response
	// times shows in the next report, at most two seconds later.
	paceRaiseInterval = 2 * time.Second
	// paceMargin is the distance kept below the pace at which a target was last missed, for
	// paceMissMemory; loads change within seconds.
	paceMargin     = 20
	paceMissMemory = 20 * time.Second
	// paceRetryInterval is how long a pace may go unanswered before it is sent again.
	paceRetryInterval = time.Second
	fullPace          = 100
)

// Pace limits the speed of a filler task to a percentage.
type Pace struct {
	Task    jobs.TaskKey
	Run     int
	Worker  string
	Percent int
}

// paceControl limits the speed of filler tasks on a node beside tasks that serve users. A missed
// target stops them at once, as users notice it within seconds; then they are sped up step by
// step, up to a margin below the pace at which the target was missed.
type paceControl struct {
	limited       bool // percent applies; else all run at full speed
	percent       int
	missedPercent int // pace at which a target was last missed
	lastMiss      time.Time
	lastChange    time.Time
}

// observeRatio applies the highest ratio of a response time to its target on a node.
func (p *paceControl) observeRatio(ratio float64, now time.Time) {
	if ratio > 1 {
		if !p.limited || p.percent > 0 {
			p.missedPercent = p.allowedPercent()
			p.lastMiss = now
		}
		*p = paceControl{limited: true, missedPercent: p.missedPercent, lastMiss: p.lastMiss, lastChange: now}
		return
	}
	if !p.limited || ratio > paceRaiseBelow || now.Sub(p.lastChange) < paceRaiseInterval {
		return
	}
	ceiling := fullPace
	if now.Sub(p.lastMiss) < paceMissMemory {
		ceiling = max(0, p.missedPercent-paceMargin)
	}
	p.percent = min(ceiling, p.percent+paceStep)
	p.limited = p.percent < fullPace
	p.lastChange = now
}

// allowedPercent returns the speed that filler tasks may use, in percent.
func (p *paceControl) allowedPercent() int {
	if p.limited {
		return p.percent
	}
	return fullPace
}

// paceFillers compares the response times of serving tasks with their targets and sends their
// pace to the filler tasks on the same node.
func (e *Engine) paceFillers(n *node, rows []RunningTask, now time.Time) {
	ratio, hasFiller := n.worstRatio(rows)
	if !hasFiller {
		return
	}
	n.paceControl.observeRatio(ratio, now)
	percent := n.paceControl.allowedPercent()
	for _, run := range n.runs {
		if !run.task.step.spec.Filler || run.phase != phaseRunning || run.currentPace() == percent || now.Sub(run.paceSentAt) < paceRetryInterval {
			continue
		}
		run.paceSentAt = now
		e.plan.Paces = append(e.plan.Paces, Pace{Task: run.task.key, Run: run.number, Worker: n.entry.ID, Percent: percent})
	}
}

// worstRatio returns the highest ratio of a reported response time to its target, and whether
// the node has filler tasks.
func (n *node) worstRatio(rows []RunningTask) (ratio float64, hasFiller bool) {
	for _, row := range rows {
		run := n.findRun(row.Task, row.Run)
		if run == nil {
			continue
		}
		spec := run.task.step.spec
		hasFiller = hasFiller || spec.Filler
		if spec.ResponseTargetMS > 0 {
			ratio = max(ratio, float64(row.Load)/float64(spec.ResponseTargetMS))
		}
	}
	return ratio, hasFiller
}

// currentPace returns the pace that the worker last acknowledged for the run.
func (r *run) currentPace() int {
	if r.throttled {
		return r.pacePercent
	}
	return fullPace
}

// PaceAcknowledged records that a worker acknowledged a pace.
func (e *Engine) PaceAcknowledged(pace Pace) {
	if run := e.findRun(pace.Worker, pace.Task, pace.Run); run != nil {
		run.throttled = pace.Percent < fullPace
		run.pacePercent = pace.Percent
		run.paceSentAt = time.Time{}
	}
}
