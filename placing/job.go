package placing

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// job is the scheduling state of one job.
type job struct {
	submission    *jobs.Submission
	queue         jobs.Queue
	acceptedAt    time.Time // on the monotonic clock; may be before the engine was created
	acceptedMS    int64     // time of day at acceptedAt
	state         jobs.State
	recordedState jobs.State // in the newest state record
	reason        string
	endedAt       time.Time
	endedMS       int64
	readyMS       int64 // time of day when the newest step became ready that had waited for other steps
	dirty         bool
	reservation   *reservation // capacity set aside while victims are stopped for this job
	stops         stopCount

	occurrences          []*occurrence // open ones, by number
	nextOccurrence       int           // lowest that was not opened by its time
	doneOccurrences      jobs.Bits
	remainingOccurrences int // not done
	tasksPerOccurrence   int
}

// step is one step of an occurrence. The tasks of a gang are placed and ended together, and
// their attempts and losses are counted once.
type step struct {
	job             *job
	spec            *jobs.Step
	tasks           []*task
	remainingTasks  int            // tasks not done
	readyAt         time.Time      // when it became ready, under this or a former leader; zero before
	observedReadyAt time.Time      // when this leader first found it ready
	nextSearchAt    time.Time      // no search for capacity before
	delayLoggedAt   time.Time      // when the reason of its start delay was last logged
	advice          *advice        // nil until the first answer
	adviceSentAt    time.Time      // when its last advice request was sent
	rates           []progressRate // of its runs so far
	comparedRates   int            // number of rates that were compared
	hasSuspects     bool           // a run of one of its tasks was lost with the worker
}

// task is the scheduling state of one task.
type task struct {
	step               *step
	key                jobs.TaskKey
	done               bool
	failedRuns         int // runs that ended as failed
	lastRun            int // highest run number given
	lastEndedRun       int // highest run whose end was handled; ends are listed until acknowledged
	checkpoint         string
	run                *run // nil unless a run may exist
	avoidWorker        string
	losses             losses
	startBackoff       startBackoff
	stalls             int       // runs that were stopped as stalled
	ampleCapacitySince time.Time // since when it has waited despite ample free capacity; zero: it does not
	lastRunEndedAt     time.Time // when its last run that started, or may have, ended
}

// phase is the stage that a run has reached.
type phase int

const (
	phasePlanned   phase = iota // capacity is taken, nothing was sent
	phaseOrdered                // the start was sent and not yet answered
	phaseRunning                // the worker has it
	phaseUncertain              // it may be at the worker or arrive there; a stop was ordered
	phaseStopping               // a stop was ordered
)

// run is one run of a task, from its placement until it is certain that it
// neither runs nor will.
type run struct {
	task            *task
	number          int
	node            *node
	phase           phase
	orderedAt       time.Time
	awaitsAnswer    bool // its start was ordered and not answered yet
	startOrigin     AnswerOrigin
	copiesGivenUpAt time.Time // when copies of its start were given up without an answer; zero for none
	startedAt       time.Time // when the worker was known to have it
	percent         int
	percentAt       time.Time // when percent last grew
	reportedAt      time.Time // of the newest report that showed it
	resumed         bool      // from a checkpoint, or under a former leader
	basePercent     int       // of a resumed run, as first reported
	basePercentAt   time.Time // when basePercent was reported
	stoppedAt       time.Time // when its stop was first sent
	stopSentAt      time.Time // when its stop was last sent
	stopDoneAt      time.Time // when the worker acknowledged the stop
	stopReason      string
	seen            bool // listed in a report of the worker
	throttled       bool // works at pacePercent, of a hundred
	pacePercent     int
	paceSentAt      time.Time
	speedCompared   bool // its progress was compared with its siblings'
	unconfirmed     bool // restored from the log; its worker has not reported yet
	workerRestarted bool // restored from the log; its worker has restarted since
	isolated        bool // its worker gets nothing else, as the task is suspect
}

func newJob(submission *jobs.Submission, queue jobs.Queue, now time.Time, nowMS int64) *job {
	age := time.Duration(0)
	if submission.AcceptedMS > 0 && submission.AcceptedMS < nowMS {
		age = time.Duration(nowMS-submission.AcceptedMS) * time.Millisecond
	}
	job := &job{submission: submission, queue: queue, state: jobs.StateQueued, recordedState: jobs.StateQueued, acceptedAt: now.Add(-age)}
	job.acceptedMS = nowMS - age.Milliseconds()
	job.remainingOccurrences = submission.OccurrenceCount()
	job.tasksPerOccurrence = submission.TasksPerOccurrence()
	return job
}

// task returns the task with a key, or nil if the job has none.
func (j *job) task(key jobs.TaskKey) *task {
	if key.Occurrence < 0 || key.Occurrence >= j.submission.OccurrenceCount() || key.Step < 0 || key.Step >= len(j.submission.Steps) {
		return nil
	}
	if key.Index < 0 || key.Index >= j.submission.Steps[key.Step].Tasks {
		return nil
	}
	return j.occurrence(key.Occurrence).steps[key.Step].tasks[key.Index]
}

// openTasks lists the tasks of the open occurrences in the order of the progress record.
func (j *job) openTasks() []*task {
	var list []*task
	for _, occurrence := range j.occurrences {
		list = append(list, occurrence.tasks()...)
	}
	return list
}

