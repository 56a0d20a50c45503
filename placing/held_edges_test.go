package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// restAll puts every worker to rest for a minute.
func (c *cluster) restAll() {
	for _, known := range c.engine.nodeOrder {
		known.health.pause(c.now, time.Minute)
	}
}

// Users expect a task to start that there is room for twice over, not all tasks of its step.
func TestTasksBeginThoughThereIsNotRoomForTheirWholeStepTwiceOver(t *testing.T) {
	for name, lasting := range map[string]bool{"tasks that end": false, "tasks that last": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(3) // 12 workers
			c.restAll()
			step := testStep(7, 8)
			step.Lasting = lasting
			held := testJob(hexID(1), 1, step)
			c.submit(held)
			is.True(c.beginsWithin(held.ID, overdueAfter))
		})
	}
}

// Workers that rest are often the ones that refuse.
func TestRefusedStartDoesNotBeginTheWaitBesideIdleRoomAnew(t *testing.T) {
	for name, result := range map[string]StartResult{"busy": StartBusy, "no room": StartNoRoom} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(3)
			c.restAll()
			held := testJob(hexID(1), 1, testStep(1, 1))
			c.submit(held)
			starts := 0
			for end := c.now.Add(overdueAfter); c.now.Before(end); {
				c.now = c.now.Add(50 * time.Millisecond)
				c.engine.Decide(c.now)
				c.engine.Recorded(c.now)
				for _, start := range c.engine.Decide(c.now).Starts {
					starts++
					answer := StartAccepted
					if starts == 1 {
						answer = result
					}
					c.engine.StartAnswered(start.Worker, start.Task, start.Run, answer, c.now)
				}
			}
			is.Equal(starts, 2)
		})
	}
}

// Each lasting task is expected to run: one that is suspected and a sound one of its step
// have one wait between them.
func TestLastingTasksOfOneStepDoNotWaitForEachOther(t *testing.T) {
	for name, tasks := range map[string]int{"one sound": 2, "eleven sound": 12} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(3)
			step := lastingStep(tasks)
			step.Need.Accelerators = 8
			held := testJob(hexID(1), 1, step)
			c.submit(held)
			known := c.engine.jobs[held.ID].allTasks()
			known[0].setLosses(losses{all: isolateAfter, at: c.now.Add(-time.Minute)})
			c.restAll()
			for end := c.now.Add(overdueAfter); c.now.Before(end); {
				c.step()
			}
			is.True(known[0].run != nil)
			is.True(known[1].run != nil)
		})
	}
}

// Workers at rest are not asked about, so no ticket for them is ever known.
func TestAdvisedWorkBeginsBesideIdleWorkersAtRest(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 2, 6)
	s.askTime = 500 * time.Millisecond
	s.play(time.Second)
	for _, known := range s.engine.nodeOrder {
		known.health.pause(s.now, restMost)
	}
	job := s.submit(advisedJob(1, 1, testStep(1, 1)))
	is.True(s.wait(job, 0) <= heldBound)
}

// Tickets that run out before the bound on preferences is reached begin the wait anew.
func TestAdvisedGangDoesNotWaitForItsRackLongerAsItsTicketsRunOut(t *testing.T) {
	for name, valid := range map[string]time.Duration{"of two seconds and a half": 2500 * time.Millisecond, "of three seconds": 3 * time.Second, "of a minute": time.Minute} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 8, 6)
			s.askTime, s.valid = 500*time.Millisecond, valid
			s.play(time.Second)
			for rack := range 8 {
				s.occupy(6*rack, 8)
			}
			s.play(time.Second)
			job := s.submit(advisedJob(1, 1, longGang(12)))
			is.True(s.wait(job, 0) <= heldBound)
		})
	}
}

func idleEngine(gangs int) (*Engine, time.Time) {
	e := testEngine(1)
	e.Load(nil, FormerHandedOver, testStart)
	var entries []WorkerEntry
	for index := range 6800 {
		entries = append(entries, testWorker(fmt.Sprintf("w%04d", index), fmt.Sprintf("r1-%03d", index/20)))
	}
	e.List(entries, testStart)
	for index, entry := range entries {
		e.Report(entry.ID, testStart, nil, nil, time.Time{}, testStart)
		if index%20 < 9 {
			e.nodes[entry.ID].used = entry.Capacity
		}
	}
	for number := range gangs {
		gang := gangStep(14, 8) // eleven workers of each rack are idle
		gang.EstimateMS = 1000 * int64(time.Hour/time.Second)
		e.Learn(&jobs.Job{Submission: testJob(hexID(number), 1, gang)}, testStart)
	}
	return e, testStart
}

// What is found for one of many alike gangs need not be searched for again for each: a
// search of so many workers allocates some twenty times.
func TestPassDoesNotSearchAllWorkersForEachAlikeGangThatWaitsForARack(t *testing.T) {
	allocations := func(gangs int) float64 {
		e, now := idleEngine(gangs)
		return testing.AllocsPerRun(3, func() {
			now = now.Add(time.Millisecond)
			e.pass(now)
		})
	}
	one, many := allocations(1), allocations(300)
	if more := (many - one) / 299; more > 8 {
		t.Fatalf("each further gang takes %.1f allocations", more)
	}
}

