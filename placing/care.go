package placing

import (
	"strconv"
	"time"
)

const (
	// A run stands still if reports show no progress for stallAfter, or for
	// stallPercentFactor times as long as one of its hundred parts has taken so far: slow
	// workers are four to eight times slower for some seconds.
	stallAfter         = 1500 * time.Millisecond
	stallPercentFactor = 12
	// A run that was never seen to make progress stands still after minStartStall, or
	// startStallShare of its expected run time. That leaves room for estimates that are
	// off by a factor of three on workers that are eight times slower: those show
	// a hundredth after that.
	minStartStall   = time.Second
	startStallShare = 0.25
	// overdueRuntimeFactor times the expected run time is when a run that reports all of
	// its work as done is given up: reports count work at the speed of a sound
	// worker, and slow ones are four to eight times slower for some seconds.
	overdueRuntimeFactor = 8
	// maxStallDoublings bound how often the patience with a task doubles.
	maxStallDoublings = 10
	// gangEndWindow is how far apart the ends of a gang's members may be listed.
	gangEndWindow = time.Second
	// leaveMargin is how long before a worker's leaving its tasks are stopped so
	// that their saved states arrive.
	leaveMargin = 500 * time.Millisecond
)

// stopLeavingAndStalled moves what runs on leaving workers and what stands still.
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

// outlivesJob reports whether a run goes on although its job has ended: a gang's
// members end together, so the others need no order unless they are late.
func (e *Engine) outlivesJob(run *run, now time.Time) bool {
	job := run.task.step.job
	return job.state.Final() && now.Sub(job.endedAt) > gangEndWindow
}

// stopRunOrGang stops a run and, if it is a gang's, all members.
func (e *Engine) stopRunOrGang(run *run, reason string, now time.Time) {
	if run.task.step.spec.Gang {
		e.stopGang(run.task.step, reason, now)
		return
	}
	e.stopRun(run, reason, now)
}

// stopStalled stops a run that stands still, and what stands still with it.
func (e *Engine) stopStalled(run *run, now time.Time) {
	idle := now.Sub(run.percentAt).Milliseconds()
	counter := run.task.stallCounter()
	reason := "no progress for_ms " + strconv.FormatInt(idle, 10) + " percent " + strconv.Itoa(run.percent) + " before " + strconv.Itoa(counter.stalls)
	counter.stalls++
	e.stopRunOrGang(run, reason, now)
}

// mustStopBeforeLeave reports whether a run on a leaving worker is to be stopped now: at
// once if it cannot be finished and saves nothing, else just in time.
func (e *Engine) mustStopBeforeLeave(run *run, now time.Time) bool {
	left := run.node.leaveAt.Sub(now)
	if run.task.step.spec.Lasting {
		return run.task.step.disruptionAllowed(run) || left < e.limits.StopWithin+leaveMargin
	}
	if e.remainingTime(run, now) <= left {
		return false
	}
	if run.task.step.spec.Checkpoints {
		return left < e.limits.StopWithin+leaveMargin
	}
	return true
}

// disruptionAllowed reports whether one more task of a lasting step may be away, if run's
// is one.
func (s *step) disruptionAllowed(run *run) bool {
	unavailable := 0
	for _, other := range s.tasks {
		if other.run != run && (other.run == nil || other.run.percent < 100) {
			unavailable++
		}
	}
	return unavailable < max(1, s.spec.MayMiss)
}

// remainingTime is how long a run still takes, by its own progress so far.
func (e *Engine) remainingTime(run *run, now time.Time) time.Duration {
	expected := e.expectedRuntime(run.task.step.job, run.task.key.Step)
	worked := now.Sub(run.startedAt)
	if run.percent <= 0 {
		return max(0, expected-worked)
	}
	return time.Duration(float64(worked) * float64(100-run.percent) / float64(run.percent))
}

// stalled reports whether a worker's reports show a run to stand still. What
// was done since the newest report is not known.
func (e *Engine) stalled(run *run, now time.Time) bool {
	if run.task.step.spec.Lasting || run.task.step.spec.Fills || !run.seen {
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
	if run.baseAt.After(begin) {
		begin = run.baseAt
	}
	if run.percent == run.basePercent {
		return run.reportedAt.Sub(begin) > run.task.stallTimeout(max(minStartStall, time.Duration(startStallShare*float64(expected))))
	}
	part := run.percentAt.Sub(begin) / time.Duration(run.percent-run.basePercent)
	return run.reportedAt.Sub(run.percentAt) > run.task.stallTimeout(max(stallAfter, stallPercentFactor*part))
}

// stallTimeout is how long a task's run may stand still, where the first may for some time. A
// program may tell its progress in jumps or not at all: without more patience each time it
// would be stopped for ever.
func (t *task) stallTimeout(base time.Duration) time.Duration {
	return base << min(t.stallCounter().stalls, maxStallDoublings)
}

// stallCounter is the task whose stalls count: a gang stands still as one.
func (t *task) stallCounter() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// stopIsCheaper reports whether a run has stood still for as long as it had worked:
// until then, waiting for it costs less than what its stop would throw away. Most
// workers that stand still go on after five to seven seconds.
func (e *Engine) stopIsCheaper(run *run, now time.Time) bool {
	worked := run.task.stallTimeout(run.percentAt.Sub(run.startedAt))
	if run.task.step.spec.Checkpoints {
		worked = min(worked, checkpointLoss)
	}
	return now.Sub(run.percentAt) > worked
}

// avoidStalledWorkers keeps new work off the workers on which a run may stand still. The
// members of a gang stand still together, wherever the cause is: workers on which
// other work goes on are not to blame.
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

// otherWorkProgressed reports whether the newest report of a node showed progress of work
// other than a step's.
func (n *node) otherWorkProgressed(step *step) bool {
	for _, run := range n.runs {
		if run.task.step != step && run.seen && run.percent > run.basePercent && run.percentAt.Equal(run.reportedAt) {
			return true
		}
	}
	return false
}

// workingSince is when a run began to work: the members of a gang wait for each
// other. whole is false while members are missing.
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
