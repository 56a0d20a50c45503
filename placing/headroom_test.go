package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// day plays a load on a cluster in virtual time: runs end as done once they
// have worked for their time.
type day struct {
	*cluster
	work    map[string]time.Duration // by job
	handed  map[string]time.Time
	ended   map[string]time.Time
	started map[jobs.TaskKey]time.Time
	lost    time.Duration // work of runs that were stopped, all tasks together
}

func newDay(racks int) *day {
	return &day{cluster: newCluster(racks), work: map[string]time.Duration{}, handed: map[string]time.Time{},
		ended: map[string]time.Time{}, started: map[jobs.TaskKey]time.Time{}}
}

func (d *day) hand(submission *jobs.Submission, work time.Duration) {
	d.submit(submission)
	d.work[submission.ID] = work
	d.handed[submission.ID] = d.now
}

// play lets 50 ms pass.
func (d *day) play() {
	plan := d.step()
	for _, start := range plan.Starts {
		d.started[start.Task] = d.now
	}
	for _, stop := range plan.Stops {
		if begin, known := d.started[stop.Task]; known {
			d.lost += d.now.Sub(begin)
		}
	}
	for _, worker := range d.workerIDs {
		d.endDue(worker)
	}
	for id := range d.work {
		if _, known := d.ended[id]; !known && d.engine.jobs[id].state == jobs.StateDone {
			d.ended[id] = d.now
		}
	}
}

func (d *day) endDue(worker string) {
	var running []RunningTask
	var ends []EndedTask
	for _, run := range d.engine.nodes[worker].runs {
		begin, known := d.started[run.task.key]
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

// onTime counts the jobs of a priority that were handed in, and those of them
// that ended within a time.
func (d *day) onTime(priority int, within time.Duration) (all, good int) {
	for id, handed := range d.handed {
		if d.engine.jobs[id].queue.Priority != priority {
			continue
		}
		all++
		if ended, known := d.ended[id]; known && ended.Sub(handed) <= within {
			good++
		}
	}
	return all, good
}

func wideGang(tasks int, accelerators int64) jobs.Step {
	step := testStep(tasks, accelerators)
	step.Gang = true
	return step
}

// The load: small tasks that come all the time and could fill two fifths of the
// workers, gangs that need half of them whole, and urgent gangs that need a
// quarter. All are in time; tasks that take whatever comes free would have 268 s
// of work stopped for them, in place of 77 s.
func TestGangsAreServedAmongSmallTasks(t *testing.T) {
	is := is.New(t)
	d := newDay(3)
	number := 0
	for tick := range 1200 { // a minute
		if tick%16 == 0 {
			number++
			d.hand(testJob(hexID(number), 2, testStep(8, 1)), 4*time.Second)
		}
		if tick%160 == 40 {
			number++
			d.hand(testJob(hexID(number), 1, wideGang(6, 8)), 4*time.Second)
		}
		if tick%80 == 60 {
			number++
			d.hand(testJob(hexID(number), 0, gangStep(3, 8)), time.Second)
		}
		d.play()
	}
	for range 300 {
		d.play()
	}
	gangs, gangsGood := d.onTime(1, 13*time.Second)
	tasks, tasksGood := d.onTime(2, 13*time.Second)
	urgent, urgentGood := d.onTime(0, 2*time.Second)
	t.Log("gangs", gangs, gangsGood, "tasks", tasks, tasksGood, "urgent", urgent, urgentGood, "lost", d.lost)
	is.True(gangsGood*10 >= gangs*8)
	is.True(tasksGood*10 >= tasks*8)
	is.True(urgentGood*10 >= urgent*9)
	is.True(d.lost < 150*time.Second)
}

// Work with time to spare leaves the emptiest workers alone as long as gangs
// asked for them lately; work that is short of time takes them, and so does all
// work while half of the workers are free.
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

// A job that is late, or short of time, waits for nobody: its small worth would
// be lost whole on a day on which the workers are never free.
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
