package placing

import (
	"math"
	"time"
)

// A step that fits on usable workers may still wait, because other workers suit it better or
// because the capacity is reserved for other work. This file logs which preferences delay a
// step, for how long and with how much free capacity, and bounds the delay: in a pool that is
// mostly idle, and for long-running tasks in any pool, a step that fits twice starts within
// some seconds on any usable workers. The tasks of a step are handled by unit: a gang as a
// whole, suspect tasks each on its own, the other waiting tasks of a step together.

const (
	// delayCheckInterval is the time between two checks for delayed steps.
	delayCheckInterval = 250 * time.Millisecond
	// delayLogAfter is how long a step waits before the reason is logged, and delayLogInterval
	// how often it is logged again. Each log line takes a search, so maxDelayLogs bounds their
	// number for each check.
	delayLogAfter    = time.Second
	delayLogInterval = 2 * time.Second
	maxDelayLogs     = 8
	// overdueAfter is the time within which users expect a ready step to start in an idle pool
	// with ample capacity. A step that waits longer is logged as overdue.
	overdueAfter = 3 * time.Second
	// maxStartDelay is how long preferences may delay a step in such a pool. Up to two check
	// intervals pass in addition, and the time to append the placement record and to send the
	// start.
	maxStartDelay = 2 * time.Second
	// firstReportTimeout is the time within which the workers of a pool report to a new leader.
	firstReportTimeout = time.Second
	// idlePoolUse is the share of a pool's capacity in use below which the pool counts as idle.
	// Accelerators and cores are summed by their value in cores, see milliCoreEquivalents.
	// Reserved headroom depends instead on the resource with the highest use, see minUsedShare.
	idlePoolUse = 0.5
	// ampleFitFactor is how many times a gang, or a task that starts alone, must fit for the
	// capacity to count as ample.
	ampleFitFactor = 2
)

// delayCheck is one check for steps that preferences delay.
type delayCheck struct {
	engine          *Engine
	now             time.Time
	usable          *view                   // all usable nodes; nil until it is needed
	headroom        [classes]map[*node]bool // by class of work: nodes withheld from it as headroom
	poolSharesInUse map[string]float64      // by pool, see poolShareInUse
	freeFitCounts   map[fitKey]int          // by kind of task, see freeFitCount
	logged          int                     // steps that were logged
}

// startDelayedUnits places units that preferences have delayed for long enough, and logs why others
// wait although they fit. The pass must not use its own view afterwards, as nodes are
// renumbered.
func (e *Engine) startDelayedUnits(units []*unit, view *view, now time.Time) {
	if now.Sub(e.delaysCheckedAt) < delayCheckInterval {
		return
	}
	e.delaysCheckedAt = now
	check := &delayCheck{engine: e, now: now, poolSharesInUse: map[string]float64{}, freeFitCounts: map[fitKey]int{}}
	check.trackIdlePools()
	for _, unit := range units {
		waiting := unit.unplaced()
		if len(waiting.tasks) == 0 || e.allowedStarts(unit) == 0 {
			continue
		}
		if check.usable == nil && (check.delayBoundApplies(unit) || check.shouldLog(unit)) {
			check.headroom = view.headroomNodes()
			check.usable = e.usableView(now)
		}
		check.startOrLogUnit(waiting)
	}
}

// unplaced returns the tasks of a unit that have no run, as a unit without preferences: it may
// use reserved headroom, and workers that are not empty even if it is suspect.
func (u *unit) unplaced() *unit {
	unplaced := *u
	unplaced.tasks = nil
	for _, task := range u.tasks {
		if task.run == nil {
			unplaced.tasks = append(unplaced.tasks, task)
		}
	}
	unplaced.deferrable = false
	unplaced.emptyOnly = false
	unplaced.ignorePreferences = true
	return &unplaced
}

// usableView returns a view of all usable nodes, including those in backoff or isolated. It
// renumbers the nodes.
func (e *Engine) usableView(now time.Time) *view {
	var nodes []*node
	for _, n := range e.nodeOrder {
		if n.usable(now) && e.capacityTrusted(n, now) {
			nodes = append(nodes, n)
		}
	}
	return e.viewOf(nodes)
}

// startOrLogUnit places the tasks of a unit that must start now, and logs what delayed it, or
// what delays the unit if none of its tasks must start.
func (c *delayCheck) startOrLogUnit(unit *unit) {
	c.trackAmpleCapacity(unit)
	mustStart := c.mustStart(unit)
	if len(mustStart.tasks) == 0 && !c.shouldLog(unit) {
		return
	}
	reservation := unit.releaseReservation(c.usable)
	candidate := mustStart
	if len(mustStart.tasks) == 0 {
		candidate = unit
	}
	placements := c.engine.limitStarts(candidate, c.usable.fit(candidate, false))
	if len(placements) > 0 && (candidate == mustStart || c.shouldLog(unit)) {
		c.logDelay(unit, placements)
	}
	if len(placements) > 0 && candidate == mustStart {
		c.engine.assumeUnit(mustStart, placements, c.usable, c.now)
		delete(c.poolSharesInUse, unit.job.queue.Pool)
		clear(c.freeFitCounts)
	} else if reservation != nil {
		unit.reserve(reservation, c.usable)
	}
}

