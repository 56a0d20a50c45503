package placing

import "time"

// updateOverGuarantee finds the workspaces whose unfinished urgent jobs need more
// accelerators than they are guaranteed. Urgent jobs of all other workspaces must begin
// within the reclaim time, whatever has to be preempted for them.
func (e *Engine) updateOverGuarantee() {
	required := map[string]int64{}
	for _, job := range e.active {
		if job.queue.Priority == 0 && !job.state.Final() {
			required[job.submission.Workspace] += job.accelerators()
		}
	}
	e.overGuarantee = map[string]bool{}
	for workspace, need := range required {
		if need > e.guarantees[workspace] {
			e.overGuarantee[workspace] = true
		}
	}
}

// withinGuarantee reports whether a job has to begin within the reclaim time.
func (e *Engine) withinGuarantee(job *job) bool {
	return job.queue.Priority == 0 && !e.overGuarantee[job.submission.Workspace]
}

// accelerators returns the number of accelerators that all steps of a job need together.
func (j *job) accelerators() int64 {
	need := int64(0)
	for index := range j.submission.Steps {
		step := &j.submission.Steps[index]
		need += int64(step.Tasks) * step.Need.Accelerators
	}
	return need
}

// maxUrgentDelay returns how long an urgent step may wait for capacity in one rack, and
// for other ways to free capacity than preempting urgent work.
func (e *Engine) maxUrgentDelay() time.Duration {
	return time.Duration(urgentDelayShare * float64(e.limits.ReclaimTimeout))
}
