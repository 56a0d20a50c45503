package placing

import (
	"strconv"
	"time"
)

const (
	// A run is stalled if reports show no progress for stallAfter, or for
	// stallPercentFactor times as long as one percent of its work has taken so far:
	// slow workers are four to eight times slower for some seconds.
	stallAfter         = 1500 * time.Millisecond
	stallPercentFactor = 12
	// A run that has never made progress is stalled after minStartStall or, if longer,
	// startStallShare of its expected run time. This tolerates estimates that are off by
	// a factor of three on workers that are eight times slower: those show one percent
	// by then.
	minStartStall   = time.Second
	startStallShare = 0.25
	// overdueRuntimeFactor times the expected run time is when a run that reports all of
	// its work as done is given up: reports count work at the speed of a healthy
	// worker, and slow ones are four to eight times slower for some seconds.
	overdueRuntimeFactor = 8
	// maxStallDoublings bounds how often the stall timeout of a task doubles.
	maxStallDoublings = 10
	// gangEndWindow is how far apart the ends of a gang's members may be reported.
	gangEndWindow = time.Second
	// leaveMargin is how long before a worker leaves its tasks are stopped, beyond the time
	// of a stop, so that their checkpoints arrive.
	leaveMargin = 500 * time.Millisecond
)

// stopLeavingAndStalled stops runs on leaving workers, stalled runs and runs that
// outlive their job.
func (e *Engine) stopLeavingAndStalled(now time.Time) {
	for _, n := range e.nodeOrder {
		for _, run := range append([]*run(nil), n.runs...) {
			if run.phase != phaseRunning || run.task.run != run {
				continue
			}
			if e.outlivesJob(run, now) {
				e.stopRun(run, "job ended", now)
				continue
			}
			if n.entry.Leaving && e.mustStopBeforeLeave(run, now) {
				e.stopRunOrGang(run, "worker leaving", now)
				continue
			}
			if !n.answering || !e.stalled(run, now) {
				continue
			}
			e.avoidStalledWorkers(run, now)
			if e.stopIsCheaper(run, now) {
				e.stopStalled(run, now)
			}
		}
	}
}

// outlivesJob reports whether a run goes on although its job has ended. The members of
// a gang end together, so the remaining ones are stopped only if they are late.
func (e *Engine) outlivesJob(run *run, now time.Time) bool {
	job := run.task.step.job
	return job.state.Final() && now.Sub(job.endedAt) > gangEndWindow
}

// stopRunOrGang stops a run or, if its step is a gang, all members.
func (e *Engine) stopRunOrGang(run *run, reason string, now time.Time) {
	if run.task.step.spec.Gang {
		e.stopGang(run.task.step, reason, now)
		return
	}
	e.stopRun(run, reason, now)
}

// stopStalled stops a stalled run, with the other members of its gang, and counts the stall.
func (e *Engine) stopStalled(run *run, now time.Time) {
	idle := now.Sub(run.percentAt).Milliseconds()
	counter := run.task.stallCounter()
	reason := "no progress for_ms " + strconv.FormatInt(idle, 10) + " percent " + strconv.Itoa(run.percent) + " before " + strconv.Itoa(counter.stalls)
	counter.stalls++
	e.stopRunOrGang(run, reason, now)
}

// mustStopBeforeLeave reports whether a run on a leaving worker is to be stopped now: at
// once if it cannot finish in time and saves no checkpoints, otherwise as late as possible.
func (e *Engine) mustStopBeforeLeave(run *run, now time.Time) bool {
	left := run.node.leaveAt.Sub(now)
	if run.task.step.spec.LongRunning {
		return run.task.step.disruptionAllowed(run) || left < e.limits.MaxStopTime+leaveMargin
	}
	if e.remainingTime(run, now) <= left {
		return false
	}
	if run.task.step.spec.Checkpoints {
		return left < e.limits.MaxStopTime+leaveMargin
	}
	return true
}

