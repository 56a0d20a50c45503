package placing

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// ackTrustWindow is the time after its last answer in which an incarnation is still sent
// acknowledgements of ends.
const ackTrustWindow = 150 * time.Millisecond

// pollWorker polls one incarnation of a worker for its runs, as a link does.
func (s *simulation) pollWorker(l *modelLeader, entry WorkerEntry) {
	id := entry.ID
	if l.deposed || !l.links[id] {
		return
	}
	sent := s.now
	extends := l.answered[id]
	ack := int64(0)
	if extends && sent.Sub(l.lastAnswerAt[id]) < ackTrustWindow {
		ack = l.acks[id]
	}
	if extends {
		l.leaseExpiresAt[id] = sent.Add(LeaseExpiry(testLimits.MaxLease))
		l.leaseUntil[id] = sent.Add(testLimits.MaxLease)
	}
	until := time.Time{}
	if extends {
		until = l.leaseUntil[id]
	}
	s.sendOrder(entry.Name, func(worker *modelWorker) bool {
		if l.epoch < worker.fence {
			l.deposed = true
			return false
		}
		worker.fence = l.epoch
		if s.strayOrders.carryingOut() {
			s.carryOutStrayPoll(worker, id, until, ack)
			return true
		}
		s.strayOrders.recordAnswer(s, worker, l.epoch)
		if worker.entry.ID != id {
			if !until.IsZero() {
				worker.leaseUntil = laterTime(worker.leaseUntil, s.now.Add(testLimits.MaxLease)) // as for a start
			}
			born := worker.entry.BornMS
			s.schedule(s.networkDelay(), func() {
				next, mustPoll := l.engine.ReplaceIncarnation(id, born, s.now)
				if mustPoll {
					s.openLinks(l, []WorkerEntry{next})
				}
			})
			return true
		}
		worker.leaseUntil = laterTime(worker.leaseUntil, until)
		s.acknowledgeEnds(worker, ack)
		running, ended := worker.runsAndEnds(s.now)
		s.schedule(s.networkDelay(), func() {
			if l.deposed {
				return
			}
			l.answered[id] = true
			l.lastAnswerAt[id] = s.now
			l.engine.Report(id, sent, running, ended, l.leaseExpiresAt[id], s.now)
		})
		return true
	}, func(_, lost bool) {
		if lost {
			if s.strayOrders != nil && ack > 0 {
				l.engine.AckUnanswered(id, s.now)
			}
			l.answered[id] = false
			l.engine.WorkerUnreachable(id, l.leaseExpiresAt[id], s.now)
		}
		s.schedule(60*time.Millisecond, func() { s.pollWorker(l, entry) })
	})
}

func (s *simulation) acknowledgeEnds(worker *modelWorker, ack int64) {
	remaining := worker.unackedEnds[:0]
	for _, end := range worker.unackedEnds {
		if end.Number > ack {
			remaining = append(remaining, end)
			continue
		}
		// An end before the lease expired doesn't count as acknowledged after it.
		if end.Kind == EndDone && worker.endTimes[end.Number].After(worker.leaseExpiredAt) {
			s.ackedDone[end.Task] = true
		}
	}
	worker.unackedEnds = remaining
	worker.ackedEndNumber = max(worker.ackedEndNumber, ack)
}

func (m *modelWorker) runsAndEnds(now time.Time) ([]RunningTask, []EndedTask) {
	var running []RunningTask
	for _, run := range sortedRuns(m) {
		running = append(running, RunningTask{Task: run.key, Run: run.number, Percent: run.percent(now)})
	}
	return running, append([]EndedTask(nil), m.unackedEnds...)
}

func (s *simulation) endRun(worker *modelWorker, run *modelRun, kind EndKind) {
	if worker.running[run.key] != run {
		return
	}
	delete(worker.running, run.key)
	s.strayOrders.settle(startedRun{run.key, run.number})
	worker.highestEndedRun[run.key] = max(worker.highestEndedRun[run.key], run.number)
	worker.lastEndNumber++
	worker.endTimes[worker.lastEndNumber] = s.now
	worker.unackedEnds = append(worker.unackedEnds, EndedTask{Number: worker.lastEndNumber, Task: run.key, Run: run.number, Kind: kind})
	if kind == EndDone {
		s.done[run.key] = true
	}
	if kind == EndFailed {
		s.failures[run.key]++
	}
}

// advanceWorker ends the runs of a worker that are complete, or all of them when the lease has
// expired.
func (s *simulation) advanceWorker(worker *modelWorker) {
	if !worker.up {
		return
	}
	if worker.leaseUntil.Before(s.now) {
		worker.leaseExpiredAt = s.now
	}
	for _, run := range sortedRuns(worker) {
		switch {
		case len(worker.running) > 0 && worker.leaseUntil.Before(s.now) && s.now.Sub(run.startedAt) > time.Second:
			s.endRun(worker, run, EndLeaseExpired)
		case run.gangSize > 0 && s.now.Sub(run.startedAt) <= min(run.runTime, gangJoinTimeout): // too early for any end
		case run.gangSize > 0:
			s.advanceGang(worker, run)
		case s.now.Sub(run.startedAt) < run.runTime:
		case run.fails:
			s.endRun(worker, run, EndFailed)
		default:
			s.endRun(worker, run, EndDone)
		}
	}
}

func sortedRuns(worker *modelWorker) []*modelRun {
	var list []*modelRun
	for _, run := range worker.running {
		i := len(list)
		for i > 0 && list[i-1].key.String() > run.key.String() {
			i--
		}
		list = append(list[:i], append([]*modelRun{run}, list[i:]...)...)
	}
	return list
}

