package placing

import (
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// tier is the first key of the order in which waiting units are placed.
type tier int

const (
	tierUrgent     tier = iota // priority 0, while it still has value or can start within the reclaim time
	tierOnTime                 // can still finish within its objective
	tierUrgentLate             // as tierUrgent, but expected to be late and not guaranteed to start, see late_work.go
	tierLate                   // can still finish within three times its objective
	tierBestEffort             // served with leftover capacity
)

const (
	// lateFactor times the objective is when a job loses all value to its caller, as the users
	// state it.
	lateFactor = 3
	// urgentHoldFactor times the reclaim time is how long a job of priority 0 stays urgent at
	// least: a short one exceeds three times its objective sooner, but still has to start within
	// the reclaim time.
	urgentHoldFactor = 1
	// priorityWeight is the factor between consecutive priorities in the order of work that is not
	// urgent: each core-second of the users' first kind is worth 1.9 times one of the second, and
	// part of this ratio comes from its larger jobs.
	priorityWeight = 3
	// acceleratorCores is the value of an accelerator in cores, as the users price it.
	acceleratorCores = 8
	// baseValue and workValue make up a job's value: a fixed part, and a part that grows with the
	// ratio of its work to the mean work of its queue.
	baseValue = 0.3
	workValue = 0.7
	// maxValue bounds the value of the largest jobs.
	maxValue = 4.0
)

// unit is what is placed together: a gang, or the waiting tasks of a step, each of which may
// start alone.
type unit struct {
	job               *job
	occurrence        *occurrence
	step              *step
	tasks             []*task // without a run and not done
	tier              tier
	density           float64 // value per core-second of remaining work
	deadline          time.Time
	now               time.Time       // time of the pass
	deferrable        bool            // can finish on time though other work goes first; see reserveHeadroom
	guaranteed        bool            // must start within the reclaim time
	due               bool            // guaranteed, and the time for it runs short, see maxGuaranteeDelay
	missesObjective   bool            // guaranteed and expected to be late, see late_work.go
	heldBack          bool            // waits as a higher priority lacks its share, see priority_share.go
	isolated          bool            // suspect; gets a worker to itself
	emptyOnly         bool            // isolated and limited to empty workers that have not recently restarted
	avoidWorker       string          // worker that is used only if no other fits
	ignorePreferences bool            // placed without preferences, see start_delay.go
	overGuarantee     map[string]bool // workspaces whose urgent work may be stopped for it
}

// coreEquivalents returns the value of resources in cores.
func coreEquivalents(need jobs.Resources) float64 {
	return float64(need.MilliCores)/1000 + acceleratorCores*float64(need.Accelerators)
}

// milliCoreEquivalents returns the value of resources in thousandths of cores, without
// rounding.
func milliCoreEquivalents(need jobs.Resources) int64 {
	return need.MilliCores + 1000*acceleratorCores*need.Accelerators
}

// freeMilliCoreEquivalents returns the value of free resources in thousandths of cores. An
// overcommitted resource counts as zero, so that it does not reduce the sum over other
// resources and nodes.
func freeMilliCoreEquivalents(free jobs.Resources) int64 {
	return max(0, free.MilliCores) + 1000*acceleratorCores*max(0, free.Accelerators)
}

// coreSeconds returns the remaining work of an occurrence in core-seconds; nil stands for one of which
// nothing is done.
func (e *Engine) coreSeconds(job *job, occurrence *occurrence) float64 {
	total := 0.0
	for index := range job.submission.Steps {
		count := job.submission.Steps[index].Tasks
		if occurrence != nil {
			count = occurrence.steps[index].remainingTasks
		}
		total += float64(count) * coreEquivalents(job.submission.Steps[index].Need) * e.expectedRuntime(job, index).Seconds()
	}
	return total
}

// objective returns the time within which an occurrence of a job is to finish.
func (e *Engine) objective(job *job) time.Duration {
	stretched := time.Duration(job.queue.Stretch * float64(e.criticalPath(job, nil)))
	return stretched + time.Duration(job.queue.TargetMS)*time.Millisecond
}

// startOfObjective returns the time from which an occurrence's objective counts.
func (e *Engine) startOfObjective(job *job, occurrence *occurrence) time.Time {
	if occurrence.scheduledMS == 0 {
		return job.acceptedAt
	}
	return job.acceptedAt.Add(time.Duration(occurrence.scheduledMS-job.acceptedMS) * time.Millisecond)
}

// waitingUnits returns the units that are ready to start, in scheduling order. They are valid
// until the next call.
func (e *Engine) waitingUnits(now time.Time) []*unit {
	units := e.units[:0]
	e.unitScratch = e.unitScratch[:0]
	nowMS := e.wallMS(now)
	e.updateOverGuarantee()
	e.openDueOccurrences(nowMS)
	for _, job := range e.active {
		if job.state.Final() {
			continue
		}
		for _, occurrence := range job.occurrences {
			if occurrence.remainingTasks > 0 && nowMS >= occurrence.scheduledMS {
				units = e.appendUnits(units, job, occurrence, now)
			}
		}
	}
	sort.SliceStable(units, func(a, b int) bool { return ranksBefore(units[a], units[b]) })
	e.units = units
	return units
}

// ranksBefore reports whether a is placed before b.
func ranksBefore(a, b *unit) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if a.due != b.due {
		return a.due
	}
	if a.guaranteed != b.guaranteed {
		return a.guaranteed
	}
	if a.missesObjective != b.missesObjective {
		return b.missesObjective
	}
	if a.density != b.density {
		return a.density > b.density
	}
	return a.deadline.Before(b.deadline)
}

