package placing

import "time"

const (
	// estimateWeight is the weight of a new observation; the factor converges within ten runs.
	estimateWeight = 0.2
	// defaultRuntime is assumed for a task without an estimate.
	defaultRuntime = 5 * time.Second
	// minEstimateFactor and maxEstimateFactor bound the learned factor: callers'
	// estimates are off by half, seldom by more.
	minEstimateFactor = 0.3
	maxEstimateFactor = 3.0
)

// estimate holds the learned ratio of actual to estimated run times of a queue.
type estimate struct {
	factor float64
}

// updateEstimate adjusts the factor of the run's queue by the duration of a run that
// ended. Only first runs with an estimate count.
func (e *Engine) updateEstimate(run *run, now time.Time) {
	estimated := time.Duration(run.task.step.spec.EstimateMS) * time.Millisecond
	if estimated <= 0 || run.startedAt.IsZero() || run.task.lastRun != 1 {
		return
	}
	name := run.task.step.job.queue.Name
	est := e.estimates[name]
	if est == nil {
		est = &estimate{factor: 1}
		e.estimates[name] = est
	}
	observed := float64(now.Sub(run.startedAt)) / float64(estimated)
	observed = min(maxEstimateFactor, max(minEstimateFactor, observed))
	est.factor += estimateWeight * (observed - est.factor)
}

// expectedRuntime returns the expected duration of one task of a step on a healthy worker.
func (e *Engine) expectedRuntime(job *job, spec int) time.Duration {
	estimated := time.Duration(job.submission.Steps[spec].EstimateMS) * time.Millisecond
	if estimated <= 0 {
		return defaultRuntime
	}
	if est := e.estimates[job.queue.Name]; est != nil {
		return time.Duration(float64(estimated) * est.factor)
	}
	return estimated
}

// criticalPath returns the length of the longest chain of unfinished steps of an occurrence in expected run
// time; nil stands for one of which nothing is done.
func (e *Engine) criticalPath(job *job, occurrence *occurrence) time.Duration {
	longest := time.Duration(0)
	finish := e.pathScratch[:0]
	for index := range job.submission.Steps {
		begin := time.Duration(0)
		for _, earlier := range job.submission.Steps[index].After {
			begin = max(begin, finish[earlier])
		}
		finish = append(finish, begin)
		if occurrence == nil || occurrence.steps[index].remainingTasks > 0 {
			finish[index] += e.expectedRuntime(job, index)
		}
		longest = max(longest, finish[index])
	}
	e.pathScratch = finish
	return longest
}
