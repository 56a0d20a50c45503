package placing

import "time"

// The cost of a stop, in core-seconds: the work that is done again, the time to resume from a
// checkpoint, and the time of the stop itself, in which the resources of all members serve nobody.
// The load that it answers: more urgent work than room, when each start takes the room of others.
// Without the time of the stop a wide gang of saving tasks looks free to stop.

// urgentLossWeight is the weight of losses of urgent victims, stopped beyond their guarantee
// for a guaranteed job; one second of their work is added for their late end. The users value
// an urgent core-second about six times as much.
const urgentLossWeight = 6

// stoppedTogether returns the runs that a stop of this one ends: all of a gang's, or itself alone.
func (r *run) stoppedTogether() []*run {
	if !r.task.step.spec.Gang {
		return []*run{r}
	}
	var runs []*run
	for _, member := range r.task.step.tasks {
		if member.run != nil {
			runs = append(runs, member.run)
		}
	}
	return runs
}

// stopCost returns the weighted cost of stopping runs that end together. Each earlier stop of the
// task or gang adds the same again, so that work gives way once and is then carried through.
func (e *Engine) stopCost(runs []*run, now time.Time) float64 {
	cost := 0.0
	for _, run := range runs {
		cost += e.weightedStopCost(run, now)
	}
	return cost * float64(1+runs[0].task.gangFirst().roomStops)
}

// weightedStopCost returns the cost of stopping one run, weighted for comparison with others.
func (e *Engine) weightedStopCost(run *run, now time.Time) float64 {
	if run.phase == phasePlanned {
		return 0 // nothing was sent
	}
	need := coreEquivalents(run.task.step.spec.Need)
	cost := e.lostWork(run, now) + need*e.limits.MaxStopTime.Seconds()
	if run.task.step.job.queue.Priority == 0 {
		return urgentLossWeight * (cost + need)
	}
	return cost
}

// lostWork returns the core-seconds of a run that are done again after a stop. Tasks that save do
// so at a stop too, but the members of a gang end as soon as one of them has stopped.
func (e *Engine) lostWork(run *run, now time.Time) float64 {
	if run.startedAt.IsZero() {
		return 0
	}
	lost := now.Sub(run.startedAt)
	spec := run.task.step.spec
	if spec.Checkpoints {
		repeated := e.limits.RestoreTime
		if spec.Gang {
			repeated += e.limits.CheckpointInterval
		}
		lost = min(lost, repeated)
	}
	return lost.Seconds() * coreEquivalents(spec.Need)
}
