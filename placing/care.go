package placing

import (
	"strconv"
	"time"
)

const (
	// stallAfter is how long a task may make no progress before it is held to
	// stand still: reports come every two seconds at most, and a task takes
	// several seconds for its hundred parts.
	stallAfter = 3500 * time.Millisecond
	// stallShare is the share of the expected run time that may pass without
	// progress, for tasks so long that one part takes longer than stallAfter.
	stallShare = 0.3
	// overdueFactor times the expected run time is when a run that reports all of
	// its work as done is given up: reports count work at the speed of a sound
	// worker, and slow ones are four to eight times slower for some seconds.
	overdueFactor = 8
	// endTogether is how far apart the ends of a gang's members may be listed.
	endTogether = time.Second
	// leaveSlack is how long before a worker's leaving its tasks are stopped so
	// that their saved states arrive.
	leaveSlack = 500 * time.Millisecond
)

// care moves what runs on leaving workers and what stands still.
func (e *Engine) care(now time.Time) {
	for _, known := range e.nodeOrder {
		for _, run := range append([]*run(nil), known.runs...) {
			if run.phase != phaseRunning || run.task.run != run {
				continue
			}
			if e.outlives(run, now) {
				e.stopRun(run, "job ended", now)
				continue
			}
			if known.entry.Leaving && e.mustLeave(run, now) {
				e.stopUnit(run, "worker leaving", now)
				continue
			}
			if known.answering && e.stalled(run, now) {
				known.health.failed(now)
				idle := now.Sub(run.percentAt).Milliseconds()
				e.stopUnit(run, "no progress for_ms "+strconv.FormatInt(idle, 10)+" percent "+strconv.Itoa(run.percent), now)
			}
		}
	}
}

// outlives reports whether a run goes on although its job has ended: a gang's
// members end together, so the others need no order unless they are late.
func (e *Engine) outlives(run *run, now time.Time) bool {
	job := run.task.step.job
	return job.state.Final() && now.Sub(job.endedAt) > endTogether
}

// stopUnit stops a run and, if it is a gang's, all members.
func (e *Engine) stopUnit(run *run, why string, now time.Time) {
	if run.task.step.spec.Gang {
		e.dissolve(run.task.step, why, now)
		return
	}
	e.stopRun(run, why, now)
}

// mustLeave reports whether a run on a leaving worker is to be stopped now: at
// once if it cannot be finished and saves nothing, else just in time.
func (e *Engine) mustLeave(run *run, now time.Time) bool {
	left := run.node.leaveAt.Sub(now)
	if run.task.step.spec.Lasting {
		return run.task.step.mayMiss(run) || left < e.limits.StopWithin+leaveSlack
	}
	if e.remaining(run, now) <= left {
		return false
	}
	if run.task.step.spec.Checkpoints {
		return left < e.limits.StopWithin+leaveSlack
	}
	return true
}

// mayMiss reports whether one more task of a lasting step may be away, if run's
// is one.
func (s *step) mayMiss(run *run) bool {
	away := 0
	for _, other := range s.tasks {
		if other.run != run && (other.run == nil || other.run.percent < 100) {
			away++
		}
	}
	return away < max(1, s.spec.MayMiss)
}

// remaining is how long a run still takes, by its own progress so far.
func (e *Engine) remaining(run *run, now time.Time) time.Duration {
	expected := e.runtime(run.task.step.job, run.task.key.Step)
	worked := now.Sub(run.startedAt)
	if run.percent <= 0 {
		return max(0, expected-worked)
	}
	return time.Duration(float64(worked) * float64(100-run.percent) / float64(run.percent))
}

func (e *Engine) stalled(run *run, now time.Time) bool {
	if run.task.step.spec.Lasting || run.task.step.spec.Fills || !run.seen {
		return false
	}
	expected := e.runtime(run.task.step.job, run.task.key.Step)
	allowed := max(stallAfter, time.Duration(stallShare*float64(expected)))
	if run.percent >= 100 {
		allowed = max(allowed, overdueFactor*expected)
	}
	return now.Sub(run.percentAt) > allowed
}
