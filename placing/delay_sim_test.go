package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	delaySimTick = 50 * time.Millisecond
	// maxIdleDelay bounds the start delay of work of which nothing runs, if it fits twice and
	// less than half of the capacity is in use.
	maxIdleDelay    = 3 * time.Second
	delaySimTimeout = 40 * time.Second
	defaultRunTime  = 118 * time.Second
)

// delaySim simulates a deployment with much idle capacity, in virtual time. It reads the state
// of its jobs from the records, so the leader can change at any moment.
type delaySim struct {
	t              *testing.T
	engine         *Engine
	table          *jobs.Table
	epoch          int64
	offset         int64
	now            time.Time
	termStart      time.Time
	termLength     time.Duration // how long each leader keeps the term; 0: forever
	workers        []*simWorker
	jobs           map[string]*jobs.Submission
	runTimes       map[string]time.Duration // by job; defaultRunTime if missing
	failures       map[string]int           // by job: runs that still have to fail
	done           map[jobs.TaskKey]bool
	stopSentAt     map[jobs.TaskKey]time.Time
	stopDelay      time.Duration
	adviceRequest  *AdviceRequest
	requestedAt    time.Time
	adviceLatency  time.Duration // until an advice request is answered
	ticketLifetime time.Duration // how long a ticket is valid
	allowed        func(job, worker string) bool
	logEvents      []LogEvent // of all passes
}

// newDelaySim returns a simulation whose workers have eight accelerators each.
func newDelaySim(t *testing.T, racks, workersPerRack int) *delaySim {
	s := &delaySim{t: t, table: jobs.NewTable(), now: testStart, jobs: map[string]*jobs.Submission{}, runTimes: map[string]time.Duration{},
		failures: map[string]int{}, done: map[jobs.TaskKey]bool{}, stopSentAt: map[jobs.TaskKey]time.Time{}, ticketLifetime: 3 * time.Second}
	s.allowed = func(string, string) bool { return true }
	for rack := range racks {
		s.addRack("pool", fmt.Sprintf("r1-%d", rack), workersPerRack)
	}
	s.changeLeader()
	return s
}

func (s *delaySim) addRack(pool, rack string, workers int) {
	for range workers {
		entry := testWorker(fmt.Sprintf("w%02d", len(s.workers)), rack)
		entry.Pool = pool
		entry.Labels = append(entry.Labels, entry.ID)
		s.workers = append(s.workers, &simWorker{entry: entry, up: true, running: map[jobs.TaskKey]simRun{}})
	}
}

func (s *delaySim) changeLeader() {
	s.epoch++
	former := s.engine
	s.engine = testEngine(s.epoch)
	if former != nil {
		s.engine.SetFormerLeases(former.FormerLeasesExpireAt()) // as the renewals of the term state
	}
	s.engine.LoadUnreached(s.table.Unreached())
	s.engine.LoadJobs(s.table.All(), FormerLeaderReleased, s.now)
	s.engine.MarkJobsComplete()
	s.termStart = s.now
	s.adviceRequest = nil
}

// submit submits a job and returns its ID.
func (s *delaySim) submit(submission *jobs.Submission) string {
	submission.AcceptedMS = s.now.UnixMilli()
	s.jobs[submission.ID] = submission
	record, err := jobs.SubmissionRecord(submission)
	if err != nil {
		s.t.Fatal(err)
	}
	s.appendRecords(record)
	s.engine.ApplyJob(s.table.Job(submission.ID), s.now)
	return submission.ID
}

func (s *delaySim) appendRecords(records ...jobs.Record) {
	for _, record := range records {
		s.offset++
		if _, err := s.table.Apply(record, 0, s.offset); err != nil {
			s.t.Fatal(err)
		}
	}
}

// occupy starts a one-hour task that takes accelerators of a worker.
func (s *delaySim) occupy(worker int, accelerators int64) {
	step := testStep(1, accelerators)
	step.RequiredLabel = s.workers[worker].entry.ID
	step.EstimateMS = 1000 * int64(time.Hour/time.Second)
	job := testJob(hexID(1000+worker), 1, step)
	job.Queue.Name, job.Queue.Pool = "others", s.workers[worker].entry.Pool
	s.runTimes[job.ID] = time.Hour
	s.submit(job)
}

func (s *delaySim) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.tick()
	}
}

func (s *delaySim) tick() {
	s.now = s.now.Add(delaySimTick)
	if s.termLength > 0 && s.now.Sub(s.termStart) >= s.termLength {
		s.changeLeader()
	}
	for _, w := range s.workers {
		s.endRuns(w)
	}
	s.reportWorkers()
	s.answerAdvice()
	s.executePass()
	s.executePass() // sends the orders that waited for the records
}

// endRuns ends the runs of a worker that are complete, failed or stopped.
func (s *delaySim) endRuns(w *simWorker) {
	for _, key := range w.runningTasks() {
		run := w.running[key]
		kind := EndDone
		stop, stopped := s.stopSentAt[key]
		switch {
		case stopped && s.now.Sub(stop) >= s.stopDelay:
			kind = EndStopped
			delete(s.stopSentAt, key)
		case s.percentDone(key, run) < 100 || s.stepOf(key).LongRunning:
			continue
		case s.failures[key.Job] > 0:
			s.failures[key.Job]--
			kind = EndFailed
		default:
			s.done[key] = true
		}
		delete(w.running, key)
		w.lastEnd++
		w.unackedEnds = append(w.unackedEnds, EndedTask{Number: w.lastEnd, Task: key, Run: run.number, Kind: kind})
	}
}

func (s *delaySim) stepOf(key jobs.TaskKey) *jobs.Step { return &s.jobs[key.Job].Steps[key.Step] }

