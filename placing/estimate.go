package placing

import "time"

const (
	// learnShare is the weight of a new observation; ten runs settle it.
	learnShare = 0.2
	// unknownRuntime stands for a task without an estimate.
	unknownRuntime = 5 * time.Second
	// estimateFloor and estimateCeiling bound the learned factor: callers'
	// estimates are off by half, seldom by more.
	estimateFloor   = 0.3
	estimateCeiling = 3.0
)

// estimate is the learned ratio of true to estimated run times of a queue.
type estimate struct {
	factor float64
}

func (e *Engine) learn(run *run, now time.Time) {
	estimated := time.Duration(run.task.step.spec.EstimateMS) * time.Millisecond
	if estimated <= 0 || run.startedAt.IsZero() || run.task.lastRun != 1 {
		return
	}
	name := run.task.step.job.queue.Name
	known := e.learned[name]
	if known == nil {
		known = &estimate{factor: 1}
		e.learned[name] = known
	}
	seen := float64(now.Sub(run.startedAt)) / float64(estimated)
	seen = min(estimateCeiling, max(estimateFloor, seen))
	known.factor += learnShare * (seen - known.factor)
}

// runtime is the expected duration of one task of a step on a sound worker.
func (e *Engine) runtime(job *job, spec int) time.Duration {
	estimated := time.Duration(job.submission.Steps[spec].EstimateMS) * time.Millisecond
	if estimated <= 0 {
		return unknownRuntime
	}
	if known := e.learned[job.queue.Name]; known != nil {
		return time.Duration(float64(estimated) * known.factor)
	}
	return estimated
}

// chain is the longest chain of expected work from the given steps on: those
// that are not yet done, if left is true, or all.
func (e *Engine) chain(job *job, occurrence *occurrence, left bool) time.Duration {
	longest := time.Duration(0)
	reach := e.reach[:0]
	for index := range job.submission.Steps {
		begin := time.Duration(0)
		for _, earlier := range job.submission.Steps[index].After {
			begin = max(begin, reach[earlier])
		}
		reach = append(reach, begin)
		if !left || occurrence.steps[index].left > 0 {
			reach[index] += e.runtime(job, index)
		}
		longest = max(longest, reach[index])
	}
	e.reach = reach
	return longest
}
