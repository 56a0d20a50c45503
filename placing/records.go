package placing

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// maxGroupBytes ends a group of records; with its last record it stays within the
	// store's limit for one append.
	maxGroupBytes = 1 << 20
	// earlyStateDelay is how long a group may be in flight before final states are
	// appended ahead of the next one. It is longer than an append takes while the store is
	// slow, as an early state would delay the next group.
	earlyStateDelay = 600 * time.Millisecond
)

// emitStartedStates emits the states of jobs of which a task has started. They need no progress: the
// placements are on record.
func (e *Engine) emitStartedStates() {
	for _, job := range e.startedJobs {
		if job.state == jobs.StateRunning && job.recordedState != jobs.StateRunning {
			e.plan.StartedStates = append(e.plan.StartedStates, jobs.StateRecord(job.submission.ID, job.state))
			job.recordedState = job.state
		}
	}
	e.startedJobs = nil
}

// flushRecords emits one group of records, unless one is in flight.
func (e *Engine) flushRecords(now time.Time) {
	e.emitStartedStates()
	if e.recordsInFlight && now.Sub(e.recordsSentAt) >= earlyStateDelay {
		e.emitEarlyStates()
	}
	recordsDue := len(e.changedJobs) > 0 || e.unreachedChanged()
	if e.recordsInFlight || (!recordsDue && len(e.pendingAcks) == 0) {
		return
	}
	if !recordsDue {
		e.acksInFlight, e.pendingAcks = e.pendingAcks, map[*node]int64{}
		e.releaseAcks()
		return
	}
	e.recordChangedJobs()
	e.recordSpeeds(now)
	e.recordUnreached()
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

// emitEarlyStates emits the final states of ended jobs when a group has been in flight
// for earlyStateDelay: their callers wait for them.
func (e *Engine) emitEarlyStates() {
	for _, job := range e.changedJobs {
		if job.state.Final() && job.state != job.recordedState {
			e.plan.EarlyStates = append(e.plan.EarlyStates, jobs.StateRecord(job.submission.ID, job.state))
			job.recordedState = job.state
		}
	}
}

// recordChangedJobs emits records of the changed jobs, as many as one group may hold.
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

// MarkRecordsDurable reports that the records of the last plan that had any are durable.
// The starts and acknowledgements that depend on them come with the next plan.
func (e *Engine) MarkRecordsDurable(now time.Time) {
	e.recordsInFlight = false
	e.commitUnreached()
	for _, run := range e.recordingRuns {
		e.dropUnfit(run, now)
	}
	for _, run := range e.recordingRuns {
		e.dispatch(run, now)
	}
	e.recordingRuns = nil
	e.releaseAcks()
}

// releaseAcks adds the acknowledgements whose records are durable to the plan.
func (e *Engine) releaseAcks() {
	for node, number := range e.acksInFlight {
		if e.plan.Acks == nil {
			e.plan.Acks = map[string]int64{}
		}
		e.plan.Acks[node.entry.ID] = number
		node.sentAcks.any = true
	}
	e.acksInFlight = map[*node]int64{}
}
