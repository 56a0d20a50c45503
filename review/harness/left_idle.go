package main

import (
	"strings"
	"time"
)

const (
	leftIdleLeaderDelay  = time.Second     // from the loss of the worker to that of the leader
	leftIdleReplacement  = 4 * time.Second // until the new machine comes
	leftIdleAfterRun     = 6 * time.Second // from which a task that lasts has to run again
	leftIdleCalm         = 4 * time.Second // without disruption before the span
	leftIdleSpan         = 3 * time.Second // for which nothing may be running
	leftIdleObservation  = 30 * time.Second
	leftIdleStartTimeout = 10 * time.Second
	leftIdleRoom         = 2 // workers with room for the task
)

// playLeftIdle plays a job with two tasks that last. With the disruption, the machine of a
// worker that runs one of them is lost for good and then, a second later, that of the leader,
// which is replaced. The task has to run again: for a span of three seconds, from six seconds
// after its last run on and four seconds after the last disruption, it may not be without a
// run while there is capacity for it twice over.
func playLeftIdle(e *environment) int {
	j := &job{id: "00c0ffee00000002", spec: "two tasks that last", steps: []*stepSpec{{
		Count: 2, CPU: 8000, MemMB: 16000, GPU: 8, EstMS: 5000, LongRunning: true}}}
	e.fleet.addJob(j)
	if status := e.system.submit(e.follower(), j); status != 200 {
		return caseFailed
	}
	for deadline := time.Now().Add(leftIdleStartTimeout); len(e.fleet.current(j.id)) < j.steps[0].Count; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			e.record.add("the tasks do not start")
			return caseFailed
		}
	}
	time.Sleep(3 * time.Second)
	lost := e.fleet.current(j.id)[0]
	lastDisruption := time.Now()
	if e.trouble {
		lost.worker.crash(true)
		time.Sleep(leftIdleLeaderDelay)
		e.system.kill(e.system.leader())
		time.Sleep(leftIdleReplacement)
		if _, err := e.system.addMachine(); err != nil {
			e.record.add("the new machine does not start: %s", err)
			return caseFailed
		}
		lastDisruption = time.Now()
	}
	return e.checkRunsAgain(lost, lastDisruption)
}

// checkRunsAgain watches the task of a run and returns whether the rule held.
func (e *environment) checkRunsAgain(lost *run, lastDisruption time.Time) int {
	e.fleet.mu.Lock()
	endedAt := lost.endedAt
	e.fleet.mu.Unlock()
	spanFrom := lastDisruption.Add(leftIdleCalm)
	if afterRun := endedAt.Add(leftIdleAfterRun); !endedAt.IsZero() && afterRun.After(spanFrom) {
		spanFrom = afterRun
	}
	spanTo := spanFrom.Add(leftIdleSpan)
	e.record.add("task %s has to run at some time from %.3f to %.3f", lost.task, e.record.seconds(spanFrom), e.record.seconds(spanTo))
	time.Sleep(time.Until(spanFrom))
	ran, idle := false, len(e.fleet.workers)
	for ; !ran && time.Now().Before(spanTo); time.Sleep(20 * time.Millisecond) {
		ran = e.runs(lost.task)
		idle = min(idle, e.idleWorkers())
	}
	if ran {
		e.record.add("task %s runs", lost.task)
		return ruleHeld
	}
	e.record.add("it has not run for the whole span; workers that ran nothing all the while, each with room for it: %d", idle)
	for deadline := time.Now().Add(leftIdleObservation); !e.runs(lost.task) && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	e.record.add("task %s runs: %t", lost.task, e.runs(lost.task))
	for _, line := range e.system.logLines("") {
		if strings.Contains(line, "msg=term_won") || strings.Contains(line, "msg=worker_lost") {
			e.record.add("log: %s", line)
		}
	}
	if idle < leftIdleRoom {
		e.record.add("too little room to judge")
		return caseFailed
	}
	return ruleBroken
}

// runs reports whether a run of a task goes on.
func (e *environment) runs(task string) bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for _, r := range e.fleet.history {
		if r.task == task && r.how == "" {
			return true
		}
	}
	return false
}

// idleWorkers returns how many workers that are up run nothing.
func (e *environment) idleWorkers() int {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	count := 0
	for _, w := range e.fleet.workers {
		if !w.dark && !w.down && len(w.running) == 0 {
			count++
		}
	}
	return count
}
