package batch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Verdict is what a caller is told of a call.
type Verdict int

// Verdicts.
const (
	Accepted    Verdict = iota // the call took effect, or had before
	NotRun                     // it had no effect and never will
	Undecided                  // it may take effect
	NoSuchJob                  // nobody submitted the job, or it was forgotten
	Unavailable                // it cannot be answered now
)

// Outcome is a verdict with its reason, for the caller and the log.
type Outcome struct {
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration // when to come back; 0 if not to
}

const (
	// retryAway is told while the store answers neither here nor at the other
	// instances that were asked: outages last three to seven seconds, and callers
	// come back four times.
	retryAway = time.Second
	// retryElsewhere is told by an instance that reaches neither the store nor the
	// others: they are likely to be better off, and urgent jobs have a second to
	// spare.
	retryElsewhere = 100 * time.Millisecond
	// retryEarly replaces it in the first youngOutage of an outage, for jobs that
	// are not urgent: their objective leaves time, and four tries a second apart
	// would be over before the store is back.
	retryEarly  = 2 * time.Second
	youngOutage = 2 * time.Second
	// freshEnough is how old the fold may be for a state to be told from it, and
	// freshTimeout what reading it anew may take.
	freshEnough  = 60 * time.Millisecond
	freshTimeout = 400 * time.Millisecond
	// endWait is how long the answer about a job that has not ended waits for its
	// end. Callers often ask while it is being written, and then not for a while.
	endWait = 100 * time.Millisecond
	// leastWait is the shortest wait that the store takes.
	leastWait = time.Millisecond
	// lookTimeout bounds the reading of the log before a job is denied, also while the
	// store is slow.
	lookTimeout = 800 * time.Millisecond
)

// Submit stores a job. It is accepted once its record is durable.
func (i *Instance) Submit(ctx context.Context, submission *jobs.Submission) Outcome {
	begin := i.clock.Now()
	outcome := i.submit(ctx, submission)
	i.metrics.submitTime.Update(i.clock.Now().Sub(begin).Microseconds())
	i.logOutcome("submit", submission.ID, outcome)
	return outcome
}

func (i *Instance) submit(ctx context.Context, submission *jobs.Submission) Outcome {
	if reason := i.settings.NotServed; reason != "" {
		return Outcome{Verdict: NotRun, Reason: reason}
	}
	if i.known(submission.ID) {
		return Outcome{Verdict: Accepted, Reason: "known"}
	}
	if outcome, refused := i.refuseNowhere(submission.Queue.Priority); refused {
		return outcome
	}
	submission.AcceptedMS = i.clock.WallMS(i.clock.Now())
	record, err := jobs.SubmissionRecord(submission)
	if err != nil {
		return Outcome{Verdict: NotRun, Reason: err.Error()}
	}
	err = i.write(ctx, record)
	switch {
	case err == nil:
		return Outcome{Verdict: Accepted, Reason: "stored"}
	case errors.Is(err, ErrNotDone):
		return Outcome{Verdict: NotRun, Reason: "store away", RetryAfter: i.comeBack(submission.Queue.Priority)}
	}
	if i.known(submission.ID) {
		return Outcome{Verdict: Accepted, Reason: "read back"}
	}
	return Outcome{Verdict: Undecided, Reason: "store did not answer", RetryAfter: retryAway}
}

func (i *Instance) comeBack(priority int) time.Duration {
	return comeBack(priority, i.work.awayFor(), i.helpers.alone())
}

// comeBack is when the caller of a refused submission is to come back.
func comeBack(priority int, away time.Duration, alone bool) time.Duration {
	if alone {
		return retryElsewhere
	}
	if priority > 0 && away < youngOutage {
		return retryEarly
	}
	return retryAway
}

// Cancel ends a job.
func (i *Instance) Cancel(ctx context.Context, id string) Outcome {
	outcome := i.cancelJob(ctx, id)
	i.logOutcome("cancel", id, outcome)
	return outcome
}

func (i *Instance) cancelJob(ctx context.Context, id string) Outcome {
	state, outcome := i.state(ctx, id, 0)
	if outcome.Verdict != Accepted {
		return outcome
	}
	if state.Final() {
		return Outcome{Verdict: Accepted, Reason: "already " + string(state)}
	}
	err := i.write(ctx, jobs.CancelRecord(id))
	if errors.Is(err, ErrNotDone) {
		return Outcome{Verdict: Unavailable, Reason: "store away", RetryAfter: i.comeBack(0)}
	}
	if err != nil {
		return Outcome{Verdict: Undecided, Reason: err.Error(), RetryAfter: retryAway}
	}
	return Outcome{Verdict: Accepted, Reason: "stored"}
}

