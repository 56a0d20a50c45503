package batch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Verdict is the answer to a call.
type Verdict int

// Verdicts of calls.
const (
	Accepted    Verdict = iota // the call took effect, now or earlier
	NotRun                     // the call had no effect and never will
	Undecided                  // the call may take effect
	NoSuchJob                  // the job was never submitted, or was forgotten
	Unavailable                // the call cannot be answered now
)

// Outcome is a verdict with its reason, for the caller and the log.
type Outcome struct {
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration // when to retry; 0 for never
}

const (
	// storeDownRetryAfter is returned while neither this instance nor the ones it asked reach the
	// store. Outages last three to seven seconds, and callers retry four times.
	storeDownRetryAfter = time.Second
	// isolatedRetryAfter is returned by an instance that reaches neither the store nor the other
	// instances. Those are likely to be better off, and urgent jobs tolerate a delay of a second.
	isolatedRetryAfter = 100 * time.Millisecond
	// earlyOutageRetryAfter replaces storeDownRetryAfter in the first earlyOutageDuration of an
	// outage, for jobs that are not urgent: their objective leaves time, and four retries a second
	// apart would be over before the store is back. This holds for questions and cancellations too.
	earlyOutageRetryAfter = 2 * time.Second
	earlyOutageDuration   = 2 * time.Second
	// maxStateAge is the age up to which the cached state of a job is returned without reading the
	// log. refreshTimeout bounds such a read.
	maxStateAge    = 60 * time.Millisecond
	refreshTimeout = 400 * time.Millisecond
	// finalStateWait is how long the answer about a running job waits for its end. Callers often
	// request the state while the end is being written, and then not again for a while.
	finalStateWait = 100 * time.Millisecond
	// minReadWait is the shortest wait that the store accepts.
	minReadWait = time.Millisecond
	// lookupTimeout bounds the read of the log before a job is reported as unknown, also while the
	// store is slow.
	lookupTimeout = 800 * time.Millisecond
)

// Submit stores a job. The job is accepted once its record is durable.
func (i *Instance) Submit(ctx context.Context, submission *jobs.Submission) Outcome {
	begin := i.clock.Now()
	outcome := i.submit(ctx, submission)
	i.metrics.submitTime.Update(i.clock.Now().Sub(begin).Microseconds())
	i.logOutcome("submit", submission.ID, outcome)
	return outcome
}

func (i *Instance) submit(ctx context.Context, submission *jobs.Submission) Outcome {
	if reason := i.settings.NotServedReason; reason != "" {
		return Outcome{Verdict: NotRun, Reason: reason}
	}
	if i.hasJob(submission.ID) {
		return Outcome{Verdict: Accepted, Reason: "known"}
	}
	if outcome, refused := i.refuseIfAllEvacuated(submission.Queue.Priority); refused {
		return outcome
	}
	if outcome, refused := i.refuseIfFull(submission); refused {
		return outcome
	}
	submission.AcceptedMS = i.clock.WallMS(i.clock.Now())
	record, err := jobs.SubmissionRecord(submission)
	if err != nil {
		return Outcome{Verdict: NotRun, Reason: err.Error()}
	}
	retryAfter, err := i.handIn(ctx, submission, record)
	switch {
	case err == nil:
		return Outcome{Verdict: Accepted, Reason: "stored"}
	case errors.Is(err, ErrNotApplied):
		return Outcome{Verdict: NotRun, Reason: "store away", RetryAfter: retryAfter}
	}
	if i.hasJob(submission.ID) {
		return Outcome{Verdict: Accepted, Reason: "read back"}
	}
	return Outcome{Verdict: Undecided, Reason: "store did not answer", RetryAfter: storeDownRetryAfter}
}

func (i *Instance) retryDelay(priority int) time.Duration {
	return retryDelayFor(priority, i.work.sinceContact(), i.peers.isIsolated())
}

// retryDelayFor returns the delay after which the caller of a refused call should retry.
func retryDelayFor(priority int, outage time.Duration, isolated bool) time.Duration {
	if isolated {
		return isolatedRetryAfter
	}
	if priority > 0 && outage < earlyOutageDuration {
		return earlyOutageRetryAfter
	}
	return storeDownRetryAfter
}

// Cancel cancels a job of a queue with the given priority.
func (i *Instance) Cancel(ctx context.Context, id string, priority int) Outcome {
	outcome := i.cancelJob(ctx, id, priority)
	i.logOutcome("cancel", id, outcome)
	return outcome
}

func (i *Instance) cancelJob(ctx context.Context, id string, priority int) Outcome {
	state, outcome := i.lookUpState(ctx, id, priority, 0)
	if outcome.Verdict != Accepted {
		return outcome
	}
	if state.Final() {
		return Outcome{Verdict: Accepted, Reason: "already " + string(state)}
	}
	err := i.writeRecord(ctx, jobs.CancelRecord(id))
	if errors.Is(err, ErrNotApplied) {
		return Outcome{Verdict: Unavailable, Reason: "store away", RetryAfter: i.retryDelay(priority)}
	}
	if err != nil {
		return Outcome{Verdict: Undecided, Reason: err.Error(), RetryAfter: storeDownRetryAfter}
	}
	return Outcome{Verdict: Accepted, Reason: "stored"}
}

