package placing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// crashCase describes how a task crashes the workers on which it starts.
type crashCase struct {
	name           string
	step           jobs.Step
	urgent         bool
	allMembers     bool              // every member of the gang crashes its worker
	leaderChanges  bool              // the leader changes after each loss
	permanentLoss  bool              // lost workers are replaced by new ones
	keepsName      bool              // workers restart under their names
	unanswered     bool              // the worker is lost before it answers the start
	detectionDelay time.Duration     // from the loss until calls to the worker fail; 0: at once
	restartDelay   time.Duration     // from the loss until the next incarnation answers; 0: defaultRestartDelay
	crashDelay     time.Duration     // from the start until the loss; 0: defaultCrashDelay
	injectFault    func(s *crashSim) // called at every tick to inject further faults
	workerCount    int               // 0: defaultCrashWorkers
	harmless       bool              // the task doesn't crash its workers
}

const (
	crashTick           = 10 * time.Millisecond
	defaultCrashDelay   = 10 * time.Millisecond
	defaultRestartDelay = 3200 * time.Millisecond
	healthyRunTime      = 2 * time.Second
)

// simWorker is one incarnation of a worker.
type simWorker struct {
	entry          WorkerEntry
	up             bool
	lostAt         time.Time
	reportedSilent bool // whether the engine was notified that it is unreachable
	unackedEnds    []EndedTask
	lastEnd        int64
	running        map[jobs.TaskKey]simRun
}

// runningTasks returns the running tasks in a deterministic order.
func (w *simWorker) runningTasks() []jobs.TaskKey {
	keys := slices.Collect(maps.Keys(w.running))
	slices.SortFunc(keys, func(a, b jobs.TaskKey) int { return strings.Compare(a.String(), b.String()) })
	return keys
}

type simRun struct {
	number    int
	startedAt time.Time
}

// crashSim simulates a deployment on which one task crashes its workers, in virtual time.
type crashSim struct {
	crashCase
	engine                  *Engine
	table                   *jobs.Table
	epoch                   int64
	offset                  int64
	now                     time.Time
	workers                 []*simWorker
	submitted               []string
	steps                   map[string]jobs.Step
	crashingJob             string
	crashingJobs            map[string]bool // further jobs that crash their workers
	lostWorkers             int             // workers lost under a crashing task
	lossesByTask            map[jobs.TaskKey]int
	startsAfterThirdLoss    map[jobs.TaskKey]int // starts of each task after three workers were lost under it
	healthyRunsLost         int                  // healthy runs lost with them
	maxStartsAfterThirdLoss int                  // maximum over all tasks
	duplicateRuns           []jobs.TaskKey
}

const defaultCrashWorkers = 8

func newCrashSim(test crashCase) *crashSim {
	s := &crashSim{crashCase: test, table: jobs.NewTable(), now: testStart, steps: map[string]jobs.Step{},
		crashingJobs: map[string]bool{}, lossesByTask: map[jobs.TaskKey]int{}, startsAfterThirdLoss: map[jobs.TaskKey]int{}}
	for number := range max(defaultCrashWorkers, test.workerCount) {
		s.addWorker(fmt.Sprintf("w%d", number), 1)
	}
	s.changeLeader()
	priority := 1
	if test.urgent {
		priority = 0
	}
	s.crashingJob = s.submit(priority, test.step)
	return s
}

func (s *crashSim) addWorker(address string, incarnation int) {
	entry := testWorker(fmt.Sprintf("%s-%d", address, incarnation), "r1-1")
	entry.Address = address
	if s.keepsName {
		entry.Name = address
		entry.BornMS = s.now.UnixMilli()
		entry.ID = IncarnationID(address, entry.BornMS)
	}
	s.workers = append(s.workers, &simWorker{entry: entry, up: true, running: map[jobs.TaskKey]simRun{}})
}

// changeLeader starts a new leader, which loads the recorded state.
func (s *crashSim) changeLeader() {
	s.epoch++
	s.engine = testEngine(s.epoch)
	s.engine.LoadJobs(s.table.All(), FormerLeaderReleased, s.now)
	s.engine.MarkJobsComplete()
}

func (s *crashSim) submit(priority int, step jobs.Step) string {
	submission := testJob(hexID(len(s.submitted)+1), priority, step)
	record, err := jobs.SubmissionRecord(submission)
	if err != nil {
		panic(err)
	}
	s.submitted = append(s.submitted, submission.ID)
	s.steps[submission.ID] = step
	s.appendRecords(record)
	s.engine.ApplyJob(s.table.Job(submission.ID), s.now)
	return submission.ID
}

func (s *crashSim) appendRecords(records ...jobs.Record) {
	for _, record := range records {
		s.offset++
		if _, err := s.table.Apply(record, 0, s.offset); err != nil {
			panic(err)
		}
	}
}

// run advances the simulation. Healthy jobs are submitted during the first half.
func (s *crashSim) run(length time.Duration) {
	end := s.now.Add(length)
	for tick := 0; s.now.Before(end); tick++ {
		s.now = s.now.Add(crashTick)
		if tick%40 == 0 && s.now.Before(end.Add(-length/2)) {
			s.submit(1+tick%2, testStep(4, 1))
		}
		if s.injectFault != nil {
			s.injectFault(s)
		}
		s.advanceWorkers()
		s.reportWorkers()
		s.executePass()
	}
}