// BenchmarkGangsThatWaitForARack is a pass with 300 of them, with a look for held steps.
func BenchmarkGangsThatWaitForARack(b *testing.B) {
	e, now := idleEngine(300)
	for b.Loop() {
		now = now.Add(heldLook / 100)
		e.pass(now)
	}
}

// A suspected task ends its worker with all that runs there. A wait long ago, under another
// holder of the term, says nothing of the time since the loss.
func TestSuspectedTaskWaitsForAnEmptyWorkerAfterAChangeOfHolder(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(map[bool]string{false: "one holder", true: "next holder"}[changes], func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 2, 6)
			s.play(time.Second)
			for worker := range s.lives {
				s.occupy(worker, 1)
			}
			job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
			s.play(4 * time.Second)
			if changes {
				s.takeTerm()
			}
			for range isolateAfter {
				s.play(4 * time.Second)
				is.Equal(s.runs(job, 0), 1)
				s.rebear(s.find(s.engine.jobs[job].allTasks()[0].run.node.entry.ID))
			}
			s.play(isolationPatience / 2)
			is.Equal(s.runs(job, 0), 0)
		})
	}
}

// Its two siblings run for long on the other workers with the label.
func TestTaskKeptApartStartsAgainOnTheOnlyWorkerLeftForIt(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 4, 3)
	s.play(time.Second)
	step := testStep(3, 4)
	step.PerWorker, step.RequiredLabel, step.EstimateMS = 1, "r1-1", heldWork.Milliseconds()
	job := testJob(hexID(1), 1, step)
	job.Queue.MaxAttempts = 5
	s.submit(job)
	s.play(time.Second)
	is.Equal(s.runs(job.ID, 0), 3)
	key := s.engine.jobs[job.ID].allTasks()[2].key
	life := s.find(s.engine.jobs[job.ID].allTasks()[2].run.node.entry.ID)
	run := life.running[key]
	delete(life.running, key)
	life.number++
	life.ended = append(life.ended, EndedTask{Number: life.number, Task: key, Run: run.number, How: EndFailed})
	s.play(heldMost)
	is.Equal(s.runs(job.ID, 0), 3)
}

// The policy of the queue lets the task run on no other worker.
func TestAdvisedTaskStartsAgainOnTheOnlyWorkerThatItsPolicyAllows(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 2, 6)
	s.askTime = 500 * time.Millisecond
	s.play(time.Second)
	for worker := range 11 {
		s.occupy(worker, 8)
	}
	s.play(time.Second)
	only := s.lives[11].entry.ID
	s.allowed = func(_, worker string) bool { return worker == only }
	job := advisedJob(1, 1, testStep(1, 1))
	s.failOnce(job)
	s.play(heldMost)
	is.Equal(s.runs(job.ID, 0), 1)
}

// Runs at workers that are gone are no use of the pool that is left.
func TestRunsAtSilentWorkersDoNotMakeAnIdlePoolCountAsInUse(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 8, 6)
	s.play(time.Second)
	full := testStep(24, 8)
	full.PerWorker, full.Need.MilliCores = 1, 64000
	s.work[hexID(2)] = time.Hour
	s.submit(testJob(hexID(2), 1, full))
	s.play(time.Second)
	for _, life := range s.lives {
		if len(life.running) > 0 {
			life.up = false
			life.running = map[jobs.TaskKey]crashRun{}
			s.engine.Unreachable(life.entry.ID, time.Time{}, s.now)
		}
	}
	for _, known := range s.engine.nodeOrder {
		known.health.pause(s.now, restMost)
	}
	job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
	is.True(s.wait(job, 0) <= heldBound)
}

// Room that is set aside for a task whose run was found on another worker is of use to nobody.
func TestRoomIsNotSetAsideForATaskThatRunsElsewhere(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.submit(testJob(hexID(2), 2, testStep(4, 8)))
	c.step()
	urgent := testJob(hexID(1), 0, testStep(1, 8))
	c.submit(urgent)
	for range 10 {
		if c.step(); c.engine.jobs[urgent.ID].claim != nil {
			break
		}
	}
	is.True(c.engine.jobs[urgent.ID].claim != nil)
	c.engine.Complete()
	entries := []WorkerEntry{testWorker("late", "r1-0")}
	for _, known := range c.engine.nodeOrder {
		entries = append(entries, known.entry)
	}
	c.engine.List(entries, c.now)
	row := RunningTask{Task: jobs.TaskKey{Job: urgent.ID}, Run: 1, Percent: 1}
	c.engine.Report("late", c.now, []RunningTask{row}, nil, time.Time{}, c.now)
	c.steps(100)
	is.True(c.engine.jobs[urgent.ID].claim == nil)
}

// The lease of what ran at a worker that is gone lapses once, however often the term passes on.
func TestRunAtAWorkerThatIsGoneIsNotWaitedForAnewByEachHolder(t *testing.T) {
	for _, holds := range []time.Duration{0, 3 * time.Second, 9 * time.Second} {
		t.Run(holds.String(), func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 2, 6)
			s.play(time.Second)
			job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
			s.play(time.Second)
			lost := s.find(s.engine.jobs[job].allTasks()[0].run.node.entry.ID)
			lost.up = false
			lost.running = map[jobs.TaskKey]crashRun{}
			s.takeTerm()
			s.holds = holds
			is.True(s.wait(job, 0) <= LeaseLapse(testLimits.Lease)+testLimits.HandedOver+heldBound)
		})
	}
}