// progressRecord returns the job's progress as stored in the log. For an ended job only
// the state is stored: nothing of it is placed again, and runs that are left are stopped
// wherever they are found.
func (j *job) progressRecord() jobs.Record {
	progress := &jobs.Progress{State: j.state, Reason: j.reason}
	if j.state.Final() {
		progress.EndedMS = j.endedMS
	} else {
		progress.ReadyMS = j.readyMS
		j.recordTasks(progress)
	}
	record, err := jobs.ProgressRecord(j.submission.ID, progress)
	if err != nil {
		panic("placing: progress cannot be encoded: " + err.Error())
	}
	return record
}

// recordTasks adds the tasks that are done or have had a run to a progress record.
func (j *job) recordTasks(progress *jobs.Progress) {
	for number := range j.submission.OccurrenceCount() {
		if !j.doneOccurrences.Has(number) {
			continue
		}
		for offset := range j.tasksPerOccurrence {
			progress.Done.Set(number*j.tasksPerOccurrence + offset)
		}
	}
	for _, occurrence := range j.occurrences {
		for offset, task := range occurrence.tasks() {
			task.record(j.flat(occurrence, offset), progress)
		}
	}
}

// record adds a task to a progress record if it is done or has had a run.
func (t *task) record(flat int, progress *jobs.Progress) {
	if t.done {
		progress.Done.Set(flat)
		return
	}
	if t.lastRun == 0 {
		return
	}
	recorded := jobs.TaskProgress{Flat: flat, Run: t.lastRun, Failed: t.failedRuns, Judged: t.lastEndedRun, Checkpoint: t.checkpoint,
		Losses: t.losses.total, EarlyLosses: t.losses.early}
	if t.run != nil {
		recorded.Worker, recorded.BornMS = t.run.node.recordedName()
	}
	progress.Tasks = append(progress.Tasks, recorded)
}

// restoreJob restores a job from the log. A former leader may have written only its
// progress or only its final state: then the other is written too.
func (e *Engine) restoreJob(job *job, stored *jobs.Job, now time.Time) {
	if stored.RecordedState != "" {
		job.recordedState = stored.RecordedState
	}
	if stored.Progress != nil {
		e.restoreProgress(job, stored.Progress)
	}
	if stored.RecordedState == jobs.StateRunning && job.state == jobs.StateQueued {
		job.state = jobs.StateRunning // it started after its newest progress was recorded
	}
	if stored.RecordedState.Final() && !job.state.Final() {
		// The former leader did not write its progress, or that was dropped.
		e.finish(job, stored.RecordedState, "", now)
	}
	if job.state != job.recordedState {
		e.markDirty(job)
	}
}

// restoreProgress decodes the progress of a job and applies it.
func (e *Engine) restoreProgress(job *job, value []byte) {
	progress, err := jobs.DecodeProgress(value)
	if err != nil {
		// The state was read from this very record when the log was loaded; a job whose
		// tasks cannot be decoded must not run again.
		e.logEvent("progress_unreadable", job, "", err.Error())
		job.state = jobs.StateFailed
		job.reason = "its progress cannot be read"
		return
	}
	e.applyProgress(job, progress, e.formerLeasesExpireAt)
}

// applyProgress applies the progress of a job from the log. Recorded runs are expected at
// their workers until leaseExpiry, or until the leases there have expired if that is inherited.
func (e *Engine) applyProgress(job *job, progress *jobs.Progress, leaseExpiry time.Time) {
	job.state = progress.State
	job.reason = progress.Reason
	if progress.State.Final() {
		job.endedMS = progress.EndedMS
		job.endedAt = job.acceptedAt.Add(time.Duration(progress.EndedMS-job.acceptedMS) * time.Millisecond)
		return
	}
	job.readyMS = progress.ReadyMS
	e.restoreDone(job, progress.Done)
	for _, recorded := range progress.Tasks {
		if recorded.Flat >= 0 && recorded.Flat < job.tasksPerOccurrence*job.submission.OccurrenceCount() {
			occurrence := job.occurrence(recorded.Flat / job.tasksPerOccurrence)
			e.restoreTask(occurrence.taskAt(recorded.Flat%job.tasksPerOccurrence), recorded, leaseExpiry)
		}
	}
}

// restoreTask restores a task from the log, with the run that it may still have.
func (e *Engine) restoreTask(task *task, recorded jobs.TaskProgress, leaseExpiry time.Time) {
	task.lastRun = recorded.Run
	task.failedRuns = recorded.Failed
	task.lastEndedRun = recorded.Judged
	task.checkpoint = recorded.Checkpoint
	if recorded.Losses > 0 {
		task.setLosses(losses{total: recorded.Losses, early: recorded.EarlyLosses})
	}
	if recorded.Worker == "" {
		return
	}
	if inherited, ok := e.unreached.inherited[recorded.Worker]; ok {
		leaseExpiry = inherited
	}
	node := e.ensureNode(WorkerEntry{ID: IncarnationID(recorded.Worker, recorded.BornMS), Name: recorded.Worker, BornMS: recorded.BornMS}, leaseExpiry)
	task.run = &run{task: task, number: recorded.Run, node: node, phase: phaseRunning, unconfirmed: true, resumed: true}
	node.addRun(task.run)
}

func (e *Engine) markDone(task *task) {
	if task.done {
		return
	}
	task.done = true
	task.step.remainingTasks--
	job := task.step.job
	occurrence := job.occurrence(task.key.Occurrence)
	occurrence.remainingTasks--
	if occurrence.remainingTasks == 0 {
		job.completeOccurrence(occurrence.number)
	}
}

// predecessorsDone reports whether the steps that this one depends on have ended.
func (s *step) predecessorsDone(occurrence *occurrence) bool {
	for _, earlier := range s.spec.After {
		if occurrence.steps[earlier].remainingTasks > 0 {
			return false
		}
	}
	return true
}
