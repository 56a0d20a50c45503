package main

import (
	"strings"
	"time"
)

const (
	givenUpTasks    = 8 // one on each worker
	givenUpCrashes  = 5
	givenUpWorkTime = 3 * time.Second  // of the task between two crashes
	givenUpDownTime = 3 * time.Second  // of the worker that has crashed
	givenUpLimit    = 90 * time.Second // for all crashes
	givenUpAfter    = 12 * time.Second // observed after the last crash
)

// playGivenUp plays a job with eight tasks that last, one on each of eight workers. With the
// disruption one worker crashes and is back after three seconds, five times in all. The tasks
// have to be started again however they end, until the job is cancelled, and no client
// cancels it: it may not be shown as failed.
func playGivenUp(e *environment) int {
	j := &job{id: "00c0ffee00000001", spec: "tasks that last", steps: []*stepSpec{{
		Count: givenUpTasks, CPU: 26000, MemMB: 110000, GPU: 8, EstMS: 5000, LongRunning: true}}}
	e.fleet.addJob(j)
	if status := e.system.submit(e.follower(), j); status != 200 {
		return caseFailed
	}
	crashed := make(chan bool, 1)
	if e.trouble {
		go func() { crashed <- e.crashOneWorker(j) }()
	} else {
		crashed <- true
	}
	state, end := "", time.Now().Add(givenUpLimit)
	for time.Now().Before(end) {
		select {
		case <-crashed:
			end = time.Now().Add(givenUpAfter)
		default:
		}
		if told := e.system.state(e.follower(), j); told != "" && told != state {
			e.record.add("client: GET %s: %s", j.id, told)
			state = told
		}
		if state == "failed" || state == "cancelled" || state == "done" {
			return e.judgeGivenUp(j, state)
		}
		time.Sleep(200 * time.Millisecond)
	}
	e.record.add("the job is %s, runs that go on: %d", state, len(e.fleet.current(j.id)))
	if state != "running" {
		return caseFailed
	}
	return ruleHeld
}

// judgeGivenUp records why a job has ended that lasts until it is cancelled.
func (e *environment) judgeGivenUp(j *job, state string) int {
	time.Sleep(time.Second)
	e.record.add("shown as %s; no client cancelled it; runs that ended as failed: %d; runs that were stopped: %d; runs that go on: %d",
		state, e.fleet.countEnds(j.id, "failed"), e.fleet.countEnds(j.id, "stopped"), len(e.fleet.current(j.id)))
	for _, line := range e.system.logLines(j.id) {
		if strings.Contains(line, "msg=task_lost_worker") || strings.Contains(line, "msg=job_ended") {
			e.record.add("log: %s", line)
		}
	}
	return ruleBroken
}

// crashOneWorker crashes the worker of one machine each time its task has been at work for
// some seconds, and starts it again.
func (e *environment) crashOneWorker(j *job) bool {
	machine := "m-3"
	for crashes := 0; crashes < givenUpCrashes; time.Sleep(50 * time.Millisecond) {
		var victim *worker
		for _, r := range e.fleet.current(j.id) {
			if r.worker.machine == machine && time.Since(r.startedAt) >= givenUpWorkTime {
				victim = r.worker
			}
		}
		if victim == nil {
			continue
		}
		crashes++
		victim.crash(false)
		time.Sleep(givenUpDownTime)
		if _, err := e.fleet.startWorker(victim.machine, victim.address, 2); err != nil {
			e.record.add("the runner does not start again: %s", err)
			return false
		}
	}
	return true
}
