package placing

import (
	"slices"
	"sort"
	"strconv"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// The tasks of an occurrence are built when it is due, and dropped when they are done. A job that waits for a
// later occurrence holds no more than its submission and one bit for each occurrence that is done.

const (
	// urgentOpenShare is the part of Limits.MaxOpenBytes that only work of priority 0 may use.
	urgentOpenShare = 0.25
	// bytesPerOpenStep and bytesPerOpenTask are what a step that waits for workers, and each of its
	// tasks, take in memory.
	bytesPerOpenStep = 1200
	bytesPerOpenTask = 320
)

// occurrence is one execution of the steps of a job that is open: its tasks are built.
type occurrence struct {
	number          int
	scheduledMS     int64 // time of day; 0: at once
	steps           []*step
	remainingTasks  int  // tasks not done
	missesObjective bool // its newest estimate was late, see late_work.go
}

// occurrenceBytes returns what an open occurrence of a job takes in memory.
func (j *job) occurrenceBytes() int64 {
	return int64(len(j.submission.Steps)*bytesPerOpenStep + j.tasksPerOccurrence*bytesPerOpenTask)
}

// newOccurrence returns an occurrence of a job with no task done.
func newOccurrence(job *job, number int) *occurrence {
	submission := job.submission
	occurrence := &occurrence{number: number, remainingTasks: submission.TasksPerOccurrence(), scheduledMS: job.scheduledMS(number)}
	for stepIndex := range submission.Steps {
		spec := &submission.Steps[stepIndex]
		step := &step{job: job, spec: spec, remainingTasks: spec.Tasks}
		for index := range spec.Tasks {
			key := jobs.TaskKey{Job: submission.ID, Occurrence: number, Step: stepIndex, Index: index}
			step.tasks = append(step.tasks, &task{step: step, key: key})
		}
		occurrence.steps = append(occurrence.steps, step)
	}
	return occurrence
}

// scheduledMS returns the time of day at which an occurrence is due; 0 for at once.
func (j *job) scheduledMS(number int) int64 {
	if j.submission.Occurrences == 0 {
		return 0
	}
	return min(jobs.MaxTimeMS, j.submission.FirstAtMS+int64(number)*j.submission.PeriodMS)
}

// occurrence returns the occurrence with a number, which it opens if needed.
func (j *job) occurrence(number int) *occurrence {
	index, ok := slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, number int) int { return o.number - number })
	if ok {
		return j.occurrences[index]
	}
	opened := newOccurrence(j, number)
	if j.doneOccurrences.Has(number) {
		opened.markDone()
	}
	j.occurrences = slices.Insert(j.occurrences, index, opened)
	return opened
}

// markDone marks all tasks as done.
func (o *occurrence) markDone() {
	o.remainingTasks = 0
	for _, step := range o.steps {
		step.remainingTasks = 0
		for _, task := range step.tasks {
			task.done = true
		}
	}
}

// hasRuns reports whether a run of the occurrence may exist.
func (o *occurrence) hasRuns() bool {
	for _, step := range o.steps {
		for _, task := range step.tasks {
			if task.run != nil {
				return true
			}
		}
	}
	return false
}

// completeOccurrence records that all tasks of an occurrence are done.
func (j *job) completeOccurrence(number int) {
	if !j.doneOccurrences.Has(number) {
		j.doneOccurrences.Set(number)
		j.remainingOccurrences--
	}
}

// closeOccurrences drops the tasks of occurrences that are done and have no runs; of a job with a final state,
// those of all occurrences without runs.
func (j *job) closeOccurrences() {
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool {
		return (o.remainingTasks == 0 || j.state.Final()) && !o.hasRuns()
	})
}

// nextDue returns the number of the next occurrence that is due and has not been opened.
func (j *job) nextDue(nowMS int64) (number int, ok bool) {
	for j.nextOccurrence < j.submission.OccurrenceCount() && nowMS >= j.scheduledMS(j.nextOccurrence) {
		if !j.doneOccurrences.Has(j.nextOccurrence) {
			return j.nextOccurrence, true
		}
		j.nextOccurrence++
	}
	return 0, false
}

