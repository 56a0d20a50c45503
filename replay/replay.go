package replay

import (
	"container/heap"
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// Assumptions of the replay about the cluster, equal for every policy.
const (
	// checkpointDuration is how long a preempted run still holds its accelerators.
	checkpointDuration = 2 * scheduler.Second
	// restartDuration is added to the duration of a run that resumes from a checkpoint.
	restartDuration = 30 * scheduler.Second
	// failDelay is how long a task runs on a worker that fails every task.
	failDelay = 5 * scheduler.Second
	// maxReclaimDelay is how long a job that its workspace's guarantee covers may
	// wait before it counts as a violation of the guarantee. It does not depend on the
	// setting reclaim_within, which bounds the checkpoints of preempted runs alone.
	maxReclaimDelay = scheduler.Minute
	// maxDrainTime bounds how long the replay continues after the last event.
	maxDrainTime        = 24 * 60 * scheduler.Minute
	busyTickInterval    = scheduler.Second      // while jobs are queued
	idleTickInterval    = 10 * scheduler.Second // while no job is queued
	sampleInterval      = scheduler.Minute
	neverEnds           = scheduler.Time(1) << 60
	defaultFinishWithin = 24 * time.Hour // for a class that the targets do not name
)

// replayer is the state of a running replay.
type replayer struct {
	setup             *Setup
	policy            scheduler.Policy
	now               scheduler.Time
	jobs              map[string]*jobRecord
	submitted         []*jobRecord
	runs              map[string]*activeRun
	ends              endQueue
	lastSeq           int
	failingWorkers    map[string]bool     // workers between their worker_bad and worker_good events
	usedByWorker      map[string]int      // accelerators in use, by worker
	usedByWorkspace   map[string]int      // accelerators in use, by workspace
	logDown           bool                // between the events append_down and append_up
	waitingGuaranteed map[*jobRecord]bool // jobs covered by a guarantee that have not started
	metrics           metrics
}

// Run replays a trace under the named policy and returns the results.
func Run(setup *Setup, events []Event, policyName string) (*Report, error) {
	policy, err := scheduler.Open(policyName, scheduler.Config{Workers: setup.Inventory.WorkerSpecs(), Targets: setup.Targets})
	if err != nil {
		return nil, err
	}
	r := &replayer{
		setup: setup, policy: policy, jobs: map[string]*jobRecord{}, runs: map[string]*activeRun{}, failingWorkers: map[string]bool{},
		usedByWorker: map[string]int{}, usedByWorkspace: map[string]int{}, waitingGuaranteed: map[*jobRecord]bool{},
	}
	for _, event := range events {
		r.advanceTo(scheduler.Time(event.AtMS))
		r.applyEvent(event)
	}
	r.runToCompletion()
	return r.report(), nil
}

// advanceTo advances virtual time, with all ticks, samples and ends of runs on the way.
func (r *replayer) advanceTo(until scheduler.Time) {
	for {
		next := r.nextTime(until)
		if next > until {
			r.now = until
			return
		}
		r.now = next
		r.processDue()
		// All that is due at until has been processed, unless the policy has started a run
		// that ends at once.
		if next == until && !r.endDue() {
			return
		}
	}
}

// nextTime returns the time of the next tick or end of a run, at most until+1.
func (r *replayer) nextTime(until scheduler.Time) scheduler.Time {
	tick := idleTickInterval
	if r.policy.QueueLength() > 0 {
		tick = busyTickInterval
	}
	next := (r.now/tick + 1) * tick
	if len(r.ends) > 0 && r.ends[0].at < next {
		next = max(r.ends[0].at, r.now)
	}
	return min(next, until+1)
}

func (r *replayer) endDue() bool { return len(r.ends) > 0 && r.ends[0].at <= r.now }

// processDue ends the runs that are due, ticks the policy and samples fragmentation.
func (r *replayer) processDue() {
	for r.endDue() {
		end := heap.Pop(&r.ends).(plannedEnd)
		if end.version == end.run.endVersion {
			r.endRun(end.run)
		}
	}
	r.stepPolicy(scheduler.Tick{})
	r.checkGuarantees()
	if r.now >= r.metrics.nextSample {
		r.sampleFragmentation()
		r.metrics.nextSample = r.now + sampleInterval
	}
}

// runToCompletion continues after the last event until nothing can change any more.
func (r *replayer) runToCompletion() {
	limit := r.now + maxDrainTime
	for r.now < limit && (len(r.ends) > 0 || r.policy.QueueLength() > 0) {
		if len(r.ends) == 0 || r.ends[0].at >= neverEnds {
			limit = min(limit, r.now+10*scheduler.Minute) // the remaining runs never end
		}
		r.advanceTo(min(r.now+scheduler.Minute, limit))
	}
}

// stepPolicy passes an event to the policy, measures the decision's duration and applies
// the actions.
func (r *replayer) stepPolicy(event scheduler.Event) {
	start := time.Now()
	actions := r.policy.Step(event, r.now)
	r.metrics.addDecision(time.Since(start))
	for _, action := range actions {
		r.applyAction(action)
	}
}

func (r *replayer) applyEvent(event Event) {
	switch event.Event {
	case EventSubmit:
		r.submitJob(event)
	case EventCancel:
		r.cancelJob(event.Job)
	case EventWorkerDown:
		r.stepPolicy(scheduler.WorkerDown{Worker: event.Worker})
	case EventWorkerUp:
		r.stepPolicy(scheduler.WorkerUp{Worker: r.workerSpec(event.Worker)})
	case EventWorkerBad:
		r.failingWorkers[event.Worker] = true
	case EventWorkerGood:
		delete(r.failingWorkers, event.Worker)
	case EventAppendDown, EventAppendUp:
		r.logDown = event.Event == EventAppendDown
		r.stepPolicy(scheduler.LogState{Available: !r.logDown})
	}
}

func (r *replayer) workerSpec(name string) scheduler.WorkerSpec {
	for _, spec := range r.setup.Inventory.WorkerSpecs() {
		if spec.ID == name {
			return spec
		}
	}
	return scheduler.WorkerSpec{ID: name}
}

func (r *replayer) submitJob(event Event) {
	if r.jobs[event.Job] != nil {
		return // a retry of an earlier submission
	}
	class, ok := r.setup.Targets.Classes[event.Class]
	if !ok {
		class = targets.Class{Name: event.Class, FinishWithin: defaultFinishWithin, Idempotent: true}
	}
	job := &jobRecord{event: event, class: class, submittedAt: r.now, startedAt: -1,
		deadline: r.now + scheduler.Time(class.FinishWithin.Milliseconds())}
	r.jobs[event.Job] = job
	r.submitted = append(r.submitted, job)
	if r.logDown || event.Shape().Validate() != nil {
		// As the instances do: a shape may be invalid, and without the log no job can be
		// recorded durably.
		job.phase = jobRefused
		job.endedAt = r.now
		return
	}
	r.markGuaranteed(job)
	r.stepPolicy(scheduler.JobSubmitted{Job: scheduler.JobSpec{
		ID: event.Job, Workspace: event.Workspace, Class: event.Class, Shape: event.Shape(), SubmitTime: r.now, Deadline: job.deadline,
		DeclaredRunTime: scheduler.Time(event.DeclaredS * 1000), Idempotent: class.Idempotent,
	}})
}

// markGuaranteed marks a job if its workspace's guarantee covers it in addition to
// all that the workspace already uses or has queued.
func (r *replayer) markGuaranteed(job *jobRecord) {
	total := 0
	covers := false
	for _, shape := range r.setup.Targets.Workspaces[job.event.Workspace].Guarantee {
		total += shape.Total()
		covers = covers || (shape.Members >= job.event.Members && shape.Accelerators >= job.event.Accelerators)
	}
	wanted := job.event.Shape().Total() + r.usedByWorkspace[job.event.Workspace]
	for _, other := range r.submitted {
		queued := other != job && other.phase == jobQueued // including preempted jobs
		if queued && other.event.Workspace == job.event.Workspace {
			wanted += other.event.Shape().Total()
		}
	}
	if covers && wanted <= total {
		job.guaranteed = true
		r.waitingGuaranteed[job] = true
	}
}

// checkGuarantees marks the waiting jobs whose guarantee is violated.
func (r *replayer) checkGuarantees() {
	for job := range r.waitingGuaranteed {
		if !job.guaranteeViolated && r.now-job.submittedAt > maxReclaimDelay {
			job.guaranteeViolated = true
		}
	}
}

func (r *replayer) cancelJob(id string) {
	job := r.jobs[id]
	if job == nil || job.phase > jobRunning {
		return
	}
	wasQueued := job.phase == jobQueued
	r.stepPolicy(scheduler.JobCancelled{Job: id})
	if wasQueued || job.phase == jobQueued {
		r.endJob(job, jobCancelled)
	}
}

func (r *replayer) endJob(job *jobRecord, phase jobPhase) {
	job.phase = phase
	job.endedAt = r.now
	delete(r.waitingGuaranteed, job)
}

func (r *replayer) applyAction(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Place:
		r.placeRun(a)
	case scheduler.Preempt:
		r.metrics.preemptions++
		r.preemptRun(a)
	case scheduler.Abort:
		r.abortRun(a)
	case scheduler.End:
		if job := r.jobs[a.Job]; job != nil && job.phase <= jobRunning {
			r.endJob(job, jobRefused)
		}
	}
}

