package placing

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// paceEase is the share of a response target below which filling tasks may
	// work faster again, and paceStep by how many hundredths at a time.
	paceEase = 0.8
	paceStep = 20
	// paceEvery is the least time between two steps up; what an earlier step does
	// to response times shows in the next report, at most two seconds later.
	paceEvery = 2 * time.Second
	// paceMargin is kept below the share at which a target was last missed, for
	// paceForget; loads change within seconds.
	paceMargin = 20
	paceForget = 20 * time.Second
	// paceAgain is how long a pace may go unanswered before it is sent again.
	paceAgain = time.Second
	fullPace  = 100
)

// Pace lets a filling task work at a share of its speed, in hundredths.
type Pace struct {
	Task    jobs.TaskKey
	Run     int
	Worker  string
	Percent int
}

// pacing is how fast filling tasks may work on a node beside those that serve
// users. A missed target stops them at once, as users notice it within seconds;
// then they are let go step by step, up to a margin below where it was missed.
type pacing struct {
	limited  bool // Percent holds; else all work at full speed
	percent  int
	missedAt int // share at which a target was last missed
	missed   time.Time
	changed  time.Time
}

// observe takes the worst ratio of response times to their targets on a node.
func (p *pacing) observe(ratio float64, now time.Time) {
	if ratio > 1 {
		if !p.limited || p.percent > 0 {
			p.missedAt = p.share()
			p.missed = now
		}
		*p = pacing{limited: true, missedAt: p.missedAt, missed: p.missed, changed: now}
		return
	}
	if !p.limited || ratio > paceEase || now.Sub(p.changed) < paceEvery {
		return
	}
	ceiling := fullPace
	if now.Sub(p.missed) < paceForget {
		ceiling = max(0, p.missedAt-paceMargin)
	}
	p.percent = min(ceiling, p.percent+paceStep)
	p.limited = p.percent < fullPace
	p.changed = now
}

// share is how fast filling tasks may work, in hundredths.
func (p *pacing) share() int {
	if p.limited {
		return p.percent
	}
	return fullPace
}

// pace compares the response times of serving tasks with their targets, and
// orders filling tasks beside them to the share that they may work at.
func (e *Engine) pace(known *node, rows []RunningTask, now time.Time) {
	ratio, fills := known.worstRatio(rows)
	if !fills {
		return
	}
	known.pacing.observe(ratio, now)
	share := known.pacing.share()
	for _, run := range known.runs {
		if !run.task.step.spec.Fills || run.phase != phaseRunning || run.pace() == share || now.Sub(run.paceSentAt) < paceAgain {
			continue
		}
		run.paceSentAt = now
		e.plan.Paces = append(e.plan.Paces, Pace{Task: run.task.key, Run: run.number, Worker: known.entry.ID, Percent: share})
	}
}

// worstRatio is the highest ratio of a reported response time to its target,
// and whether there are filling tasks beside.
func (n *node) worstRatio(rows []RunningTask) (ratio float64, fills bool) {
	for _, row := range rows {
		run := n.find(row.Task, row.Run)
		if run == nil {
			continue
		}
		spec := run.task.step.spec
		fills = fills || spec.Fills
		if spec.ResponseTarget > 0 {
			ratio = max(ratio, float64(row.Load)/float64(spec.ResponseTarget))
		}
	}
	return ratio, fills
}

// pace is the share at which the worker was last told to let the run work.
func (r *run) pace() int {
	if r.slowed {
		return r.pacePercent
	}
	return fullPace
}

// PaceAnswered says that a worker took a pace.
func (e *Engine) PaceAnswered(pace Pace) {
	if run := e.findRun(pace.Worker, pace.Task, pace.Run); run != nil {
		run.slowed = pace.Percent < fullPace
		run.pacePercent = pace.Percent
		run.paceSentAt = time.Time{}
	}
}