// trackAmpleCapacity records since when the tasks of a unit have waited in an idle pool with
// ample capacity although users expect them to run, see expectedToRun.
func (c *delayCheck) trackAmpleCapacity(unit *unit) {
	ample := unit.expectedToRun() && c.delayBoundApplies(unit) && c.hasAmpleCapacity(unit)
	for _, task := range unit.tasks {
		if !ample {
			task.ampleCapacitySince = time.Time{}
		} else if task.ampleCapacitySince.IsZero() {
			task.ampleCapacitySince = c.now
		}
	}
}

// expectedToRun reports whether users expect some of a unit's tasks to run: no task of its job
// runs, or its tasks are long-running, each of which is expected to run whatever else of the
// job does.
func (u *unit) expectedToRun() bool { return u.step.spec.LongRunning || !u.job.hasRunningTask() }

// hasRunningTask reports whether a task of the job is known to run: its worker answers.
func (j *job) hasRunningTask() bool {
	for _, occurrence := range j.occurrences {
		for _, step := range occurrence.steps {
			for _, task := range step.tasks {
				if task.run != nil && task.run.phase == phaseRunning && task.run.node.answering {
					return true
				}
			}
		}
	}
	return false
}

// mustStart returns the tasks of a unit that preferences may delay no longer; of a gang all or
// none.
func (c *delayCheck) mustStart(unit *unit) *unit {
	mustStart := *unit
	mustStart.tasks = nil
	if !c.workersReported(unit.step) {
		return &mustStart
	}
	for _, task := range unit.tasks {
		if !task.ampleCapacitySince.IsZero() && c.now.Sub(task.ampleCapacitySince) >= maxStartDelay {
			mustStart.tasks = append(mustStart.tasks, task)
		}
	}
	if unit.step.spec.Gang && len(mustStart.tasks) < len(unit.tasks) {
		mustStart.tasks = nil
	}
	return &mustStart
}

// workersReported reports whether the workers of a step's pool have reported to this leader,
// or have had firstReportTimeout to do so since the leader first found the step ready.
func (c *delayCheck) workersReported(step *step) bool {
	if c.now.Sub(step.observedReadyAt) >= firstReportTimeout {
		return true
	}
	for _, n := range c.engine.nodeOrder {
		if n.entry.Pool == step.job.queue.Pool && !n.reported && n.expectedUsable(c.now) {
			return false
		}
	}
	return true
}

// delayBoundApplies reports whether the delay of a unit is bounded if there is ample capacity:
// its pool is idle, or its tasks are long-running, for which every pool counts as idle.
func (c *delayCheck) delayBoundApplies(unit *unit) bool {
	return unit.step.spec.LongRunning || c.poolShareInUse(unit.job.queue.Pool) < idlePoolUse
}

// poolShareInUse returns the share in use of a pool's capacity, in core equivalents. It counts
// the workers that are listed, not silent and not evacuated, and is 1 if there are none.
func (c *delayCheck) poolShareInUse(pool string) float64 {
	if cached, ok := c.poolSharesInUse[pool]; ok {
		return cached
	}
	var used, total int64
	for _, n := range c.engine.nodeOrder {
		if n.entry.Pool == pool && n.listed && n.silentAt.IsZero() && !n.evacuated {
			used += milliCoreEquivalents(n.used)
			total += milliCoreEquivalents(n.entry.Capacity)
		}
	}
	c.poolSharesInUse[pool] = 1
	if total > 0 {
		c.poolSharesInUse[pool] = ratio(used, total)
	}
	return c.poolSharesInUse[pool]
}

// hasAmpleCapacity reports whether a unit's gang, or a task of it that starts alone, fits
// twice.
func (c *delayCheck) hasAmpleCapacity(unit *unit) bool {
	wanted := ampleFitFactor
	if unit.step.spec.Gang {
		wanted *= len(unit.tasks)
	}
	return c.freeFitCount(unit) >= wanted
}

// freeFitCount returns how many tasks like those of a unit fit into the free capacity of the
// workers that may run them. Counts are not cached for steps with advice, as their tickets
// differ, nor for steps with a limit for each worker. An expired ticket counts, as it can be
// requested again.
func (c *delayCheck) freeFitCount(unit *unit) int {
	key := c.usable.fitKeyOf(unit, false)
	cacheable := unit.step.spec.MaxPerWorker == 0 && !unit.job.queue.NeedsAdvice
	if cached, ok := c.freeFitCounts[key]; ok && cacheable {
		return cached
	}
	count := 0
	for _, node := range c.usable.nodes {
		if unit.eligible(node) && unit.hasAnyTicket(node) {
			count += c.usable.capacityFor(node, unit.step, unit.step.need(), math.MaxInt32)
		}
	}
	if cacheable {
		c.freeFitCounts[key] = count
	}
	return count
}