func (r *replayer) placeRun(action scheduler.Place) {
	job := r.jobs[action.Job]
	r.checkPlacement(job, action)
	run := &activeRun{id: action.Run, job: job, members: action.Members, startedAt: r.now, result: scheduler.RunFinished}
	if action.Resume {
		run.restartOverhead = restartDuration
	} else {
		job.progress = 0
		job.freshStarts++
	}
	job.phase = jobRunning
	if job.startedAt < 0 {
		job.startedAt = r.now
	}
	delete(r.waitingGuaranteed, job)
	r.runs[action.Run] = run
	for _, m := range action.Members {
		r.usedByWorker[m.Worker] += m.Accelerators
		r.usedByWorkspace[job.event.Workspace] += m.Accelerators
	}
	r.scheduleEnd(run)
}

// checkPlacement checks a placement against the replay's own records: gangs must be whole
// and fit, no job may run twice at once, and a job that is not idempotent may start again
// only from a checkpoint.
func (r *replayer) checkPlacement(job *jobRecord, place scheduler.Place) {
	distinct := map[string]bool{}
	whole := len(place.Members) == job.event.Members
	for _, m := range place.Members {
		fits := r.usedByWorker[m.Worker]+m.Accelerators <= r.setup.Inventory.AcceleratorsPerWorker
		whole = whole && !distinct[m.Worker] && m.Accelerators == job.event.Accelerators && fits
		distinct[m.Worker] = true
	}
	if !whole {
		r.metrics.partialGangs++
	}
	if job.phase == jobRunning || (!job.class.Idempotent && job.freshStarts > 0 && !place.Resume) {
		r.metrics.doubledRuns++
	}
}

