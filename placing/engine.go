package placing

import (
	"sort"
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Engine is the scheduling state of the leader. Its methods are called by one
// goroutine, and the time passed to them never goes back.
type Engine struct {
	limits              Limits
	epoch               int64
	wallMS              func(now time.Time) int64 // time of day at a time of the monotonic clock
	jobs                map[string]*job
	active              []*job // jobs without a final state, in the order of acceptance
	nodes               map[string]*node
	incarnations        map[string][]*node        // nodes by the name of their worker
	strayOrders         map[string][]*strayOrders // by worker name
	newestAnswers       map[string]answer         // newest answer of each worker, by name
	nodeOrder           []*node                   // by ID, for deterministic decisions
	queues              map[string]jobs.Queue
	guarantees          map[string]int64
	uncheckedPools      map[string]bool       // pools whose workers accept starts without checking their capacity
	listReadAt          time.Time             // when the list of workers was last read
	listIncomplete      bool                  // see SetListIncomplete
	overGuarantee       map[string]bool       // by workspace, see updateOverGuarantee
	estimates           map[string]*estimate  // by queue
	queueWork           map[string]*queueWork // by queue
	recentlyRestarted   map[string]time.Time  // by address: until when incarnations there count as recently restarted
	misdirected         map[string]bool       // listed workers at whose address another one answers, by ID
	evacuations         evacuations
	speedVariance       speedVariance
	speedsHandover      speedsHandover
	unreached           unreachedWorkers
	unexplainedSilences []time.Time // recent times, in order, when workers without a just started run fell silent

	demands map[string]*demands // by pool

	plan                 Plan
	pendingRuns          []*run        // placed, their record not yet sent
	recordingRuns        []*run        // placed, their record in flight
	changedJobs          []*job        // dirty, in the order of their changes
	startedJobs          []*job        // became running, state not yet emitted
	groupLimit           int           // bytes of records that end a group
	startLimit           int           // starts that can be sent soon
	stopDelay            time.Duration // until the end of a stopped run is known, moving average
	recordsInFlight      bool          // a group of records is in flight
	recordsSentAt        time.Time     // when it was sent
	pendingAcks          map[*node]int64
	acksInFlight         map[*node]int64
	lastPassAt           time.Time
	summarizedAt         time.Time // see logSummary
	delaysCheckedAt      time.Time // see startDelayedUnits
	idlePools            map[string]idlePool
	adviceStep           *step   // of the outstanding advice request; nil if there is none
	oldestAdviceFirst    bool    // the next request is for the unit that has waited longest since its last
	adviceQueue          []*unit // of the present pass, see queueForAdvice
	nextAdviceAt         time.Time
	formerLeaderEnd      time.Time       // see SetFormerLeaderEnd; zero if not known
	formerLeasesExpireAt time.Time       // when all leases granted by former leaders have expired
	jobsComplete         bool            // see MarkJobsComplete
	decisions            int64           // calls of Decide, for work that is not needed in each
	pathScratch          []time.Duration // buffer of criticalPath
	unitScratch          []unit          // buffer of waitingUnits, as is units
	units                []*unit
	openBytes            int64 // what the open occurrences take, as of the last pass
	unopenedJobs         int   // with an occurrence that is due and not open, as of the last pass
}

// New returns an engine for one term. wallMS converts a time of the clock that the
// other calls use to the time of day, in milliseconds since 1970.
func New(limits Limits, epoch int64, wallMS func(time.Time) int64) *Engine {
	return &Engine{
		limits:            limits,
		epoch:             epoch,
		wallMS:            wallMS,
		groupLimit:        maxGroupBytes,
		startLimit:        UnlimitedStarts,
		jobs:              map[string]*job{},
		nodes:             map[string]*node{},
		incarnations:      map[string][]*node{},
		strayOrders:       map[string][]*strayOrders{},
		newestAnswers:     map[string]answer{},
		queues:            map[string]jobs.Queue{},
		guarantees:        map[string]int64{},
		estimates:         map[string]*estimate{},
		queueWork:         map[string]*queueWork{},
		recentlyRestarted: map[string]time.Time{},
		misdirected:       map[string]bool{},
		demands:           map[string]*demands{},
		idlePools:         map[string]idlePool{},
		unreached:         unreachedWorkers{inherited: map[string]time.Time{}, reached: map[string]bool{}, returned: map[string]bool{}},
		pendingAcks:       map[*node]int64{},
		acksInFlight:      map[*node]int64{},
	}
}

// SetLimits replaces the limits during the term.
func (e *Engine) SetLimits(limits Limits) { e.limits = limits }

// Start is an order to start a run, sent once its placement is recorded.
type Start struct {
	Task       jobs.TaskKey
	Run        int
	Worker     string
	Spec       string
	Checkpoint string
	Ticket     string // of the advice service, if the step's queue uses it
	Priority   StartPriority
}

// Stop is an order to stop a run.
type Stop struct {
	Task   jobs.TaskKey
	Run    int
	Worker string
}

// LogEvent is one decision, for the log.
type LogEvent struct {
	Event  string
	Job    string
	Task   string
	Worker string
	Detail string
}

// Plan is the outcome of one decision: orders and records to be carried out.
type Plan struct {
	Records []jobs.Record // progress, to be appended as one group
	States  []jobs.Record // states, to be appended after Records; then call MarkRecordsDurable
	// EarlyStates are final states to be appended at once, though a group is in
	// flight: a final state is valid without its progress.
	EarlyStates []jobs.Record
	// StartedStates are states of jobs that have started, to be appended with the next append, before
	// the EarlyStates and States of this and later plans: the newest state of a job counts.
	StartedStates  []jobs.Record
	Starts         []Start          // to be sent
	Stops          []Stop           // to be sent
	Acks           map[string]int64 // by worker: ends up to this number may be forgotten
	Paces          []Pace           // to be sent; call PaceAcknowledged
	AdviceRequest  *AdviceRequest   // to be sent; call HandleAdvice with the response
	RemovedWorkers []string         // workers that need not be polled any more
	ExpiredJobs    []string         // ended jobs whose records can be dropped
	LogEvents      []LogEvent       // decisions and their reasons, for the log
	RecheckAfter   time.Duration    // when to decide again even if nothing happens; 0: no need
	// RelistWorkers asks for UpdateWorkers with the present list: workers that it passed over may be
	// polled now.
	RelistWorkers bool
}

// Configure sets the operators' queues and guarantees, and the pools whose workers
// accept orders without checking their capacity.
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

// queueOf returns the configured queue of a submission, or else the one recorded with it.
func (e *Engine) queueOf(submission *jobs.Submission) jobs.Queue {
	if queue, ok := e.queues[submission.Queue.Name]; ok {
		return queue
	}
	return submission.Queue
}

// LoadJobs takes over the jobs in the log at the beginning of the term. Recorded runs are
// expected at their workers. Those at workers that are not listed any more count as
// running until the leases of the former leader have expired.
func (e *Engine) LoadJobs(loaded []*jobs.Job, former FormerLeaderState, now time.Time) {
	end := now.Add(e.limits.formerLeaderTimeout(former))
	if !e.formerLeaderEnd.IsZero() && e.formerLeaderEnd.Before(end) {
		end = e.formerLeaderEnd
	}
	e.formerLeasesExpireAt = laterTime(e.formerLeasesExpireAt, end.Add(LeaseExpiry(e.limits.MaxLease)))
	for _, job := range loaded {
		e.ApplyJob(job, now)
	}
}

// ApplyJob applies a job from the log. Of a job that is already known only a cancellation
// matters, as this engine alone writes its progress.
func (e *Engine) ApplyJob(stored *jobs.Job, now time.Time) {
	id := stored.Submission.ID
	if e.jobs[id] == nil {
		job := e.addJob(stored.Submission, now)
		e.restoreJob(job, stored, now)
	}
	if stored.Cancelled {
		e.Cancel(id, now)
	}
}

// MarkJobsComplete marks that every job that a former leader may have started is loaded.
// Until then runs and ends of unknown jobs are left alone at their workers.
func (e *Engine) MarkJobsComplete() { e.jobsComplete = true }

// addJob adds a new job without progress.
func (e *Engine) addJob(submission *jobs.Submission, now time.Time) *job {
	job := newJob(submission, e.queueOf(submission), now, e.wallMS(now))
	e.jobs[submission.ID] = job
	e.active = append(e.active, job)
	e.recordQueueWork(job)
	e.logEvent("job_taken", job, "", e.describeJob(job))
	return job
}

// describeJob returns the properties of a job that decide when and where it is placed,
// for the log.
func (e *Engine) describeJob(job *job) string {
	text := "queue " + job.queue.Name + " priority " + strconv.Itoa(job.queue.Priority) + " workspace " + job.submission.Workspace
	for index := range job.submission.Steps {
		step := &job.submission.Steps[index]
		text += " step " + strconv.Itoa(index) + " tasks " + strconv.Itoa(step.Tasks) + " accelerators " + strconv.FormatInt(step.Need.Accelerators, 10) +
			" gang " + strconv.FormatBool(step.Gang) + " one_rack " + strconv.FormatBool(step.OneRack) + " estimate_ms " + strconv.FormatInt(step.EstimateMS, 10)
	}
	return text
}

// Cancel ends a job that has no final state and stops its runs.
func (e *Engine) Cancel(id string, now time.Time) {
	job := e.jobs[id]
	if job == nil || job.state.Final() {
		return
	}
	e.finish(job, jobs.StateCancelled, "", now)
}

// finish gives a job its final state, stops its runs and schedules its record.
func (e *Engine) finish(job *job, state jobs.State, reason string, now time.Time) {
	job.state = state
	job.reason = reason
	job.endedAt = now
	job.endedMS = e.wallMS(now)
	job.reservation = nil
	e.markDirty(job)
	e.logEvent("job_ended", job, "", string(state)+" "+reason+" age_ms "+strconv.FormatInt(now.Sub(job.acceptedAt).Milliseconds(), 10)+
		" objective_ms "+strconv.FormatInt(e.objective(job).Milliseconds(), 10)+" "+job.stops.String())
	if state == jobs.StateDone {
		return // runs that are left belong to gangs that are ending
	}
	for _, task := range job.openTasks() {
		if task.run != nil {
			e.stopRun(task.run, "job "+string(state), now)
		}
	}
}

// markDirty schedules a job's progress and state to be written.
func (e *Engine) markDirty(job *job) {
	if !job.dirty {
		job.dirty = true
		e.changedJobs = append(e.changedJobs, job)
	}
}

func (e *Engine) logEvent(event string, job *job, worker, detail string) {
	e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: event, Job: job.submission.ID, Worker: worker, Detail: detail})
}

// Decide returns the plan for now. Its orders and records are each to be carried out once.
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

// removeFinishedJobs removes jobs with a final state from the active ones, and drops
// those whose retention time has passed.
func (e *Engine) removeFinishedJobs(now time.Time) {
	unfinished := e.active[:0]
	for _, job := range e.active {
		if job.state.Final() {
			job.closeOccurrences()
		} else {
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
		if job.state.Final() {
			job.closeOccurrences() // runs may have been left when it ended
		}
		if job.state.Final() && now.Sub(job.endedAt) > e.limits.EndedJobRetention+retentionMargin && !job.dirty && !e.recordsInFlight {
			e.plan.ExpiredJobs = append(e.plan.ExpiredJobs, id)
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
	// decisionsPerExpiry is the number of decisions between two scans for expired jobs.
	decisionsPerExpiry = 256
	// retentionMargin is added to the stated retention time, as clocks differ by seconds.
	retentionMargin = 30 * time.Second
)
