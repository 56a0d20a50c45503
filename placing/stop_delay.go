package placing

import "time"

const (
	// stopDelayWeight is the weight of the newest sample in the moving average of the time from the
	// decision to stop a run until its end is known.
	stopDelayWeight = 0.1
	// stopDelayMargin is the ratio of the time that is allowed for an end to the average.
	stopDelayMargin = 1.5
	// maxStopDelayShare bounds the time allowed for an end, as a share of the reclaim time: other
	// victims have to be chosen and stopped within the rest.
	maxStopDelayShare = 0.4
)

// recordStopDelay records how long the end of a stopped run took to become known.
func (e *Engine) recordStopDelay(run *run, now time.Time) {
	if run.stopDoneAt.IsZero() {
		return // no answer of its worker: the start was withdrawn, or the worker is lost
	}
	sample := min(now.Sub(run.stoppedAt), e.limits.ReclaimTimeout)
	e.stopDelay += time.Duration(stopDelayWeight * float64(sample-e.stopDelay))
}

// stopAllowance returns how long after the decision to stop a run its end is waited for.
func (e *Engine) stopAllowance() time.Duration {
	measured := time.Duration(stopDelayMargin * float64(e.stopDelay))
	limit := time.Duration(maxStopDelayShare * float64(e.limits.ReclaimTimeout))
	return max(e.limits.MaxStopTime+reservationSlack, min(measured, limit))
}