// State returns the state of a job of a queue with the given priority.
func (i *Instance) State(ctx context.Context, id string, priority int) (jobs.State, Outcome) {
	state, outcome := i.lookUpState(ctx, id, priority, finalStateWait)
	if state.Final() && i.markReported(id) {
		i.eventLog.write(i.log, "state_told", logrus.Fields{"job": id, "state": string(state), "log_age_ms": ageMS(i.clock.Now(), i.work.lastAnswer())})
	}
	return state, outcome
}

// markReported records that a caller is given the final state of a job, and reports whether this is
// the first time.
func (i *Instance) markReported(id string) bool {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	job := i.fold.table.Job(id)
	if job == nil || job.FinalStateReported {
		return false
	}
	job.FinalStateReported = true
	return true
}

// lookUpState returns the state of a job, read by this instance or, while it does not reach the
// store, by another one. It waits up to wait for a final state. A cached final state is always valid.
func (i *Instance) lookUpState(ctx context.Context, id string, priority int, wait time.Duration) (jobs.State, Outcome) {
	if i.isLoaded() && i.work.isReachable() {
		return i.localState(ctx, id, wait)
	}
	cached, ok := i.cachedState(id)
	if ok && cached.Final() {
		return cached, Outcome{Verdict: Accepted}
	}
	state, found := i.peers.lookUpJob(ctx, i.peerAddresses(), id)
	i.metrics.count("relay.look")
	switch {
	case found && state == "":
		return "", Outcome{Verdict: NoSuchJob, Reason: "not in the log, as another instance reads it"}
	case found:
		return state, Outcome{Verdict: Accepted}
	case ok:
		return cached, Outcome{Verdict: Accepted, Reason: "as known before the store was lost"}
	}
	return "", Outcome{Verdict: Unavailable, Reason: "store away", RetryAfter: i.retryDelay(priority)}
}

// localState returns the state of a job as this instance reads it. Unless the state is final, the
// newest records of the leader are read first. A job that is unknown here may have been accepted
// elsewhere a moment ago, so the usual part, and then all that may hold it, are read up to now before the
// job is reported as unknown.
func (i *Instance) localState(ctx context.Context, id string, wait time.Duration) (jobs.State, Outcome) {
	if state, ok := i.refreshedState(ctx, id, wait); ok {
		return state, Outcome{Verdict: Accepted}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	usual := partOf(id, i.settings.StoreParts)
	if err := i.followerOf(usual).refresh(ctx, 0); err == nil {
		if state, ok := i.cachedState(id); ok {
			return state, Outcome{Verdict: Accepted}
		}
	}
	err := i.refreshCalls(ctx)
	if state, ok := i.cachedState(id); ok {
		return state, Outcome{Verdict: Accepted}
	}
	if err != nil {
		return "", Outcome{Verdict: Unavailable, Reason: "store away", RetryAfter: storeDownRetryAfter}
	}
	return "", Outcome{Verdict: NoSuchJob, Reason: "not in the log"}
}

// refreshedState returns the state of a cached job. It reads the log until the job has ended or
// wait is over, and at least once if the cached state is older than maxStateAge.
func (i *Instance) refreshedState(ctx context.Context, id string, wait time.Duration) (jobs.State, bool) {
	state, ok := i.cachedState(id)
	fresh := i.clock.Now().Sub(i.work.lastAnswer()) < maxStateAge
	if !ok || state.Final() || fresh && wait == 0 {
		return state, ok
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	until := time.Now().Add(wait)
	for remaining := wait; ; remaining = time.Until(until) {
		if err := i.work.refresh(ctx, max(0, remaining)); err != nil {
			i.log.WithField("error", err.Error()).Debug("refresh_failed")
			break
		}
		state, ok = i.cachedState(id)
		if state.Final() || remaining < minReadWait {
			break
		}
	}
	return state, ok
}

// WaitingJobs returns the number of accepted jobs of a queue without a started task.
func (i *Instance) WaitingJobs(queue string) int {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	return i.fold.table.QueuedCount(queue)
}

func (i *Instance) hasJob(id string) bool {
	_, ok := i.cachedState(id)
	return ok
}

func (i *Instance) cachedState(id string) (jobs.State, bool) {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	job := i.fold.table.Job(id)
	if job == nil {
		return "", false
	}
	return job.State(), true
}

// logOutcome logs the outcome of a call with the time since the log was last read and the version
// of the configuration that was applied.
func (i *Instance) logOutcome(call, id string, outcome Outcome) {
	i.metrics.count("calls." + call + "." + outcome.Verdict.String())
	fields := logrus.Fields{
		"job":            id,
		"verdict":        outcome.Verdict.String(),
		"reason":         outcome.Reason,
		"retry_after_ms": outcome.RetryAfter.Milliseconds(),
		"log_age_ms":     ageMS(i.clock.Now(), i.work.lastAnswer()),
	}
	if config := i.Config(); config != nil {
		fields["config"] = config.Version
	}
	i.eventLog.write(i.log, call, fields)
}

// String returns the name of a verdict in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case NotRun:
		return "not_run"
	case Undecided:
		return "undecided"
	case NoSuchJob:
		return "no_such_job"
	}
	return "unavailable"
}
