package placing

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Users allow a ready task to wait for allowedIdleDelay while nothing of its job runs, it fits
// twice and less than half of the capacity is in use, if there was no fault in that time or in
// faultFreePeriod before it. Each long-running task counts on its own, from
// longRunningRestartDelay after its last run.
const (
	allowedIdleDelay        = 3 * time.Second
	faultFreePeriod         = 4 * time.Second
	longRunningRestartDelay = 6 * time.Second
)

const (
	// leaderChangeTime is the time that a leader change adds to the start of a task that was
	// placed but not started: query the runs and get the answer, write and confirm the
	// placement, send the start, each done by the next tick, and one more tick for the pass.
	leaderChangeTime = 6 * simTick
	// minLeaderChangeInterval and maxLeaderChangeInterval bound the time between two leader
	// changes in runs without other faults. At most maxLeaderChangesPerWait of them fall into
	// one wait.
	minLeaderChangeInterval = 1500 * time.Millisecond
	maxLeaderChangeInterval = 4 * time.Second
	maxLeaderChangesPerWait = 3
)

// idleDelayCheck tracks work that waits beside idle capacity, across leader changes.
type idleDelayCheck struct {
	maxDelay           time.Duration              // longest allowed delay
	countLeaderChanges bool                       // maxDelay includes leader changes, which are no faults then
	lastFaultAt        time.Time                  // time of the latest fault
	lastLeaderChangeAt time.Time                  // time of the latest leader change
	loggedDone         map[jobs.TaskKey]bool      // tasks that are done according to the log
	loggedPlacement    map[jobs.TaskKey]string    // incarnation where a task may run according to the log
	lastRunAt          map[jobs.TaskKey]time.Time // when a long-running task last ran
	waitingSince       map[waitingUnit]time.Time
	reported           map[waitingUnit]bool
}

// waitingUnit is a step that has to start, or one task of a long-running step.
type waitingUnit struct {
	step  jobs.TaskKey // key of its first task
	index int          // index of the long-running task, or -1
}

func stepKey(key jobs.TaskKey) jobs.TaskKey {
	key.Index = 0
	return key
}

func (s *simulation) enableDelayCheck(leaderChanges bool) {
	s.delays = &idleDelayCheck{maxDelay: allowedIdleDelay, countLeaderChanges: leaderChanges, lastFaultAt: s.now, loggedDone: map[jobs.TaskKey]bool{}, loggedPlacement: map[jobs.TaskKey]string{},
		lastRunAt: map[jobs.TaskKey]time.Time{}, reported: map[waitingUnit]bool{}}
	if leaderChanges {
		s.delays.maxDelay += maxLeaderChangesPerWait * leaderChangeTime
	}
}

func (s *simulation) recordFault() {
	if s.delays != nil {
		s.delays.lastFaultAt = s.now
	}
}

func (s *simulation) recordLeaderChange() {
	if s.delays == nil {
		return
	}
	s.delays.lastLeaderChangeAt = s.now
	if !s.delays.countLeaderChanges {
		s.recordFault()
	}
}

// readProgress reads from the log which tasks are done and where others may run.
func (s *simulation) readProgress(record jobs.Record) {
	id, ok := strings.CutPrefix(record.Key, "p/")
	if s.delays == nil || !ok || len(record.Value) == 0 {
		return
	}
	progress, err := jobs.DecodeProgress(record.Value)
	if err != nil {
		s.violationf("progress of %s: %v", id, err)
		return
	}
	var keys []jobs.TaskKey
	for step, spec := range s.table.Job(id).Submission.Steps {
		for i := range spec.Tasks {
			keys = append(keys, jobs.TaskKey{Job: id, Step: step, Index: i})
		}
	}
	for flat, key := range keys {
		delete(s.delays.loggedPlacement, key)
		if progress.Done.Has(flat) {
			s.delays.loggedDone[key] = true
		}
	}
	for _, task := range progress.Tasks {
		if task.Worker != "" {
			s.delays.loggedPlacement[keys[task.Flat]] = IncarnationID(task.Worker, task.BornMS)
		}
	}
}