// disruptionAllowed reports whether run may be stopped without more tasks of a
// long-running step being unavailable than it tolerates.
func (s *step) disruptionAllowed(run *run) bool {
	unavailable := 0
	for _, other := range s.tasks {
		if other.run != run && (other.run == nil || other.run.percent < 100) {
			unavailable++
		}
	}
	return unavailable < max(1, s.spec.MaxUnavailable)
}

// remainingTime estimates the remaining duration of a run from its progress so far.
func (e *Engine) remainingTime(run *run, now time.Time) time.Duration {
	expected := e.expectedRuntime(run.task.step.job, run.task.key.Step)
	worked := now.Sub(run.startedAt)
	if run.percent <= 0 {
		return max(0, expected-worked)
	}
	return time.Duration(float64(worked) * float64(100-run.percent) / float64(run.percent))
}

// stalled reports whether the reports of a worker show a run without progress. The time
// since the newest report does not count, as progress in it is unknown.
func (e *Engine) stalled(run *run, now time.Time) bool {
	if run.task.step.spec.LongRunning || run.task.step.spec.Filler || !run.seen {
		return false
	}
	expected := e.expectedRuntime(run.task.step.job, run.task.key.Step)
	if run.percent >= 100 {
		return now.Sub(run.percentAt) > run.task.stallTimeout(max(stallAfter, overdueRuntimeFactor*expected))
	}
	begin, complete := run.task.step.workingSince(run)
	if !complete {
		return false
	}
	if run.basePercentAt.After(begin) {
		begin = run.basePercentAt
	}
	if run.percent == run.basePercent {
		return run.reportedAt.Sub(begin) > run.task.stallTimeout(max(minStartStall, time.Duration(startStallShare*float64(expected))))
	}
	perPercent := run.percentAt.Sub(begin) / time.Duration(run.percent-run.basePercent)
	return run.reportedAt.Sub(run.percentAt) > run.task.stallTimeout(max(stallAfter, stallPercentFactor*perPercent))
}

// stallTimeout returns how long a run of the task may show no progress: base, doubled
// with each stall so far. A program may report its progress in jumps or not at all, and
// with a fixed timeout it would be stopped for ever.
func (t *task) stallTimeout(base time.Duration) time.Duration {
	return base << min(t.stallCounter().stalls, maxStallDoublings)
}

// stallCounter returns the task that counts the stalls: of a gang, the first member.
func (t *task) stallCounter() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// stopIsCheaper reports whether a run has been stalled for as long as it had worked.
// Until then waiting costs less than the work that a stop discards. Most stalled workers
// recover after five to seven seconds.
func (e *Engine) stopIsCheaper(run *run, now time.Time) bool {
	worked := run.task.stallTimeout(run.percentAt.Sub(run.startedAt))
	if run.task.step.spec.Checkpoints {
		worked = min(worked, checkpointLoss)
	}
	return now.Sub(run.percentAt) > worked
}

// avoidStalledWorkers puts the workers of a stalled run in backoff. The members of a gang
// stall together wherever the cause is, so workers on which other work progresses are
// left out.
func (e *Engine) avoidStalledWorkers(run *run, now time.Time) {
	for _, member := range run.task.step.tasks {
		if member.run == nil || member.run != run && !run.task.step.spec.Gang {
			continue
		}
		if node := member.run.node; !node.otherWorkProgressed(run.task.step) {
			node.health.markStalled(now)
		}
	}
}

// otherWorkProgressed reports whether the newest report of a node showed progress of
// work of other steps.
func (n *node) otherWorkProgressed(step *step) bool {
	for _, run := range n.runs {
		if run.task.step != step && run.seen && run.percent > run.basePercent && run.percentAt.Equal(run.reportedAt) {
			return true
		}
	}
	return false
}

// workingSince returns when a run began to work: the members of a gang wait for each
// other. complete is false while members are missing.
func (s *step) workingSince(run *run) (begin time.Time, complete bool) {
	if !s.spec.Gang {
		return run.startedAt, true
	}
	for _, member := range s.tasks {
		if member.run == nil || member.run.phase != phaseRunning || !member.run.seen {
			return begin, false
		}
		if member.run.startedAt.After(begin) {
			begin = member.run.startedAt
		}
	}
	return begin, true
}