// gangJoinTimeout is how long a member waits for its gang.
const gangJoinTimeout = 3 * time.Second

// advanceGang ends the runs of a gang: as done after all members have run together for their
// run time, as broken if a member fails, and as alone if the members have not met within
// gangJoinTimeout.
func (s *simulation) advanceGang(worker *modelWorker, run *modelRun) {
	running, latest := 0, time.Time{}
	var members []*modelWorker
	for _, other := range s.incarnations {
		for key, candidate := range other.running {
			if other.up && key.Job == run.key.Job && key.Step == run.key.Step && candidate.number == run.number {
				running++
				members = append(members, other)
				if candidate.startedAt.After(latest) {
					latest = candidate.startedAt
				}
			}
		}
	}
	switch {
	case running < run.gangSize && s.now.Sub(run.startedAt) > gangJoinTimeout:
		s.endRun(worker, run, EndGangIncomplete)
	case running == run.gangSize && s.now.Sub(latest) > run.runTime:
		endKindOf := gangMemberEnd(members, run)
		for _, member := range members {
			for _, candidate := range sortedRuns(member) {
				if candidate.key.Job == run.key.Job && candidate.key.Step == run.key.Step {
					s.endRun(member, candidate, endKindOf(candidate))
				}
			}
		}
	}
}

// gangMemberEnd returns how each member of a completed gang ends: as done, as failed, or as
// broken if another member failed.
func gangMemberEnd(members []*modelWorker, run *modelRun) func(*modelRun) EndKind {
	broken := false
	for _, member := range members {
		for _, candidate := range member.running {
			broken = broken || candidate.fails && stepKey(candidate.key) == stepKey(run.key)
		}
	}
	return func(candidate *modelRun) EndKind {
		switch {
		case candidate.fails:
			return EndFailed
		case broken:
			return EndGangBroken
		}
		return EndDone
	}
}

// checkDuplicateRuns checks that no task has two runs at the same time.
func (s *simulation) checkDuplicateRuns() {
	seen := map[jobs.TaskKey]string{}
	for _, worker := range s.incarnations {
		if !worker.up {
			continue
		}
		for key := range worker.running {
			if other, duplicate := seen[key]; duplicate {
				s.violationf("%s runs on %s and on %s", key, other, worker.entry.ID)
			}
			seen[key] = worker.entry.ID
		}
	}
}

// injectFault injects a random fault now and then.
func (s *simulation) injectFault() {
	if s.rng.IntN(60) != 0 || s.faultsDisabled {
		return
	}
	worker := s.currentIncarnation(s.incarnations[s.rng.IntN(len(s.incarnations))].entry.Name)
	switch s.rng.IntN(8) {
	case 7:
		s.toggleEvacuation()
	case 0:
		s.changeLeader()
	case 1:
		if worker.up && s.countUpWorkers() > 2 && worker.entry.Name != s.soleWorker {
			s.recordFault()
			s.loseWorker(worker)
			s.removed[worker.entry.Name] = true
			s.replaceWorker(worker)
		}
	case 2, 3:
		s.recordFault()
		worker.partitionedUntil = s.now.Add(time.Duration(s.rng.IntN(9000)) * time.Millisecond)
	case 4:
		if len(s.jobs) > 0 && s.rng.IntN(4) == 0 {
			id := s.jobs[s.rng.IntN(len(s.jobs))].ID
			s.appendRecords([]jobs.Record{jobs.CancelRecord(id)})
			s.leader.engine.ApplyJob(s.table.Job(id), s.now)
		}
	case 5, 6:
		if worker.up && !s.removed[worker.entry.Name] {
			s.recordFault()
			s.loseWorker(worker)
			s.restartWorker(worker)
		}
	}
}

// loseWorker ends an incarnation of a worker with all its runs. It counts once against a gang,
// however many members ran there.
func (s *simulation) loseWorker(worker *modelWorker) {
	affected := map[jobs.TaskKey]bool{}
	for key := range worker.running {
		if s.stepOf(key).Gang {
			key.Index = 0
		}
		affected[key] = true
	}
	for key := range affected {
		s.workerLosses[key]++
	}
	worker.up = false
}

func (s *simulation) countUpWorkers() int {
	count := 0
	for _, worker := range s.incarnations {
		if worker.up {
			count++
		}
	}
	return count
}

// submitRandomJob submits a random job.
func (s *simulation) submitRandomJob() {
	id := testJob("", 0).ID + hexID(len(s.jobs)+1)
	var steps []jobs.Step
	for i := range 1 + s.rng.IntN(2) {
		step := testStep(1+s.rng.IntN(5), int64(1+s.rng.IntN(4)))
		step.Gang = s.rng.IntN(2) == 0
		step.OneRack = step.Gang && s.rng.IntN(2) == 0
		if i > 0 {
			step.After = []int{i - 1}
		}
		steps = append(steps, step)
	}
	s.submitJob(testJob(id, s.rng.IntN(3), steps...))
}

// submitJob writes the submission record of a job and passes the job to the leader.
func (s *simulation) submitJob(job *jobs.Submission) {
	job.Queue.MaxAttempts = 3
	s.jobs = append(s.jobs, job)
	record, err := jobs.SubmissionRecord(job)
	if err != nil {
		s.violationf("submission: %v", err)
	}
	s.appendRecords([]jobs.Record{record})
	s.leader.engine.ApplyJob(s.table.Job(job.ID), s.now)
}

func hexID(number int) string {
	const digits = "0123456789abcdef"
	id := make([]byte, 16)
	for i := len(id) - 1; i >= 0; i-- {
		id[i] = digits[number%16]
		number /= 16
	}
	return string(id)
}
