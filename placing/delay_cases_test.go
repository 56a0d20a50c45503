package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// backOffAll puts every worker in backoff for a minute.
func (c *cluster) backOffAll() {
	for _, node := range c.engine.nodeOrder {
		node.health.backOff(c.now, time.Minute)
	}
}

// The start delay is bounded if one task fits twice; the whole step doesn't have to.
func TestTasksStartWithoutCapacityForTheirWholeStepTwice(t *testing.T) {
	for name, longRunning := range map[string]bool{"finite tasks": false, "long-running tasks": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(3) // 12 workers
			c.backOffAll()
			step := testStep(7, 8)
			step.LongRunning = longRunning
			job := testJob(hexID(1), 1, step)
			c.submit(job)
			is.True(c.startsWithin(job.ID, overdueAfter))
		})
	}
}

// A worker in backoff often refuses a start. The refusal must not reset the start delay.
func TestRefusedStartDoesNotRestartIdleDelay(t *testing.T) {
	for name, result := range map[string]StartResult{"busy": StartBusy, "no capacity": StartNoCapacity} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(3)
			c.backOffAll()
			job := testJob(hexID(1), 1, testStep(1, 1))
			c.submit(job)
			starts := 0
			for end := c.now.Add(overdueAfter); c.now.Before(end); {
				c.now = c.now.Add(50 * time.Millisecond)
				c.engine.Decide(c.now)
				c.engine.MarkRecordsDurable(c.now)
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

// Every long-running task has to run: a suspect and a healthy task of one step share one start
// delay instead of waiting one after the other.
func TestLongRunningTasksOfOneStepDoNotDelayEachOther(t *testing.T) {
	for name, tasks := range map[string]int{"one healthy": 2, "eleven healthy": 12} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(3)
			step := longRunningStep(tasks)
			step.Need.Accelerators = 8
			job := testJob(hexID(1), 1, step)
			c.submit(job)
			stepTasks := c.engine.jobs[job.ID].allTasks()
			stepTasks[0].setLosses(losses{total: minLossesToIsolate, newestAt: c.now.Add(-time.Minute)})
			c.backOffAll()
			for end := c.now.Add(overdueAfter); c.now.Before(end); {
				c.step()
			}
			is.True(stepTasks[0].run != nil)
			is.True(stepTasks[1].run != nil)
		})
	}
}

// No advice is requested for workers in backoff, so there are never tickets for them.
func TestAdvisedWorkStartsOnIdleWorkersInBackoff(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 2, 6)
	s.adviceLatency = 500 * time.Millisecond
	s.run(time.Second)
	for _, node := range s.engine.nodeOrder {
		node.health.backOff(s.now, maxWorkerBackoff)
	}
	job := s.submit(advisedJob(1, 1, testStep(1, 1)))
	is.True(s.waitForStart(job, 0) <= maxIdleDelay)
}

// Tickets that expire before the delay bound is reached must not reset the delay.
func TestExpiringTicketsDoNotExtendRackDelayOfAdvisedGang(t *testing.T) {
	for name, ticketLifetime := range map[string]time.Duration{"valid for 2.5 s": 2500 * time.Millisecond, "valid for 3 s": 3 * time.Second, "valid for a minute": time.Minute} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 8, 6)
			s.adviceLatency, s.ticketLifetime = 500*time.Millisecond, ticketLifetime
			s.run(time.Second)
			for rack := range 8 {
				s.occupy(6*rack, 8)
			}
			s.run(time.Second)
			job := s.submit(advisedJob(1, 1, oneRackGang(12)))
			is.True(s.waitForStart(job, 0) <= maxIdleDelay)
		})
	}
}

func partlyUsedEngine(gangs int) (*Engine, time.Time) {
	e := testEngine(1)
	e.LoadJobs(nil, FormerLeaderReleased, testStart)
	var entries []WorkerEntry
	for i := range 6800 {
		entries = append(entries, testWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%03d", i/20)))
	}
	e.UpdateWorkers(entries, testStart)
	for i, entry := range entries {
		e.Report(entry.ID, testStart, nil, nil, time.Time{}, testStart)
		if i%20 < 9 {
			e.nodes[entry.ID].used = entry.Capacity
		}
	}
	for number := range gangs {
		gang := gangStep(14, 8) // each rack has eleven idle workers
		gang.EstimateMS = 1000 * int64(time.Hour/time.Second)
		e.ApplyJob(&jobs.Job{Submission: testJob(hexID(number), 1, gang)}, testStart)
	}
	return e, testStart
}

// The result for one gang is reused for similar gangs in the same pass. A search of this many
// workers allocates about twenty times.
func TestPassSearchesWorkersOnceForSimilarGangsWaitingForRack(t *testing.T) {
	allocations := func(gangs int) float64 {
		e, now := partlyUsedEngine(gangs)
		return testing.AllocsPerRun(3, func() {
			now = now.Add(time.Millisecond)
			e.runPass(now)
		})
	}
	forOne, forMany := allocations(1), allocations(300)
	if perGang := (forMany - forOne) / 299; perGang > 8 {
		t.Fatalf("each further gang takes %.1f allocations", perGang)
	}
}

// BenchmarkGangsThatWaitForARack measures a pass with 300 such gangs, including the scan for
// delayed steps.
func BenchmarkGangsThatWaitForARack(b *testing.B) {
	e, now := partlyUsedEngine(300)
	for b.Loop() {
		now = now.Add(delayCheckInterval / 100)
		e.runPass(now)
	}
}

// A suspect may crash its worker and everything that runs there, so it waits for an empty one.
// Time waited earlier, under another leader, doesn't count towards that delay after a loss.
func TestSuspectWaitsForEmptyWorkerAfterLeaderChange(t *testing.T) {
	for _, changeLeader := range []bool{false, true} {
		t.Run(map[bool]string{false: "same leader", true: "next leader"}[changeLeader], func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 2, 6)
			s.run(time.Second)
			for worker := range s.workers {
				s.occupy(worker, 1)
			}
			job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
			s.run(4 * time.Second)
			if changeLeader {
				s.changeLeader()
			}
			for range minLossesToIsolate {
				s.run(4 * time.Second)
				is.Equal(s.countRunning(job, 0), 1)
				s.restartWorker(s.findWorker(s.engine.jobs[job].allTasks()[0].run.node.entry.ID))
			}
			s.run(maxIsolationDelay / 2)
			is.Equal(s.countRunning(job, 0), 0)
		})
	}
}

