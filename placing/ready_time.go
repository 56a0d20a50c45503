package placing

import (
	"slices"
	"time"
)

// The wait of a step does not depend on which instance is the leader: a first step is ready
// when its job is accepted or scheduled, and the ready time of a later step is on record.

// readyTime returns when a step became ready that this leader sees as ready for the first time.
func (e *Engine) readyTime(job *job, occurrence *occurrence, step *step, now time.Time) time.Time {
	ready := e.startOfObjective(job, occurrence)
	if len(step.spec.After) > 0 {
		if job.readyMS == 0 {
			return now // written by an instance of a version that does not record it
		}
		ready = laterTime(ready, job.acceptedAt.Add(time.Duration(job.readyMS-job.acceptedMS)*time.Millisecond))
	}
	if ready.After(now) {
		return now // by the clock of another instance, which is ahead
	}
	return ready
}

// observeReady initializes a step that this leader sees as ready for the first time. How long its
// tasks had ample capacity under former leaders is unknown, so the whole wait counts.
func (s *step) observeReady(now time.Time) {
	s.observedReadyAt = now
	if now.Sub(s.readyAt) < firstReportTimeout {
		return
	}
	for _, task := range s.tasks {
		if task.run == nil {
			task.ampleCapacitySince = s.readyAt
		}
	}
}

// markReadySteps records the ready time of steps that waited for a task that is done now.
func (e *Engine) markReadySteps(job *job, done *task, now time.Time) {
	occurrence := job.occurrence(done.key.Occurrence)
	for _, step := range occurrence.steps {
		if step.readyAt.IsZero() && slices.Contains(step.spec.After, done.key.Step) && step.predecessorsDone(occurrence) {
			step.readyAt = now
			step.observedReadyAt = now
			job.readyMS = e.wallMS(now)
		}
	}
}