// openDueOccurrences opens the occurrences that are due, as far as Limits.MaxOpenBytes allows: by priority,
// and those that are due first.
func (e *Engine) openDueOccurrences(nowMS int64) {
	e.openBytes = 0
	var due []*job
	for _, job := range e.active {
		if job.state.Final() {
			continue
		}
		job.closeOccurrences()
		e.openBytes += int64(len(job.occurrences)) * job.occurrenceBytes()
		if _, ok := job.nextDue(nowMS); ok {
			due = append(due, job)
		}
	}
	if e.limits.MaxOpenBytes > 0 {
		sort.SliceStable(due, func(a, b int) bool { return due[a].opensBefore(due[b]) })
	}
	e.unopenedJobs = 0
	for _, job := range due {
		if !e.openOccurrencesOf(job, nowMS) {
			e.unopenedJobs++
		}
	}
}

// opensBefore reports whether the next occurrence of a job is opened before that of another one.
func (j *job) opensBefore(other *job) bool {
	if j.queue.Priority != other.queue.Priority {
		return j.queue.Priority < other.queue.Priority
	}
	return j.nextDueMS() < other.nextDueMS()
}

// nextDueMS returns the time of day from which the next occurrence waits to be opened.
func (j *job) nextDueMS() int64 {
	if j.submission.Occurrences == 0 {
		return j.acceptedMS
	}
	return j.scheduledMS(j.nextOccurrence)
}

// openOccurrencesOf opens the occurrences of a job that are due, and reports whether none is left.
func (e *Engine) openOccurrencesOf(job *job, nowMS int64) bool {
	for {
		number, ok := job.nextDue(nowMS)
		if !ok {
			return true
		}
		before := len(job.occurrences)
		if !e.mayOpen(job) {
			return false
		}
		job.occurrence(number)
		job.nextOccurrence = number + 1
		e.openBytes += int64(len(job.occurrences)-before) * job.occurrenceBytes()
	}
}

// mayOpen reports whether one more occurrence of a job may be opened now. A job that exceeds the limit by itself
// may when nothing else is open.
func (e *Engine) mayOpen(job *job) bool {
	limit := float64(e.limits.MaxOpenBytes)
	if limit == 0 || e.openBytes == 0 {
		return true
	}
	if job.queue.Priority > 0 {
		limit *= 1 - urgentOpenShare
	}
	return float64(e.openBytes+job.occurrenceBytes()) <= limit
}

// openSummary describes, for the log, what is open.
func (e *Engine) openSummary() string {
	return "open_kb " + strconv.FormatInt(e.openBytes>>10, 10) + " unopened_jobs " + strconv.Itoa(e.unopenedJobs)
}

// flat returns the number of a task in the progress record.
func (j *job) flat(o *occurrence, offset int) int { return o.number*j.tasksPerOccurrence + offset }

// restoreDone applies the set of done tasks of a progress record.
func (e *Engine) restoreDone(job *job, done jobs.Bits) {
	recorded := min(job.submission.OccurrenceCount(), (8*len(done)+job.tasksPerOccurrence-1)/job.tasksPerOccurrence)
	for number := range recorded {
		count := 0
		for offset := range job.tasksPerOccurrence {
			if done.Has(number*job.tasksPerOccurrence + offset) {
				count++
			}
		}
		switch count {
		case 0:
		case job.tasksPerOccurrence:
			job.completeOccurrence(number)
		default:
			e.restoreDoneTasks(job, job.occurrence(number), done)
		}
	}
}

// restoreDoneTasks marks the done tasks of an occurrence that is done in part.
func (e *Engine) restoreDoneTasks(job *job, occurrence *occurrence, done jobs.Bits) {
	for offset, task := range occurrence.tasks() {
		if done.Has(job.flat(occurrence, offset)) {
			e.markDone(task)
		}
	}
}

// taskAt returns the task at an offset in the order of the progress record.
func (o *occurrence) taskAt(offset int) *task {
	for _, step := range o.steps {
		if offset < len(step.tasks) {
			return step.tasks[offset]
		}
		offset -= len(step.tasks)
	}
	panic("placing: an occurrence has no task at the offset")
}

// tasks lists the tasks of an occurrence in the order of the progress record.
func (o *occurrence) tasks() []*task {
	var list []*task
	for _, step := range o.steps {
		list = append(list, step.tasks...)
	}
	return list
}
