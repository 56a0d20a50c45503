package placing

import (
	"sort"
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Engine is the state of the placing instance. Its methods are called by one
// goroutine; now never runs backwards.
type Engine struct {
	limits              Limits
	epoch               int64
	wallMS              func(now time.Time) int64 // time of day at a moment of the steady clock
	jobs                map[string]*job
	active              []*job // jobs without a final state, in the order of acceptance
	nodes               map[string]*node
	incarnations        map[string][]*node // nodes by the name of their worker
	newestAnswers       map[string]answer  // newest word of workers, by their names
	nodeOrder           []*node            // by ID, for decisions that repeat
	queues              map[string]jobs.Queue
	guarantees          map[string]int64
	uncheckedPools      map[string]bool       // pools whose workers start what they are told, room or not
	listReadAt          time.Time             // as of when the list of workers is known
	overGuarantee       map[string]bool       // see updateOverGuarantee
	estimates           map[string]*estimate  // by queue
	sizes               map[string]*queueWork // by queue
	recentlyRestarted   map[string]time.Time  // by address: until when lives there count as unsteady
	evacuations         evacuations
	differences         speedVariance
	unexplainedSilences []time.Time // when workers fell silent lately without a run that had just begun, in order

	demands map[string]*demands // by pool

	plan                 Plan
	pendingRuns          []*run    // placed, their record not yet sent
	recordingRuns        []*run    // placed, their record on its way
	changedJobs          []*job    // dirty, in order
	groupLimit           int       // bytes of records that end a group
	recordsInFlight      bool      // a batch of records is on its way
	recordsSentAt        time.Time // since when
	pendingAcks          map[*node]int64
	acksInFlight         map[*node]int64
	lastPassAt           time.Time
	summarizedAt         time.Time // see summarize
	delaysCheckedAt      time.Time // see relieve
	idlePools            map[string]idlePool
	adviceStep           *step   // for which a question is under way
	oldestAdviceFirst    bool    // the next question is for the step that was not asked for the longest
	adviceQueue          []*unit // of the present pass, see queueForAdvice
	nextAdviceAt         time.Time
	formerLeasesExpireAt time.Time       // when all leases that former holders granted have lapsed
	jobsComplete         bool            // see Complete
	decisions            int64           // counts decisions, for those that need not be taken each time
	pathScratch          []time.Duration // scratch of chain
	unitScratch          []unit          // scratch of waiting, as is units
	units                []*unit
}

// New returns an engine for one term. wallMS gives the time of day, in
// milliseconds since 1970, at a moment of the clock that the other calls use.
func New(limits Limits, epoch int64, wallMS func(time.Time) int64) *Engine {
	return &Engine{
		limits:            limits,
		epoch:             epoch,
		wallMS:            wallMS,
		groupLimit:        maxGroupBytes,
		jobs:              map[string]*job{},
		nodes:             map[string]*node{},
		incarnations:      map[string][]*node{},
		newestAnswers:     map[string]answer{},
		queues:            map[string]jobs.Queue{},
		guarantees:        map[string]int64{},
		estimates:         map[string]*estimate{},
		sizes:             map[string]*queueWork{},
		recentlyRestarted: map[string]time.Time{},
		demands:           map[string]*demands{},
		idlePools:         map[string]idlePool{},
		pendingAcks:       map[*node]int64{},
		acksInFlight:      map[*node]int64{},
	}
}

// SetLimits puts limits in force that changed during the term.
func (e *Engine) SetLimits(limits Limits) { e.limits = limits }

// Start is an order to start a run, sent once its placement is on record.
type Start struct {
	Task       jobs.TaskKey
	Run        int
	Worker     string
	Spec       string
	Checkpoint string
	Ticket     string // of the service that knows who may run the step, if its queue has one
}

// Stop is an order to stop a run.
type Stop struct {
	Task   jobs.TaskKey
	Run    int
	Worker string
}

// Note is one decision, for the log.
type Note struct {
	Event  string
	Job    string
	Task   string
	Worker string
	Detail string
}

// Plan is what is to be done next.
type Plan struct {
	Records []jobs.Record // progress, to be appended as one group
	States  []jobs.Record // states, to be appended after Records; then call Recorded
	// EarlyStates are final states to be appended at once, though a group is on its
	// way: a final state stands without its progress.
	EarlyStates []jobs.Record
	Starts      []Start          // to be sent
	Stops       []Stop           // to be sent
	Acks        map[string]int64 // by worker: ends that may be forgotten
	Paces       []Pace           // to be sent; call PaceAnswered
	Ask         *Ask             // to be asked; call Advised with the answer
	Forget      []string         // workers that need not be watched any more
	Expired     []string         // ended jobs whose records can be dropped
	Notes       []Note           // what was decided and why
	Again       time.Duration    // when to ask again although nothing happens; 0: no need
}

// Configure takes the operators' queues and guarantees, and the pools whose workers do
// not guard their room.
func (e *Engine) Configure(queues []jobs.Queue, guarantees map[string]int64, uncheckedPools map[string]bool) {
	for _, queue := range queues {
		e.queues[queue.Name] = queue
	}
	e.guarantees = guarantees
	e.uncheckedPools = uncheckedPools
	for _, job := range e.active {
		job.queue = e.queueOf(job.submission)
	}
	for _, n := range e.nodeOrder {
		n.shares.valid = false // priorities may have changed
	}
}

func (e *Engine) queueOf(submission *jobs.Submission) jobs.Queue {
	if queue, ok := e.queues[submission.Queue.Name]; ok {
		return queue
	}
	return submission.Queue
}

// Load takes over the fold at the beginning of the term. Runs on record are
// looked for at their workers; those at workers that nobody knows any more are waited
// for until the leases of the former holder have lapsed.
func (e *Engine) Load(loaded []*jobs.Job, former Former, now time.Time) {
	e.formerLeasesExpireAt = now.Add(LeaseLapse(e.limits.Lease) + e.limits.formerLeaderTimeout(former))
	for _, job := range loaded {
		e.Learn(job, now)
	}
}

// Learn takes a job from the log. Of one that is known already, only a
// cancellation is news, as this engine alone writes its progress.
func (e *Engine) Learn(stored *jobs.Job, now time.Time) {
	id := stored.Submission.ID
	if e.jobs[id] == nil {
		job := e.addJob(stored.Submission, now)
		e.restoreJob(job, stored, now)
	}
	if stored.Cancelled {
		e.Cancel(id, now)
	}
}

// Complete says that every job that a former holder of the term may have
// started was learned. Until then runs and ends of jobs that are not known are
// left alone at their workers.
func (e *Engine) Complete() { e.jobsComplete = true }

func (e *Engine) addJob(submission *jobs.Submission, now time.Time) *job {
	job := newJob(submission, e.queueOf(submission), now, e.wallMS(now))
	e.jobs[submission.ID] = job
	e.active = append(e.active, job)
	e.recordQueueWork(job)
	e.logEvent("job_taken", job, "", e.describeJob(job))
	return job
}

// describeJob is what of a job decides when and where it is placed, for the log.
func (e *Engine) describeJob(job *job) string {
	text := "queue " + job.queue.Name + " priority " + strconv.Itoa(job.queue.Priority) + " workspace " + job.submission.Workspace
	for index := range job.submission.Steps {
		step := &job.submission.Steps[index]
		text += " step " + strconv.Itoa(index) + " tasks " + strconv.Itoa(step.Tasks) + " accelerators " + strconv.FormatInt(step.Need.Accelerators, 10) +
			" gang " + strconv.FormatBool(step.Gang) + " one_rack " + strconv.FormatBool(step.OneRack) + " estimate_ms " + strconv.FormatInt(step.EstimateMS, 10)
	}
	return text
}

// Cancel ends a job that has no final state: what runs is stopped.
func (e *Engine) Cancel(id string, now time.Time) {
	job := e.jobs[id]
	if job == nil || job.state.Final() {
		return
	}
	e.finish(job, jobs.StateCancelled, "", now)
}

// finish gives a job its final state, stops what runs of it and writes it down.
func (e *Engine) finish(job *job, state jobs.State, reason string, now time.Time) {
	job.state = state
	job.reason = reason
	job.endedAt = now
	job.endedMS = e.wallMS(now)
	job.reservation = nil
	e.markDirty(job)
	e.logEvent("job_ended", job, "", string(state)+" "+reason+" age_ms "+strconv.FormatInt(now.Sub(job.acceptedAt).Milliseconds(), 10)+
		" objective_ms "+strconv.FormatInt(e.objective(job, job.occurrences[0]).Milliseconds(), 10))
	if state == jobs.StateDone {
		return // what still runs are members of gangs that are ending
	}
	for _, task := range job.allTasks() {
		if task.run != nil {
			e.stopRun(task.run, "job "+string(state), now)
		}
	}
}

func (e *Engine) markDirty(job *job) {
	if !job.dirty {
		job.dirty = true
		e.changedJobs = append(e.changedJobs, job)
	}
}

func (e *Engine) logEvent(event string, job *job, worker, detail string) {
	e.plan.Notes = append(e.plan.Notes, Note{Event: event, Job: job.submission.ID, Worker: worker, Detail: detail})
}

// Decide returns what is to be done at now. Orders and records of the plan are
// each to be carried out once.
func (e *Engine) Decide(now time.Time) Plan {
	e.decisions++
	e.expireLeases(now)
	e.retryStops(now)
	e.stopUnansweredStarts(now)
	e.stopLeavingAndStalled(now)
	e.removeFinishedJobs(now)
	e.maybeRunPass(now)
	e.flushRecords(now)
	plan := e.plan
	e.plan = Plan{}
	return plan
}

// flushRecords sends one batch of records, if none is on its way.
func (e *Engine) flushRecords(now time.Time) {
	if e.recordsInFlight && now.Sub(e.recordsSentAt) >= earlyStateDelay {
		e.emitEarlyStates()
	}
	if e.recordsInFlight || (len(e.changedJobs) == 0 && len(e.pendingAcks) == 0) {
		return
	}
	if len(e.changedJobs) == 0 {
		e.acksInFlight, e.pendingAcks = e.pendingAcks, map[*node]int64{}
		e.releaseAcks()
		return
	}
	e.recordChangedJobs()
	var remaining []*run
	for _, run := range e.pendingRuns {
		if run.task.step.job.dirty {
			remaining = append(remaining, run)
		} else {
			e.recordingRuns = append(e.recordingRuns, run)
		}
	}
	e.pendingRuns = remaining
	if len(e.changedJobs) == 0 {
		e.acksInFlight, e.pendingAcks = e.pendingAcks, map[*node]int64{}
	}
	e.recordsInFlight = true
	e.recordsSentAt = now
}

// emitEarlyStates writes down which jobs have ended while a group is on its way for
// long: their callers wait.
func (e *Engine) emitEarlyStates() {
	for _, job := range e.changedJobs {
		if job.state.Final() && job.state != job.recordedState {
			e.plan.EarlyStates = append(e.plan.EarlyStates, jobs.StateRecord(job.submission.ID, job.state))
			job.recordedState = job.state
		}
	}
}

// recordChangedJobs writes the changed jobs down, as many as one group may hold.
func (e *Engine) recordChangedJobs() {
	bytes, count := 0, 0
	for _, job := range e.changedJobs {
		if bytes > e.groupLimit {
			break
		}
		record := job.progressRecord()
		bytes += len(record.Value)
		count++
		job.dirty = false
		e.plan.Records = append(e.plan.Records, record)
		if job.state != job.recordedState {
			e.plan.States = append(e.plan.States, jobs.StateRecord(job.submission.ID, job.state))
			job.recordedState = job.state
		}
	}
	e.changedJobs = append([]*job(nil), e.changedJobs[count:]...)
}

// Recorded says that the records of the last plan that had some are durable.
// The starts and acknowledgements that depend on them come with the next plan.
func (e *Engine) Recorded(now time.Time) {
	e.recordsInFlight = false
	for _, run := range e.recordingRuns {
		e.dispatch(run, now)
	}
	e.recordingRuns = nil
	e.releaseAcks()
}

func (e *Engine) releaseAcks() {
	for node, number := range e.acksInFlight {
		if e.plan.Acks == nil {
			e.plan.Acks = map[string]int64{}
		}
		e.plan.Acks[node.entry.ID] = number
	}
	e.acksInFlight = map[*node]int64{}
}

// removeFinishedJobs takes jobs with a final state out of the active ones, and drops
// those whose time of being known is over.
func (e *Engine) removeFinishedJobs(now time.Time) {
	unfinished := e.active[:0]
	for _, job := range e.active {
		if !job.state.Final() {
			unfinished = append(unfinished, job)
		}
	}
	clear(e.active[len(unfinished):])
	e.active = unfinished
	if e.decisions%decisionsPerExpiry != 0 {
		return
	}
	for _, id := range e.sortedJobs() {
		job := e.jobs[id]
		if job.state.Final() && now.Sub(job.endedAt) > e.limits.KeepEnded+retentionMargin && !job.dirty && !e.recordsInFlight {
			e.plan.Expired = append(e.plan.Expired, id)
			delete(e.jobs, id)
		}
	}
}

func (e *Engine) sortedJobs() []string {
	ids := make([]string, 0, len(e.jobs))
	for id := range e.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

const (
	// maxGroupBytes ends a group of records; with its last record it stays within what the
	// store takes in one append.
	maxGroupBytes = 1 << 20
	// earlyStateDelay is how long a group may be on its way before final states go ahead
	// of the next: longer than an append takes while the store is slow, as a state ahead
	// would hold up the next group.
	earlyStateDelay = 600 * time.Millisecond
	// decisionsPerExpiry is how many decisions lie between two looks for jobs to forget.
	decisionsPerExpiry = 256
	// retentionMargin is kept beyond the stated time, as clocks differ by seconds.
	retentionMargin = 30 * time.Second
)
