package placing

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// The users' rule: nothing of a job runs for idleWait while a task's turn has come, there is
// room for it twice over and under half of the room is in use, in that time and idleCalm
// before it without a mishap. A task that lasts counts by itself, from lastingRest after its
// last run.
const (
	idleWait    = 3 * time.Second
	idleCalm    = 4 * time.Second
	lastingRest = 6 * time.Second
)

const (
	// takeOverTime is what a take-over costs a start that was placed and not begun: what
	// runs is asked for and answered, the placement written and confirmed, the start sent,
	// each done by the next tick, and one more for the pass.
	takeOverTime = 6 * worldTick
	// takeOverLeast and takeOverMost are between two take-overs of the calm world whose
	// holders are replaced. takeOversWithin of them fall into one wait at most.
	takeOverLeast   = 1500 * time.Millisecond
	takeOverMost    = 4 * time.Second
	takeOversWithin = 3
)

// idleWatch follows what waits beside idle room, whoever holds the term.
type idleWatch struct {
	wait      time.Duration              // longest that is allowed
	takeOvers bool                       // they are counted in, and no mishap
	disturbed time.Time                  // when the newest mishap was played
	takenOver time.Time                  // newest take-over
	logged    map[jobs.TaskKey]bool      // as done
	placed    map[jobs.TaskKey]string    // life that a task may run at, by the log
	ran       map[jobs.TaskKey]time.Time // when a task that lasts was last at work
	since     map[waitingUnit]time.Time
	told      map[waitingUnit]bool
}

// waitingUnit is what has to begin: a step, or a task that lasts.
type waitingUnit struct {
	step  jobs.TaskKey // its first task
	index int          // of a task that lasts, or -1
}

func stepKey(key jobs.TaskKey) jobs.TaskKey {
	key.Index = 0
	return key
}

func (w *world) watchIdle(takeOvers bool) {
	w.idle = &idleWatch{wait: idleWait, takeOvers: takeOvers, disturbed: w.now, logged: map[jobs.TaskKey]bool{}, placed: map[jobs.TaskKey]string{},
		ran: map[jobs.TaskKey]time.Time{}, told: map[waitingUnit]bool{}}
	if takeOvers {
		w.idle.wait += takeOversWithin * takeOverTime
	}
}

func (w *world) disturb() {
	if w.idle != nil {
		w.idle.disturbed = w.now
	}
}

func (w *world) disturbByTakeOver() {
	if w.idle == nil {
		return
	}
	w.idle.takenOver = w.now
	if !w.idle.takeOvers {
		w.disturb()
	}
}

// readProgress takes from the log which tasks are done, and where others may run.
func (w *world) readProgress(record jobs.Record) {
	id, ok := strings.CutPrefix(record.Key, "p/")
	if w.idle == nil || !ok || len(record.Value) == 0 {
		return
	}
	progress, err := jobs.DecodeProgress(record.Value)
	if err != nil {
		w.fault("progress of %s: %v", id, err)
		return
	}
	var keys []jobs.TaskKey
	for step, spec := range w.table.Job(id).Submission.Steps {
		for index := range spec.Tasks {
			keys = append(keys, jobs.TaskKey{Job: id, Step: step, Index: index})
		}
	}
	for flat, key := range keys {
		delete(w.idle.placed, key)
		if progress.Done.Has(flat) {
			w.idle.logged[key] = true
		}
	}
	for _, task := range progress.Tasks {
		if task.Worker != "" {
			w.idle.placed[keys[task.Flat]] = LifeID(task.Worker, task.BornMS)
		}
	}
}

// books are what the workers know at a moment.
type books struct {
	w     *world
	steps map[jobs.TaskKey]bool // with a task at work, by the first
	tasks map[jobs.TaskKey]bool // at work
	jobs  map[string]bool       // with a task at work
	ended map[jobs.TaskKey]bool // as done, listed by workers in touch
	fleet []*modelWorker        // that may be given work
}

func (w *world) books() *books {
	made := &books{w: w, steps: map[jobs.TaskKey]bool{}, tasks: map[jobs.TaskKey]bool{}, jobs: map[string]bool{}, ended: map[jobs.TaskKey]bool{}}
	for _, worker := range w.workers {
		if !worker.up {
			continue
		}
		for key := range worker.running {
			made.steps[stepKey(key)], made.tasks[key], made.jobs[key.Job] = true, true, true
		}
		if w.now.Before(worker.cut) {
			continue
		}
		for _, end := range worker.ends {
			if end.How == EndDone {
				made.ended[end.Task] = true
			}
		}
		if w.listed[worker.entry.Name].ID == worker.entry.ID && !w.gone[worker.entry.Name] && !w.closed[worker.entry.Zone] {
			made.fleet = append(made.fleet, worker)
		}
	}
	return made
}

// taskDone reports whether a task has ended as done, as a worker in touch or the log says.
func (b *books) taskDone(key jobs.TaskKey) bool { return b.ended[key] || b.w.idle.logged[key] }

// stepDone reports whether a step is over. The members of a gang end as one.
func (b *books) stepDone(key jobs.TaskKey, spec *jobs.Step) bool {
	for index := range spec.Tasks {
		key.Index = index
		if b.taskDone(key) == spec.Gang {
			return spec.Gang
		}
	}
	return !spec.Gang
}