// advanceWorkers runs the workers, reports silent ones and replaces lost ones.
func (s *crashSim) advanceWorkers() {
	for _, w := range append([]*simWorker(nil), s.workers...) {
		switch {
		case w.up:
			s.advanceWorker(w)
		case !w.reportedSilent && !s.now.Before(w.lostAt.Add(s.detectionDelay)):
			w.reportedSilent = true
			s.engine.WorkerUnreachable(w.entry.ID, w.lostAt.Add(LeaseExpiry(testLimits.MaxLease)), s.now)
		}
		if !w.up && s.now.Equal(w.lostAt.Add(s.effectiveRestartDelay())) {
			s.replaceWorker(w)
		}
	}
}

func (s *crashSim) effectiveRestartDelay() time.Duration {
	if s.restartDelay > 0 {
		return s.restartDelay
	}
	return defaultRestartDelay
}

// replaceWorker starts the next incarnation of a lost worker, or another worker in its place.
func (s *crashSim) replaceWorker(w *simWorker) {
	if s.permanentLoss {
		s.addWorker(fmt.Sprintf("w%d", len(s.workers)), 1)
		return
	}
	s.addWorker(w.entry.Address, len(s.workers))
	s.engine.ReplaceIncarnation(w.entry.ID, s.workers[len(s.workers)-1].entry.BornMS, s.now)
}

// crashesWorker reports whether a task crashes its worker.
func (s *crashSim) crashesWorker(key jobs.TaskKey) bool {
	return (key.Job == s.crashingJob || s.crashingJobs[key.Job]) && !s.harmless && (s.allMembers || key.Index == 0)
}

func (s *crashSim) advanceWorker(w *simWorker) {
	for _, key := range w.runningTasks() {
		run := w.running[key]
		after := max(defaultCrashDelay, s.crashDelay)
		if s.crashesWorker(key) && s.isGangComplete(key, run) && s.now.Sub(run.startedAt) >= after {
			s.loseWorker(w, key)
			return
		}
	}
	for _, key := range w.runningTasks() {
		run := w.running[key]
		if !s.crashesWorker(key) && !s.steps[key.Job].Gang && s.now.Sub(run.startedAt) >= healthyRunTime {
			delete(w.running, key)
			w.lastEnd++
			w.unackedEnds = append(w.unackedEnds, EndedTask{Number: w.lastEnd, Task: key, Run: run.number, Kind: EndDone})
		}
	}
}

// isGangComplete reports whether a run can work: in a gang all members have to run.
func (s *crashSim) isGangComplete(key jobs.TaskKey, run simRun) bool {
	step := s.steps[key.Job]
	if !step.Gang || s.allMembers {
		return true
	}
	running := 0
	for _, w := range s.workers {
		for other, candidate := range w.running {
			if w.up && other.Job == key.Job && candidate.number == run.number {
				running++
			}
		}
	}
	return running == step.Tasks
}

func (s *crashSim) loseWorker(w *simWorker, under jobs.TaskKey) {
	w.up = false
	w.lostAt = s.now
	s.lostWorkers++
	s.lossesByTask[under]++
	for key := range w.running {
		if !s.crashesWorker(key) {
			s.healthyRunsLost++
		}
	}
}

func (s *crashSim) reportWorkers() {
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
			run := w.running[key]
			percent := int(100 * s.now.Sub(run.startedAt) / healthyRunTime)
			rows = append(rows, RunningTask{Task: key, Run: run.number, Percent: min(100, percent)})
		}
		s.engine.Report(w.entry.ID, s.now, rows, w.unackedEnds, s.now.Add(LeaseExpiry(testLimits.MaxLease)), s.now)
	}
}

func (s *crashSim) executePass() {
	before := s.lostWorkers
	plan := s.engine.Decide(s.now)
	s.appendRecords(plan.Records...)
	if len(plan.Records) > 0 {
		s.engine.MarkRecordsDurable(s.now)
	}
	for _, start := range plan.Starts {
		s.startRun(start)
	}
	for _, stop := range plan.Stops {
		s.stopRun(stop)
	}
	for _, w := range s.workers {
		if number := plan.Acks[w.entry.ID]; number > 0 {
			w.unackedEnds = w.unackedEnds[len(w.unackedEnds)-int(w.lastEnd-number):]
		}
	}
	if s.leaderChanges && s.lostWorkers > before {
		s.changeLeader()
	}
}

func (s *crashSim) findWorker(id string) *simWorker {
	for _, w := range s.workers {
		if w.entry.ID == id {
			return w
		}
	}
	return nil
}

func (s *crashSim) startRun(start Start) {
	w := s.findWorker(start.Worker)
	if !w.up {
		return
	}
	for _, other := range s.workers {
		if _, ok := other.running[start.Task]; ok && other.up {
			s.duplicateRuns = append(s.duplicateRuns, start.Task)
		}
	}
	if s.lossesByTask[start.Task] >= 3 {
		s.startsAfterThirdLoss[start.Task]++
		s.maxStartsAfterThirdLoss = max(s.maxStartsAfterThirdLoss, s.startsAfterThirdLoss[start.Task])
	}
	w.running[start.Task] = simRun{number: start.Run, startedAt: s.now}
	if !s.unanswered || !s.crashesWorker(start.Task) {
		s.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, s.now)
	}
}

func (s *crashSim) stopRun(stop Stop) {
	w := s.findWorker(stop.Worker)
	if !w.up {
		return
	}
	if _, ok := w.running[stop.Task]; ok {
		delete(w.running, stop.Task)
		w.lastEnd++
		w.unackedEnds = append(w.unackedEnds, EndedTask{Number: w.lastEnd, Task: stop.Task, Run: stop.Run, Kind: EndStopped})
	}
	s.engine.StopAcknowledged(stop.Worker, stop.Task, stop.Run, s.now)
}

func (s *crashSim) countStates() map[jobs.State]int {
	count := map[jobs.State]int{}
	for _, id := range s.submitted {
		count[s.table.Job(id).State()]++
	}
	return count
}