// scheduleEnd schedules the end of a run that is not stopped: its recorded duration, or an
// early failure on a failing worker.
func (r *replayer) scheduleEnd(run *activeRun) {
	at := neverEnds
	if actual := scheduler.Time(run.job.event.ActualS * 1000); actual > 0 {
		at = run.startedAt + run.restartOverhead + max(actual-run.job.progress, 0)
	}
	for _, m := range run.members {
		if r.failingWorkers[m.Worker] && run.startedAt+failDelay < at {
			at = run.startedAt + failDelay
			run.result = scheduler.RunFailed
			run.failedWorker = m.Worker
		}
	}
	r.pushEnd(run, at)
}

func (r *replayer) pushEnd(run *activeRun, at scheduler.Time) {
	run.endVersion++
	run.endsAt = at
	r.lastSeq++
	heap.Push(&r.ends, plannedEnd{at: at, seq: r.lastSeq, run: run, version: run.endVersion})
}

func (r *replayer) preemptRun(action scheduler.Preempt) {
	run := r.runs[action.Run]
	if run == nil || run.endsAt <= r.now+checkpointDuration {
		return
	}
	run.result = scheduler.RunPreempted
	r.pushEnd(run, r.now+checkpointDuration)
}

func (r *replayer) abortRun(action scheduler.Abort) {
	run := r.runs[action.Run]
	if run == nil {
		return
	}
	run.result = scheduler.RunLost
	if action.Reason == structs.ReasonCancelled {
		run.result = scheduler.RunAborted
	}
	r.pushEnd(run, r.now)
}

func (r *replayer) endRun(run *activeRun) {
	job := run.job
	delete(r.runs, run.id)
	for _, m := range run.members {
		r.usedByWorker[m.Worker] -= m.Accelerators
		r.usedByWorkspace[job.event.Workspace] -= m.Accelerators
	}
	job.phase = jobQueued
	switch run.result {
	case scheduler.RunFinished:
		r.endJob(job, jobFinished)
	case scheduler.RunAborted:
		r.endJob(job, jobCancelled)
	case scheduler.RunPreempted:
		job.progress += max(r.now-checkpointDuration-run.startedAt-run.restartOverhead, 0)
	}
	r.stepPolicy(scheduler.RunEnded{Run: run.id, Result: run.result, Worker: run.failedWorker})
}

// guaranteedShapes returns the distinct shapes of all guarantees, ordered by size.
func (r *replayer) guaranteedShapes() []structs.Shape {
	seen := map[structs.Shape]bool{}
	var shapes []structs.Shape
	for _, name := range r.setup.Targets.WorkspaceNames() {
		for _, shape := range r.setup.Targets.Workspaces[name].Guarantee {
			if !seen[shape] {
				seen[shape] = true
				shapes = append(shapes, shape)
			}
		}
	}
	sort.Slice(shapes, func(i, j int) bool { return shapes[i].Total() < shapes[j].Total() })
	return shapes
}

func (r *replayer) sampleFragmentation() {
	free := r.policy.FreeByRack()
	for _, shape := range r.guaranteedShapes() {
		if value, ok := r.setup.Inventory.fragmentation(free, shape); ok {
			r.metrics.fragmentation = append(r.metrics.fragmentation, value)
		}
	}
}