// waiting returns what of a job has to begin.
func (b *books) waiting(submission *jobs.Submission) []waitingUnit {
	var list []waitingUnit
	for index := range submission.Steps {
		spec := &submission.Steps[index]
		key := jobs.TaskKey{Job: submission.ID, Step: index}
		if !b.turnCame(submission, spec) || b.stepDone(key, spec) {
			continue
		}
		switch {
		case spec.Lasting:
			list = append(list, b.waitingLasting(key, spec)...)
		case spec.Gang && !b.steps[key], !spec.Gang && !b.jobs[key.Job]:
			list = append(list, waitingUnit{step: key, index: -1})
		}
	}
	return list
}

func (b *books) turnCame(submission *jobs.Submission, spec *jobs.Step) bool {
	for _, earlier := range spec.After {
		key := jobs.TaskKey{Job: submission.ID, Step: earlier}
		if b.steps[key] || !b.stepDone(key, &submission.Steps[earlier]) {
			return false
		}
	}
	return true
}

func (b *books) waitingLasting(key jobs.TaskKey, spec *jobs.Step) []waitingUnit {
	var list []waitingUnit
	for index := range spec.Tasks {
		task := key
		task.Index = index
		if b.tasks[task] {
			b.w.idle.ran[task] = b.w.now
			continue
		}
		list = append(list, waitingUnit{step: key, index: index})
	}
	return list
}

// mayRun reports whether a unit may be at work where the holder of the term cannot tell: the
// log places it on a worker that is gone for good and has never answered that holder, and a
// former holder may have granted it a lease that has not lapsed.
func (b *books) mayRun(unit waitingUnit) bool {
	granted := b.w.idle.takenOver.Add(LeaseLapse(testLimits.Lease) + testLimits.HolderGone)
	if b.w.now.After(granted) {
		return false
	}
	spec := b.w.step(unit.step)
	key := unit.step
	for index := range spec.Tasks {
		key.Index = index
		if unit.index >= 0 && unit.index != index || b.taskDone(key) {
			continue
		}
		away := b.w.goneUnheard(b.w.idle.placed[key])
		if away == spec.Gang {
			return away
		}
	}
	return !spec.Gang
}

// goneUnheard reports whether a life is gone for good and has not answered the holder of the
// term.
func (w *world) goneUnheard(life string) bool {
	worker := w.find(life)
	return worker != nil && w.gone[worker.entry.Name] && w.holder.heardAt[life].IsZero()
}

// weight is what resources count in thousandths of cores, as the users price them.
func weight(amount jobs.Resources) int64 { return amount.MilliCores + 8*1000*amount.Accelerators }

func (b *books) underHalf() bool {
	used, whole := int64(0), int64(0)
	for _, worker := range b.fleet {
		whole += weight(worker.entry.Capacity)
		for key := range worker.running {
			used += weight(b.w.step(key).Need)
		}
	}
	return 2*used < whole
}

// holds reports whether there is room for a unit twice over.
func (b *books) holds(unit waitingUnit) bool {
	spec := b.w.step(unit.step)
	wanted := 2
	if spec.Gang {
		wanted = 2 * spec.Tasks
	}
	for _, worker := range b.fleet {
		if spec.RequiredLabel == "" || hasLabel(worker, spec.RequiredLabel) {
			wanted -= b.seatsOn(worker, unit.step, spec)
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

// seatsOn is how many more tasks of a step a worker holds.
func (b *books) seatsOn(worker *modelWorker, step jobs.TaskKey, spec *jobs.Step) int {
	free, same := worker.entry.Capacity, 0
	for key := range worker.running {
		free = free.Sub(b.w.step(key).Need)
		if stepKey(key) == step {
			same++
		}
	}
	count := 0
	for free.Fits(spec.Need) && count < 2*spec.Tasks && (spec.PerWorker == 0 || same+count < spec.PerWorker) {
		free = free.Sub(spec.Need)
		count++
	}
	return count
}

// checkIdle holds that nothing waits for long beside idle room.
func (w *world) checkIdle() {
	if w.idle == nil {
		return
	}
	for _, worker := range w.workers {
		if !worker.cut.After(w.now) {
			w.idle.disturbed = latest(w.idle.disturbed, worker.cut)
		}
	}
	since := map[waitingUnit]time.Time{}
	var known *books
	for _, submission := range w.jobs {
		if w.table.Job(submission.ID).State().Final() {
			continue
		}
		if known == nil {
			known = w.books()
		}
		for _, unit := range known.waiting(submission) {
			if !known.underHalf() || !known.holds(unit) || known.mayRun(unit) {
				continue
			}
			since[unit] = w.now
			if former, waited := w.idle.since[unit]; waited {
				since[unit] = former
			}
			w.checkWait(unit, since[unit])
		}
	}
	w.idle.since = since
}

func (w *world) checkWait(unit waitingUnit, since time.Time) {
	calm := latest(since, w.idle.disturbed.Add(idleCalm))
	if unit.index >= 0 {
		task := unit.step
		task.Index = unit.index
		if last, ran := w.idle.ran[task]; ran {
			calm = latest(calm, last.Add(lastingRest))
		}
	}
	if w.now.Sub(calm) < w.idle.wait || w.idle.told[unit] {
		return
	}
	w.idle.told[unit] = true
	what := fmt.Sprintf("step %d", unit.step.Step)
	if unit.index >= 0 {
		what += fmt.Sprintf(" task %d, which lasts,", unit.index)
	}
	w.fault("job %s %s waits beside idle room since %v: %+v", unit.step.Job, what, since.Sub(testStart), *w.step(unit.step))
}