// appendUnits appends the units of an occurrence that are ready to start.
func (e *Engine) appendUnits(units []*unit, job *job, occurrence *occurrence, now time.Time) []*unit {
	var ranked unit
	for _, step := range occurrence.steps {
		if step.remainingTasks == 0 || !step.predecessorsDone(occurrence) {
			continue
		}
		if step.readyAt.IsZero() {
			step.readyAt = e.readyTime(job, occurrence, step, now)
			step.observeReady(now)
		}
		tasks := step.placeableTasks(now)
		if len(tasks) == 0 {
			continue
		}
		if ranked.job == nil {
			ranked = e.rank(job, occurrence, now)
		}
		u := ranked
		u.step = step
		u.due = u.guaranteed && now.Sub(step.readyAt) >= e.maxGuaranteeDelay()
		u.tasks = tasks
		if step.hasSuspects {
			units = e.appendSuspects(units, &u, now)
		}
		if len(u.tasks) > 0 {
			units = e.appendUnit(units, u)
		}
	}
	return units
}

// appendUnit appends a unit and sets the worker that it avoids, if other workers could hold it.
func (e *Engine) appendUnit(units []*unit, u unit) []*unit {
	if avoided := u.tasks[0].avoidWorker; avoided != "" && e.fitsWithout(&u, avoided) {
		u.avoidWorker = avoided
	}
	e.unitScratch = append(e.unitScratch, u)
	return append(units, &e.unitScratch[len(e.unitScratch)-1])
}

// appendSuspects moves the suspect tasks of a unit to units of their own. A gang is suspect as
// a whole.
func (e *Engine) appendSuspects(units []*unit, source *unit, now time.Time) []*unit {
	var unsuspected []*task
	for index, task := range source.tasks {
		if !task.losses.suspect() {
			unsuspected = append(unsuspected, task)
			continue
		}
		u := *source
		u.isolated = true
		u.emptyOnly = now.Sub(laterTime(task.losses.newestAt, task.step.observedReadyAt)) < maxIsolationDelay
		if source.step.spec.Gang {
			source.tasks = nil
			return e.appendUnit(units, u)
		}
		u.tasks = source.tasks[index : index+1 : index+1]
		units = e.appendUnit(units, u)
	}
	source.tasks = unsuspected
	return units
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// placeableTasks returns the tasks that can be placed now, of a gang all or none. Tasks in
// backoff after failed starts are left out. The result may be the step's own slice and must
// not be modified.
func (s *step) placeableTasks(now time.Time) []*task {
	if s.allPlaceable() {
		return s.tasks
	}
	var placeable []*task
	for _, task := range s.tasks {
		if task.done {
			continue
		}
		if task.run == nil && !now.Before(task.startBackoff.until) {
			placeable = append(placeable, task)
		} else if s.spec.Gang {
			return nil
		}
	}
	return placeable
}

// allPlaceable reports whether no task of the step runs, has ended or failed to start, as with
// most waiting steps.
func (s *step) allPlaceable() bool {
	for _, task := range s.tasks {
		if task.done || task.run != nil || task.startBackoff.failures > 0 {
			return false
		}
	}
	return true
}

// rank returns a unit of an occurrence with its place in the scheduling order, without a step
// or tasks.
func (e *Engine) rank(job *job, occurrence *occurrence, now time.Time) unit {
	objective := e.objective(job)
	start := e.startOfObjective(job, occurrence)
	finish := now.Add(e.criticalPath(job, occurrence))
	u := unit{job: job, occurrence: occurrence, deadline: start.Add(objective), now: now}
	onTime := !finish.After(start.Add(objective))
	late := !finish.After(start.Add(lateFactor * objective))
	switch {
	case job.queue.Priority == 0 && (late || now.Sub(start) < urgentHoldFactor*e.limits.ReclaimTimeout):
		u.tier = tierUrgent
	case onTime:
		u.tier = tierOnTime
	case late:
		u.tier = tierLate
	default:
		u.tier = tierBestEffort
	}
	u.deferrable = u.tier == tierOnTime && u.deadline.Sub(finish) > time.Duration(minSpareShare*float64(finish.Sub(now)))
	u.density = e.density(job, occurrence)
	u.guaranteed = u.tier == tierUrgent && e.withinGuarantee(job)
	if u.tier == tierUrgent && occurrence.updateMissesObjective(finish, u.deadline, finish.Sub(now)) {
		u.rankAsLate()
	}
	return u
}

// density returns the value of finishing an occurrence per core-second of remaining work.
func (e *Engine) density(job *job, occurrence *occurrence) float64 {
	total := e.coreSeconds(job, nil)
	remaining := max(1, e.coreSeconds(job, occurrence))
	mean := e.meanWork(job, total)
	value := min(maxValue, baseValue+workValue*total/mean)
	weight := 1.0
	for range job.queue.Priority {
		weight /= priorityWeight
	}
	return weight * value / remaining
}

// meanWork returns the mean work of a queue's jobs that this leader has loaded, or the given
// work of one job if there are none.
func (e *Engine) meanWork(job *job, jobWork float64) float64 {
	work := e.queueWork[job.queue.Name]
	if work == nil || work.jobs == 0 {
		return max(1, jobWork)
	}
	return max(1, work.coreSeconds/float64(work.jobs))
}

// queueWork sums up the work of a queue's jobs, as submitted.
type queueWork struct {
	coreSeconds float64
	jobs        int
}

// recordQueueWork adds the work of a new job to that of its queue.
func (e *Engine) recordQueueWork(job *job) {
	work := e.queueWork[job.queue.Name]
	if work == nil {
		work = &queueWork{}
		e.queueWork[job.queue.Name] = work
	}
	work.coreSeconds += e.coreSeconds(job, nil)
	work.jobs++
}
