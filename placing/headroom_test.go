package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// loadSim plays a load on a cluster in virtual time: runs end as done once they
// have worked for their time.
type loadSim struct {
	*cluster
	work        map[string]time.Duration // by job
	submittedAt map[string]time.Time
	endedAt     map[string]time.Time
	startedAt   map[jobs.TaskKey]time.Time
	lostWork    time.Duration // work of runs that were stopped, summed over all tasks
}

func newLoadSim(racks int) *loadSim {
	return &loadSim{cluster: newCluster(racks), work: map[string]time.Duration{}, submittedAt: map[string]time.Time{},
		endedAt: map[string]time.Time{}, startedAt: map[jobs.TaskKey]time.Time{}}
}

// submitWork submits a job whose tasks each run for a time.
func (s *loadSim) submitWork(submission *jobs.Submission, work time.Duration) {
	s.submit(submission)
	s.work[submission.ID] = work
	s.submittedAt[submission.ID] = s.now
}

// tick advances 50 ms.
func (s *loadSim) tick() {
	plan := s.step()
	for _, start := range plan.Starts {
		s.startedAt[start.Task] = s.now
	}
	for _, stop := range plan.Stops {
		if begin, ok := s.startedAt[stop.Task]; ok {
			s.lostWork += s.now.Sub(begin)
		}
	}
	for _, worker := range s.workerIDs {
		s.reportRuns(worker)
	}
	for id := range s.work {
		if _, ok := s.endedAt[id]; !ok && s.engine.jobs[id].state == jobs.StateDone {
			s.endedAt[id] = s.now
		}
	}
}

// reportRuns reports the runs of a worker, as done once they have worked for their time.
func (s *loadSim) reportRuns(worker string) {
	var running []RunningTask
	var ends []EndedTask
	for _, run := range s.engine.nodes[worker].runs {
		begin, ok := s.startedAt[run.task.key]
		if run.phase == phasePlanned || !ok {
			continue
		}
		worked, total := s.now.Sub(begin), s.work[run.task.key.Job]
		if worked >= total {
			s.endNumbers[worker]++
			ends = append(ends, EndedTask{Number: s.endNumbers[worker], Task: run.task.key, Run: run.number, Kind: EndDone})
			continue
		}
		running = append(running, RunningTask{Task: run.task.key, Run: run.number, Percent: int(100 * worked / total)})
	}
	if len(ends) > 0 || len(running) > 0 {
		s.engine.Report(worker, s.now, running, ends, time.Time{}, s.now)
	}
}

// countOnTime counts the submitted jobs of a priority, and those of them
// that ended within a time.
func (s *loadSim) countOnTime(priority int, within time.Duration) (total, onTime int) {
	for id, submitted := range s.submittedAt {
		if s.engine.jobs[id].queue.Priority != priority {
			continue
		}
		total++
		if ended, ok := s.endedAt[id]; ok && ended.Sub(submitted) <= within {
			onTime++
		}
	}
	return total, onTime
}

func wideGang(tasks int, accelerators int64) jobs.Step {
	step := testStep(tasks, accelerators)
	step.Gang = true
	return step
}

// The load: a steady stream of small tasks that could fill two fifths of the
// workers, gangs that need half of them whole, and urgent gangs that need a
// quarter. All end in time. Without headroom, 268 s of work would be preempted
// for them instead of 77 s.
func TestGangsAreServedAmongSmallTasks(t *testing.T) {
	is := is.New(t)
	s := newLoadSim(3)
	number := 0
	for tick := range 1200 { // a minute
		if tick%16 == 0 {
			number++
			s.submitWork(testJob(hexID(number), 2, testStep(8, 1)), 4*time.Second)
		}
		if tick%160 == 40 {
			number++
			s.submitWork(testJob(hexID(number), 1, wideGang(6, 8)), 4*time.Second)
		}
		if tick%80 == 60 {
			number++
			s.submitWork(testJob(hexID(number), 0, gangStep(3, 8)), time.Second)
		}
		s.tick()
	}
	for range 300 {
		s.tick()
	}
	gangs, gangsOnTime := s.countOnTime(1, 13*time.Second)
	tasks, tasksOnTime := s.countOnTime(2, 13*time.Second)
	urgent, urgentOnTime := s.countOnTime(0, 2*time.Second)
	t.Log("gangs", gangs, gangsOnTime, "tasks", tasks, tasksOnTime, "urgent", urgent, urgentOnTime, "lost", s.lostWork)
	is.True(gangsOnTime*10 >= gangs*8)
	is.True(tasksOnTime*10 >= tasks*8)
	is.True(urgentOnTime*10 >= urgent*9)
	is.True(s.lostWork < 150*time.Second)
}

// Deferrable work leaves the emptiest workers alone as long as there was recent demand of
// gangs. Work that is short of time uses them, and so does all work while half of the
// workers are free.
func TestRoomIsKeptClearOfWorkThatCanWait(t *testing.T) {
	for _, example := range []struct {
		usedWorkers int           // of twelve workers
		sinceDemand time.Duration // time since the newest demand of gangs
		deferrable  bool
		placements  int // of two on each worker
	}{
		{usedWorkers: 8, deferrable: true, placements: 0},
		{usedWorkers: 8, deferrable: false, placements: 8},
		{usedWorkers: 8, deferrable: true, sinceDemand: time.Minute, placements: 8},
		{usedWorkers: 5, deferrable: true, placements: 14},
	} {
		is := is.New(t)
		e, now := loadedEngine(0)
		var nodes []*node
		for index := range 12 {
			node := e.ensureNode(WorkerEntry{ID: hexID(index)}, now)
			node.entry = testWorker(hexID(index), "r1-"+string(rune('0'+index/4)))
			if index < example.usedWorkers {
				node.used = node.entry.Capacity
			}
			nodes = append(nodes, node)
		}
		e.demandsOf("pool").gang.update(12, now)
		view := newView(nodes)
		e.reserveHeadroom(nil, view, now.Add(example.sinceDemand))
		e.ApplyJob(&jobs.Job{Submission: testJob(hexID(99), 2, testStep(24, 4))}, now)
		unit := e.waitingUnits(now)[0]
		unit.deferrable = example.deferrable
		is.Equal(len(view.fit(unit, true)), example.placements)
	}
}

// A job that is late, or short of time, is not deferrable: its small value would
// be lost entirely on a day on which the workers are never free.
func TestLateWorkIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	e, now := loadedEngine(0)
	e.ApplyJob(&jobs.Job{Submission: testJob(hexID(1), 2, testStep(1, 1))}, now) // 4 s of work, due in 13 s
	for _, example := range []struct {
		after      time.Duration
		deferrable bool
	}{{0, true}, {2 * time.Second, true}, {4 * time.Second, false}, {10 * time.Second, false}, {20 * time.Second, false}} {
		is.Equal(e.waitingUnits(now.Add(example.after))[0].deferrable, example.deferrable)
	}
}