// fleet is a snapshot of the state of the workers.
type fleet struct {
	sim          *simulation
	runningSteps map[jobs.TaskKey]bool // steps with a running task, by their first task
	runningTasks map[jobs.TaskKey]bool // all running tasks
	runningJobs  map[string]bool       // jobs with a running task
	done         map[jobs.TaskKey]bool // tasks that reachable workers report as done
	available    []*modelWorker        // workers that can get new work
}

func (s *simulation) currentFleet() *fleet {
	f := &fleet{sim: s, runningSteps: map[jobs.TaskKey]bool{}, runningTasks: map[jobs.TaskKey]bool{}, runningJobs: map[string]bool{}, done: map[jobs.TaskKey]bool{}}
	for _, worker := range s.incarnations {
		if !worker.up {
			continue
		}
		for key := range worker.running {
			f.runningSteps[stepKey(key)], f.runningTasks[key], f.runningJobs[key.Job] = true, true, true
		}
		if s.now.Before(worker.partitionedUntil) {
			continue
		}
		for _, end := range worker.unackedEnds {
			if end.Kind == EndDone {
				f.done[end.Task] = true
			}
		}
		if s.listing[worker.entry.Name].ID == worker.entry.ID && !s.removed[worker.entry.Name] && !s.evacuated[worker.entry.Zone] {
			f.available = append(f.available, worker)
		}
	}
	return f
}

// taskDone reports whether a task is done according to a reachable worker or the log.
func (f *fleet) taskDone(key jobs.TaskKey) bool { return f.done[key] || f.sim.delays.loggedDone[key] }

// stepDone reports whether a step has ended. The members of a gang end together.
func (f *fleet) stepDone(key jobs.TaskKey, spec *jobs.Step) bool {
	for i := range spec.Tasks {
		key.Index = i
		if f.taskDone(key) == spec.Gang {
			return spec.Gang
		}
	}
	return !spec.Gang
}

// waitingUnits returns the units of a job that have to start.
func (f *fleet) waitingUnits(job *jobs.Submission) []waitingUnit {
	var list []waitingUnit
	for i := range job.Steps {
		spec := &job.Steps[i]
		key := jobs.TaskKey{Job: job.ID, Step: i}
		if !f.dependenciesDone(job, spec) || f.stepDone(key, spec) {
			continue
		}
		switch {
		case spec.LongRunning:
			list = append(list, f.waitingLongRunning(key, spec)...)
		case spec.Gang && !f.runningSteps[key], !spec.Gang && !f.runningJobs[key.Job]:
			list = append(list, waitingUnit{step: key, index: -1})
		}
	}
	return list
}

func (f *fleet) dependenciesDone(job *jobs.Submission, spec *jobs.Step) bool {
	for _, dependency := range spec.After {
		key := jobs.TaskKey{Job: job.ID, Step: dependency}
		if f.runningSteps[key] || !f.stepDone(key, &job.Steps[dependency]) {
			return false
		}
	}
	return true
}

func (f *fleet) waitingLongRunning(key jobs.TaskKey, spec *jobs.Step) []waitingUnit {
	var list []waitingUnit
	for i := range spec.Tasks {
		task := key
		task.Index = i
		if f.runningTasks[task] {
			f.sim.delays.lastRunAt[task] = f.sim.now
			continue
		}
		list = append(list, waitingUnit{step: key, index: i})
	}
	return list
}

// mayStillRun reports whether a unit may still run without the leader being able to know: the
// log places it on a worker that is partitioned, or on a removed worker that has never answered this
// leader, and a former leader may have granted it a lease that has not expired.
func (f *fleet) mayStillRun(unit waitingUnit) bool {
	granted := f.sim.delays.lastLeaderChangeAt.Add(LeaseExpiry(testLimits.MaxLease) + testLimits.LostLeaderTimeout)
	spec := f.sim.stepOf(unit.step)
	key := unit.step
	for i := range spec.Tasks {
		key.Index = i
		if unit.index >= 0 && unit.index != i || f.taskDone(key) {
			continue
		}
		placement := f.sim.delays.loggedPlacement[key]
		away := f.sim.isPartitioned(placement) || !f.sim.now.After(granted) && f.sim.isRemovedWithoutAnswer(placement)
		if away == spec.Gang {
			return away
		}
	}
	return !spec.Gang
}