func (s *delaySim) percentDone(key jobs.TaskKey, run simRun) int {
	runTime := s.runTimes[key.Job]
	if runTime == 0 {
		runTime = defaultRunTime
	}
	if s.stepOf(key).LongRunning {
		return 100
	}
	return min(100, int(100*s.now.Sub(run.startedAt)/runTime))
}

func (s *delaySim) reportWorkers() {
	var entries []WorkerEntry
	for _, w := range s.workers {
		if w.up {
			entries = append(entries, w.entry)
		}
	}
	s.engine.UpdateWorkers(entries, s.now)
	for _, w := range s.workers {
		if !w.up {
			continue
		}
		var rows []RunningTask
		for _, key := range w.runningTasks() {
			rows = append(rows, RunningTask{Task: key, Run: w.running[key].number, Percent: s.percentDone(key, w.running[key])})
		}
		s.engine.Report(w.entry.ID, s.now, rows, w.unackedEnds, s.now.Add(LeaseExpiry(testLimits.MaxLease)), s.now)
	}
}

// answerAdvice answers the pending advice request after adviceLatency.
func (s *delaySim) answerAdvice() {
	if s.adviceRequest == nil || s.now.Sub(s.requestedAt) < s.adviceLatency {
		return
	}
	tickets := map[string]string{}
	for _, worker := range s.adviceRequest.Workers {
		if s.allowed(s.adviceRequest.Job, worker.ID) {
			tickets[worker.ID] = "ticket"
		}
	}
	s.engine.HandleAdvice(*s.adviceRequest, true, tickets, s.ticketLifetime, s.requestedAt, s.now)
	s.adviceRequest = nil
}

func (s *delaySim) executePass() {
	plan := s.engine.Decide(s.now)
	s.logEvents = append(s.logEvents, plan.LogEvents...)
	s.appendRecords(plan.Records...)
	if len(plan.Records) > 0 {
		s.engine.MarkRecordsDurable(s.now)
	}
	if plan.AdviceRequest != nil {
		s.adviceRequest, s.requestedAt = plan.AdviceRequest, s.now
	}
	for _, start := range plan.Starts {
		s.findWorker(start.Worker).running[start.Task] = simRun{number: start.Run, startedAt: s.now}
		s.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, s.now)
	}
	for _, stop := range plan.Stops {
		s.stopSentAt[stop.Task] = s.now
		s.engine.StopAcknowledged(stop.Worker, stop.Task, stop.Run, s.now)
	}
	for _, w := range s.workers {
		if number := plan.Acks[w.entry.ID]; number > 0 {
			w.unackedEnds = w.unackedEnds[len(w.unackedEnds)-int(w.lastEnd-number):]
		}
	}
}

func (s *delaySim) findWorker(id string) *simWorker {
	for _, w := range s.workers {
		if w.entry.ID == id {
			return w
		}
	}
	s.t.Fatal("no worker " + id)
	return nil
}

// freeCapacity returns the capacity that the runs on a worker leave.
func (s *delaySim) freeCapacity(w *simWorker) jobs.Resources {
	free := w.entry.Capacity
	for key := range w.running {
		free = free.Sub(s.stepOf(key).Need)
	}
	return free
}

// poolUsage reports whether a step fits twice into the free capacity of its pool, and the
// percentage of the pool in use.
func (s *delaySim) poolUsage(id string, step int) (fitsTwice bool, usedPercent int) {
	spec := &s.jobs[id].Steps[step]
	var capacity int
	var free, total int64
	for _, w := range s.workers {
		if !w.up || w.entry.Pool != s.jobs[id].Queue.Pool {
			continue
		}
		left := s.freeCapacity(w)
		free += left.Accelerators
		total += w.entry.Capacity.Accelerators
		for w.entry.HasLabel(spec.RequiredLabel) && left.Fits(spec.Need) {
			left = left.Sub(spec.Need)
			capacity++
		}
	}
	wanted := 1
	if spec.Gang {
		wanted = spec.Tasks
	}
	return capacity >= 2*wanted, int(100 * (total - free) / total)
}

// countRunning counts the running tasks of a step.
func (s *delaySim) countRunning(id string, step int) int {
	count := 0
	for _, w := range s.workers {
		for key := range w.running {
			if w.up && key.Job == id && key.Step == step {
				count++
			}
		}
	}
	return count
}

// racksOf returns the racks in which tasks of a job run.
func (s *delaySim) racksOf(id string) map[string]bool {
	racks := map[string]bool{}
	for _, w := range s.workers {
		for key := range w.running {
			if w.up && key.Job == id {
				racks[w.entry.Rack] = true
			}
		}
	}
	return racks
}

// waitForStart advances time until a task of a ready step runs (all tasks of a long-running
// step) and returns the time that took.
func (s *delaySim) waitForStart(id string, step int) time.Duration {
	start := s.now
	spec := &s.jobs[id].Steps[step]
	wanted := 1
	if spec.LongRunning {
		wanted = spec.Tasks
	}
	_, usedPercent := s.poolUsage(id, step)
	for s.countRunning(id, step) < wanted && s.now.Sub(start) < delaySimTimeout {
		var fitsTwice bool
		if fitsTwice, usedPercent = s.poolUsage(id, step); !fitsTwice || usedPercent >= 50 && !spec.LongRunning {
			s.t.Fatalf("the test setup is wrong: fits twice %t, %d percent in use", fitsTwice, usedPercent)
		}
		s.tick()
	}
	waited := s.now.Sub(start)
	s.t.Logf("step %d of job %s: %d of %d tasks run after %v, %d percent of the pool in use", step, id, s.countRunning(id, step), spec.Tasks, waited, usedPercent)
	return waited
}