// State answers what became of a job.
func (i *Instance) State(ctx context.Context, id string) (jobs.State, Outcome) {
	state, outcome := i.state(ctx, id, endWait)
	if state.Final() && i.firstTold(id) {
		i.chronicle.write(i.log, "state_told", logrus.Fields{"job": id, "state": string(state), "log_age_ms": sinceMS(i.clock.Now(), i.work.heardAt())})
	}
	return state, outcome
}

// firstTold notes that a caller is told of a job's final state, and reports
// whether none was before.
func (i *Instance) firstTold(id string) bool {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	job := i.fold.table.Job(id)
	if job == nil || job.Told {
		return false
	}
	job.Told = true
	return true
}

// state looks a job up, here or, while the store is out of reach, through
// another instance. A final state known here stands; for one that the log brings
// within wait it waits.
func (i *Instance) state(ctx context.Context, id string, wait time.Duration) (jobs.State, Outcome) {
	if i.loaded() && i.work.inContact() {
		return i.ownState(ctx, id, wait)
	}
	known, ok := i.lookUp(id)
	if ok && known.Final() {
		return known, Outcome{Verdict: Accepted}
	}
	state, looked := i.helpers.look(ctx, i.helperAddresses(), id)
	i.metrics.count("relay.look")
	switch {
	case looked && state == "":
		return "", Outcome{Verdict: NoSuchJob, Reason: "not in the log, as another instance reads it"}
	case looked:
		return state, Outcome{Verdict: Accepted}
	case ok:
		return known, Outcome{Verdict: Accepted, Reason: "as known before the store was lost"}
	}
	return "", Outcome{Verdict: Unavailable, Reason: "store away", RetryAfter: i.comeBack(0)}
}

// ownState looks a job up in the fold. Unless its state is final, what the
// placing instance wrote by now is read first. One that is not known here may
// have been accepted elsewhere a moment ago, so the log is read up to now
// before it is denied.
func (i *Instance) ownState(ctx context.Context, id string, wait time.Duration) (jobs.State, Outcome) {
	if state, ok := i.freshState(ctx, id, wait); ok {
		return state, Outcome{Verdict: Accepted}
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	if err := i.follower(partOf(id, i.settings.StoreParts)).refresh(ctx, 0); err != nil {
		return "", Outcome{Verdict: Unavailable, Reason: "store away", RetryAfter: retryAway}
	}
	if state, ok := i.lookUp(id); ok {
		return state, Outcome{Verdict: Accepted}
	}
	return "", Outcome{Verdict: NoSuchJob, Reason: "not in the log"}
}

// freshState looks a known job up. Unless it has ended, the log is read until it
// has or wait is over, once at least if what is known is not fresh.
func (i *Instance) freshState(ctx context.Context, id string, wait time.Duration) (jobs.State, bool) {
	state, ok := i.lookUp(id)
	fresh := i.clock.Now().Sub(i.work.heardAt()) < freshEnough
	if !ok || state.Final() || fresh && wait == 0 {
		return state, ok
	}
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	until := time.Now().Add(wait)
	for left := wait; ; left = time.Until(until) {
		if err := i.work.refresh(ctx, max(0, left)); err != nil {
			i.log.WithField("error", err.Error()).Debug("refresh_failed")
			break
		}
		state, ok = i.lookUp(id)
		if state.Final() || left < leastWait {
			break
		}
	}
	return state, ok
}

// Waiting counts the accepted jobs of a queue of which nothing has started.
func (i *Instance) Waiting(queue string) int {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	return i.fold.table.Waiting(queue)
}

func (i *Instance) known(id string) bool {
	_, ok := i.lookUp(id)
	return ok
}

func (i *Instance) lookUp(id string) (jobs.State, bool) {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	job := i.fold.table.Job(id)
	if job == nil {
		return "", false
	}
	return job.State(), true
}

// logOutcome writes what a caller was told, with the age of what was known of
// the log and the version of the configuration that decided it.
func (i *Instance) logOutcome(call, id string, outcome Outcome) {
	i.metrics.count("calls." + call + "." + outcome.Verdict.String())
	fields := logrus.Fields{
		"job":            id,
		"verdict":        outcome.Verdict.String(),
		"reason":         outcome.Reason,
		"retry_after_ms": outcome.RetryAfter.Milliseconds(),
		"log_age_ms":     sinceMS(i.clock.Now(), i.work.heardAt()),
	}
	if config := i.Config(); config != nil {
		fields["config"] = config.Version
	}
	i.chronicle.write(i.log, call, fields)
}

// String is for logs and metrics.
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