// isRemovedWithoutAnswer reports whether an incarnation is removed and has not answered the
// current leader.
func (s *simulation) isRemovedWithoutAnswer(id string) bool {
	worker := s.findWorker(id)
	return worker != nil && s.removed[worker.entry.Name] && s.leader.lastAnswerAt[id].IsZero()
}

// isPartitioned reports whether an incarnation is alive and cannot be reached now.
func (s *simulation) isPartitioned(id string) bool {
	worker := s.findWorker(id)
	return worker != nil && worker.up && s.now.Before(worker.partitionedUntil)
}

// weightedCores converts resources to thousandths of cores at the users' prices.
func weightedCores(r jobs.Resources) int64 { return r.MilliCores + 8*1000*r.Accelerators }

func (f *fleet) isUnderHalfUsed() bool {
	used, total := int64(0), int64(0)
	for _, worker := range f.available {
		total += weightedCores(worker.entry.Capacity)
		for key := range worker.running {
			used += weightedCores(f.sim.stepOf(key).Need)
		}
	}
	return 2*used < total
}

// fitsTwice reports whether a unit fits twice into the free capacity.
func (f *fleet) fitsTwice(unit waitingUnit) bool {
	spec := f.sim.stepOf(unit.step)
	wanted := 2
	if spec.Gang {
		wanted = 2 * spec.Tasks
	}
	for _, worker := range f.available {
		if spec.RequiredLabel == "" || hasLabel(worker, spec.RequiredLabel) {
			wanted -= f.capacityOn(worker, unit.step, spec)
		}
	}
	return wanted <= 0
}

func hasLabel(worker *modelWorker, label string) bool {
	for _, own := range worker.entry.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// capacityOn returns how many more tasks of a step fit on a worker.
func (f *fleet) capacityOn(worker *modelWorker, step jobs.TaskKey, spec *jobs.Step) int {
	free, running := worker.entry.Capacity, 0
	for key := range worker.running {
		free = free.Sub(f.sim.stepOf(key).Need)
		if stepKey(key) == step {
			running++
		}
	}
	count := 0
	for free.Fits(spec.Need) && count < 2*spec.Tasks && (spec.MaxPerWorker == 0 || running+count < spec.MaxPerWorker) {
		free = free.Sub(spec.Need)
		count++
	}
	return count
}

// checkIdleDelays checks that nothing waits too long beside idle capacity.
func (s *simulation) checkIdleDelays() {
	if s.delays == nil {
		return
	}
	for _, worker := range s.incarnations {
		if !worker.partitionedUntil.After(s.now) {
			s.delays.lastFaultAt = laterTime(s.delays.lastFaultAt, worker.partitionedUntil)
		}
	}
	since := map[waitingUnit]time.Time{}
	var f *fleet
	for _, job := range s.jobs {
		if s.table.Job(job.ID).State().Final() {
			continue
		}
		if f == nil {
			f = s.currentFleet()
		}
		for _, unit := range f.waitingUnits(job) {
			if !f.isUnderHalfUsed() || !f.fitsTwice(unit) || f.mayStillRun(unit) {
				continue
			}
			since[unit] = s.now
			if previous, waited := s.delays.waitingSince[unit]; waited {
				since[unit] = previous
			}
			s.checkDelay(unit, since[unit])
		}
	}
	s.delays.waitingSince = since
}

func (s *simulation) checkDelay(unit waitingUnit, since time.Time) {
	from := laterTime(since, s.delays.lastFaultAt.Add(faultFreePeriod))
	if unit.index >= 0 {
		task := unit.step
		task.Index = unit.index
		if last, ran := s.delays.lastRunAt[task]; ran {
			from = laterTime(from, last.Add(longRunningRestartDelay))
		}
	}
	if s.now.Sub(from) < s.delays.maxDelay || s.delays.reported[unit] {
		return
	}
	s.delays.reported[unit] = true
	unitName := fmt.Sprintf("step %d", unit.step.Step)
	if unit.index >= 0 {
		unitName += fmt.Sprintf(" long-running task %d", unit.index)
	}
	s.violationf("job %s %s waits beside idle capacity since %v: %+v", unit.step.Job, unitName, since.Sub(testStart), *s.stepOf(unit.step))
}
