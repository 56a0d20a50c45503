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

func (d *loadSim) submitWork(submission *jobs.Submission, work time.Duration) {
	d.submit(submission)
	d.work[submission.ID] = work
	d.submittedAt[submission.ID] = d.now
}

// tick advances 50 ms.
func (d *loadSim) tick() {
	plan := d.step()
	for _, start := range plan.Starts {
		d.startedAt[start.Task] = d.now
	}
	for _, stop := range plan.Stops {
		if begin, known := d.startedAt[stop.Task]; known {
			d.lostWork += d.now.Sub(begin)
		}
	}
	for _, worker := range d.workerIDs {
		d.reportRuns(worker)
	}
	for id := range d.work {
		if _, known := d.endedAt[id]; !known && d.engine.jobs[id].state == jobs.StateDone {
			d.endedAt[id] = d.now
		}
	}
}

func (d *loadSim) reportRuns(worker string) {
	var running []RunningTask
	var ends []EndedTask
	for _, run := range d.engine.nodes[worker].runs {
		begin, known := d.startedAt[run.task.key]
		if run.phase == phasePlanned || !known {
			continue
		}
		worked, whole := d.now.Sub(begin), d.work[run.task.key.Job]
		if worked >= whole {
			d.endNumbers[worker]++
			ends = append(ends, EndedTask{Number: d.endNumbers[worker], Task: run.task.key, Run: run.number, How: EndDone})
			continue
		}
		running = append(running, RunningTask{Task: run.task.key, Run: run.number, Percent: int(100 * worked / whole)})
	}
	if len(ends) > 0 || len(running) > 0 {
		d.engine.Report(worker, d.now, running, ends, time.Time{}, d.now)
	}
}

// countOnTime counts the submitted jobs of a priority, and those of them
// that ended within a time.
func (d *loadSim) countOnTime(priority int, within time.Duration) (all, met int) {
	for id, handed := range d.submittedAt {
		if d.engine.jobs[id].queue.Priority != priority {
			continue
		}
		all++
		if ended, known := d.endedAt[id]; known && ended.Sub(handed) <= within {
			met++
		}
	}
	return all, met
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
	d := newLoadSim(3)
	number := 0
	for tick := range 1200 { // a minute
		if tick%16 == 0 {
			number++
			d.submitWork(testJob(hexID(number), 2, testStep(8, 1)), 4*time.Second)
		}
		if tick%160 == 40 {
			number++
			d.submitWork(testJob(hexID(number), 1, wideGang(6, 8)), 4*time.Second)
		}
		if tick%80 == 60 {
			number++
			d.submitWork(testJob(hexID(number), 0, gangStep(3, 8)), time.Second)
		}
		d.tick()
	}
	for range 300 {
		d.tick()
	}
	gangs, gangsGood := d.countOnTime(1, 13*time.Second)
	tasks, tasksGood := d.countOnTime(2, 13*time.Second)
	urgent, urgentGood := d.countOnTime(0, 2*time.Second)
	t.Log("gangs", gangs, gangsGood, "tasks", tasks, tasksGood, "urgent", urgent, urgentGood, "lost", d.lostWork)
	is.True(gangsGood*10 >= gangs*8)
	is.True(tasksGood*10 >= tasks*8)
	is.True(urgentGood*10 >= urgent*9)
	is.True(d.lostWork < 150*time.Second)
}

// Deferrable work leaves the emptiest workers alone as long as there was recent demand of
// gangs. Work that is short of time uses them, and so does all work while half of the
// workers are free.
func TestRoomIsKeptClearOfWorkThatCanWait(t *testing.T) {
	for _, example := range []struct {
		busy  int           // of twelve workers, taken by others
		since time.Duration // since the last gang waited
		spare bool
		seats int // of two on each worker
	}{
		{busy: 8, spare: true, seats: 0},
		{busy: 8, spare: false, seats: 8},
		{busy: 8, spare: true, since: time.Minute, seats: 8},
		{busy: 5, spare: true, seats: 14},
	} {
		is := is.New(t)
		e, now := loadedEngine(0)
		var nodes []*node
		for index := range 12 {
			node := e.ensureNode(WorkerEntry{ID: hexID(index)}, now)
			node.entry = testWorker(hexID(index), "r1-"+string(rune('0'+index/4)))
			if index < example.busy {
				node.used = node.entry.Capacity
			}
			nodes = append(nodes, node)
		}
		e.demandsOf("pool").gang.update(12, now)
		open := newView(nodes)
		e.reserveHeadroom(nil, open, now.Add(example.since))
		e.Learn(&jobs.Job{Submission: testJob(hexID(99), 2, testStep(24, 4))}, now)
		unit := e.waitingUnits(now)[0]
		unit.deferrable = example.spare
		is.Equal(len(open.fit(unit, true)), example.seats)
	}
}

// A job that is late, or short of time, is not deferrable: its small value would
// be lost entirely on a day on which the workers are never free.
func TestLateWorkIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	e, now := loadedEngine(0)
	e.Learn(&jobs.Job{Submission: testJob(hexID(1), 2, testStep(1, 1))}, now) // 4 s of work, due in 13 s
	for _, example := range []struct {
		after   time.Duration
		patient bool
	}{{0, true}, {2 * time.Second, true}, {4 * time.Second, false}, {10 * time.Second, false}, {20 * time.Second, false}} {
		is.Equal(e.waitingUnits(now.Add(example.after))[0].deferrable, example.patient)
	}
}