// The other two tasks of the step run for long on the other workers with the label.
func TestPerWorkerTaskRestartsOnOnlyRemainingWorker(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 4, 3)
	s.run(time.Second)
	step := testStep(3, 4)
	step.MaxPerWorker, step.RequiredLabel, step.EstimateMS = 1, "r1-1", defaultRunTime.Milliseconds()
	job := testJob(hexID(1), 1, step)
	job.Queue.MaxAttempts = 5
	s.submit(job)
	s.run(time.Second)
	is.Equal(s.countRunning(job.ID, 0), 3)
	key := s.engine.jobs[job.ID].allTasks()[2].key
	w := s.findWorker(s.engine.jobs[job.ID].allTasks()[2].run.node.entry.ID)
	run := w.running[key]
	delete(w.running, key)
	w.lastEnd++
	w.unackedEnds = append(w.unackedEnds, EndedTask{Number: w.lastEnd, Task: key, Run: run.number, Kind: EndFailed})
	s.run(delaySimTimeout)
	is.Equal(s.countRunning(job.ID, 0), 3)
}

// The queue policy allows the task on no other worker.
func TestAdvisedTaskRestartsOnOnlyAllowedWorker(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 2, 6)
	s.adviceLatency = 500 * time.Millisecond
	s.run(time.Second)
	for worker := range 11 {
		s.occupy(worker, 8)
	}
	s.run(time.Second)
	only := s.workers[11].entry.ID
	s.allowed = func(_, worker string) bool { return worker == only }
	job := advisedJob(1, 1, testStep(1, 1))
	s.submitFailingOnce(job)
	s.run(delaySimTimeout)
	is.Equal(s.countRunning(job.ID, 0), 1)
}

// Runs on unreachable workers don't count as use of the remaining pool.
func TestRunsOnSilentWorkersDoNotCountAsPoolUse(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 8, 6)
	s.run(time.Second)
	full := testStep(24, 8)
	full.MaxPerWorker, full.Need.MilliCores = 1, 64000
	s.runTimes[hexID(2)] = time.Hour
	s.submit(testJob(hexID(2), 1, full))
	s.run(time.Second)
	for _, w := range s.workers {
		if len(w.running) > 0 {
			w.up = false
			w.running = map[jobs.TaskKey]simRun{}
			s.engine.WorkerUnreachable(w.entry.ID, time.Time{}, s.now)
		}
	}
	for _, node := range s.engine.nodeOrder {
		node.health.backOff(s.now, maxWorkerBackoff)
	}
	job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
	is.True(s.waitForStart(job, 0) <= maxIdleDelay)
}

// A reservation is useless once the task turns out to run on another worker.
func TestReservationIsReleasedForTaskRunningElsewhere(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.submit(testJob(hexID(2), 2, testStep(4, 8)))
	c.step()
	urgent := testJob(hexID(1), 0, testStep(1, 8))
	c.submit(urgent)
	for range 10 {
		if c.step(); c.engine.jobs[urgent.ID].reservation != nil {
			break
		}
	}
	is.True(c.engine.jobs[urgent.ID].reservation != nil)
	c.engine.MarkJobsComplete()
	entries := []WorkerEntry{testWorker("late", "r1-0")}
	for _, node := range c.engine.nodeOrder {
		entries = append(entries, node.entry)
	}
	c.engine.UpdateWorkers(entries, c.now)
	row := RunningTask{Task: jobs.TaskKey{Job: urgent.ID}, Run: 1, Percent: 1}
	c.engine.Report("late", c.now, []RunningTask{row}, nil, time.Time{}, c.now)
	c.steps(100)
	is.True(c.engine.jobs[urgent.ID].reservation == nil)
}

// The lease of a run on a lost worker expires once, however often the leader changes.
func TestRunAtAWorkerThatIsGoneIsNotWaitedForAnewByEachHolder(t *testing.T) {
	for _, termLength := range []time.Duration{0, 3 * time.Second, 9 * time.Second} {
		t.Run(termLength.String(), func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 2, 6)
			s.run(time.Second)
			job := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
			s.run(time.Second)
			lost := s.findWorker(s.engine.jobs[job].allTasks()[0].run.node.entry.ID)
			lost.up = false
			lost.running = map[jobs.TaskKey]simRun{}
			s.changeLeader()
			s.termLength = termLength
			is.True(s.waitForStart(job, 0) <= LeaseExpiry(testLimits.MaxLease)+testLimits.ReleasedTermTimeout+maxIdleDelay)
		})
	}
}
