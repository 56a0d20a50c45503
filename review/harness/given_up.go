package main

import (
	"strings"
	"time"
)

const (
	givenUpCrashes  = 5
	givenUpWorkTime = 3 * time.Second  // of the gang between two crashes
	givenUpDownTime = 3 * time.Second  // of a worker that has crashed
	givenUpTotal    = 24 * time.Second // work of the gang
	givenUpLimit    = 100 * time.Second
)

// playGivenUp plays a gang that saves its progress, on six of eight workers. With the
// disruption, one worker at a time crashes and is back after three seconds, five times in all.
// The job may be shown as failed only after max_attempts runs that ended as failed.
func playGivenUp(e *environment) int {
	j := &job{id: "00c0ffee00000001", spec: "a gang that saves its progress", steps: []*stepSpec{{
		Count: 6, CPU: 26000, MemMB: 110000, GPU: 8, EstMS: givenUpTotal.Milliseconds(), Gang: true, Checkpoints: true, WorkMS: givenUpTotal.Milliseconds()}}}
	e.fleet.addJob(j)
	if status := e.system.submit(e.follower(), j); status != 200 {
		return caseFailed
	}
	if e.trouble {
		go e.crashMembers(j)
	}
	last := ""
	for deadline := time.Now().Add(givenUpLimit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		state := e.system.state(e.follower(), j.id)
		if state != last && state != "" {
			e.record.add("client: GET %s: %s", j.id, state)
			last = state
		}
		switch state {
		case "done":
			return ruleHeld
		case "failed", "cancelled":
			failed := e.fleet.countEnds(j.id, "failed")
			e.record.add("shown as %s; no client cancelled it; runs that ended as failed: %d; max_attempts: 3", state, failed)
			e.printLeaderLog(j.id)
			return ruleBroken
		}
	}
	e.record.add("the job has no final state")
	return caseFailed
}

// crashMembers crashes one worker that runs a member of the gang once the gang has worked for
// some seconds, and starts it again.
func (e *environment) crashMembers(j *job) {
	for crashes := 0; crashes < givenUpCrashes; time.Sleep(50 * time.Millisecond) {
		runs := e.fleet.current(j.id)
		if len(runs) < j.steps[0].Count {
			continue
		}
		e.fleet.mu.Lock()
		from := runs[0].workFrom
		e.fleet.mu.Unlock()
		if from.IsZero() || time.Since(from) < givenUpWorkTime {
			continue
		}
		crashes++
		victim := runs[crashes%len(runs)].worker
		victim.crash(false)
		time.Sleep(givenUpDownTime)
		if _, err := e.fleet.startWorker(victim.machine, victim.address, crashes); err != nil {
			e.record.add("runner does not start again: %s", err)
		}
	}
}

// printLeaderLog records what the leader logged about the losses and the end of a job.
func (e *environment) printLeaderLog(id string) {
	for _, line := range e.system.logLines(id) {
		if strings.Contains(line, "msg=task_lost_worker") || strings.Contains(line, "msg=job_ended") {
			e.record.add("log: %s", line)
		}
	}
}
