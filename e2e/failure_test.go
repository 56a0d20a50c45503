package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/adapters/fronthttp"
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/structs"
)

// Requests that are not idempotent must run at most once, and be reported truthfully, although one
// instance is killed, one is frozen, and callers retry the same keys at another instance.
func TestKillAndRetryElsewhereNeverDoubles(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 3, 0)
	for _, runner := range s.runners {
		s.postJSON(runner, "/control", standin.RunnerFaults{Work: 20 * time.Millisecond})
	}
	done := make(chan struct{})
	load := s.sendRequests("flow", "k", 6, done)
	load.waitMoreRan()
	s.instances[0].kill()
	load.waitMoreRan()
	s.instances[1].signal(syscall.SIGSTOP)
	time.Sleep(300 * time.Millisecond)
	s.instances[1].signal(syscall.SIGCONT)
	load.waitMoreRan()
	close(done)
	results := load.wait()
	s.checkOutcomes(results)
	for key, result := range results {
		if result.outcome == structs.OutcomeRan {
			continue
		}
		retried := s.request(s.instances[2], "flow", key, key) // the caller retries the same key elsewhere
		is.NoErr(retried.err)
		if result.outcome == structs.OutcomeNotRun || result.err != nil {
			result = retried
		}
		results[key] = result
	}
	s.checkOutcomes(results)
}

// While the log is down, requests that are not idempotent and new gangs must be refused as not run,
// idempotent requests must be served, and refusals must be recorded after the outage.
func TestLogOutageRefusesTruthfullyAndRecordsAfterwards(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 2, 1)
	s.setPlatformFaults(standin.PlatformFaults{LogDown: true})
	var refused callResult
	eventually(t, "non-idempotent requests are refused", func() bool {
		refused = s.request(s.instances[0], "flow", "out", "x")
		return refused.reason == structs.ReasonLogUnavailable
	})
	is.Equal(refused.outcome, structs.OutcomeNotRun)
	is.True(refused.retryAfter != "")
	is.Equal(s.request(s.instances[1], "surge", "", "x").outcome, structs.OutcomeRan) // idempotent work is still served
	eventually(t, "new gangs are refused as not run", func() bool {
		reply, _ := s.submit(s.instances[2], service.JobRequest{Workspace: "b", Class: "wear", Key: "w", Shape: structs.Shape{Members: 1, Accelerators: 1}})
		return reply.Outcome == structs.OutcomeNotRun && reply.Reason == structs.ReasonLogUnavailable
	})
	s.setPlatformFaults(standin.PlatformFaults{})
	eventually(t, "the refusal is recorded", func() bool {
		list, err := getJSON[[]structs.Refusal](t, s.instances[2], "/v1/refusals?workspace=a")
		for _, refusal := range list {
			if refusal.Subject == "out" && refusal.Reason == structs.ReasonLogUnavailable {
				return err == nil
			}
		}
		return false
	})
	is.Equal(s.executions()["out"], 0)
	eventually(t, "the refused key runs later", func() bool {
		return s.request(s.instances[0], "flow", "out", "x").outcome == structs.OutcomeRan
	})
	is.Equal(s.executions()["out"], 1)
}

// A refusal during an outage survives the instance that gave it, because two other instances
// keep a copy.
func TestRefusalsOfAKilledInstanceAreWrittenByOthers(t *testing.T) {
	s := newSystem(t, 3, 1, 0)
	s.setPlatformFaults(standin.PlatformFaults{LogDown: true})
	eventually(t, "a refusal for the outage", func() bool {
		return s.request(s.instances[0], "flow", "dying", "x").reason == structs.ReasonLogUnavailable
	})
	for _, p := range s.instances[1:] {
		eventually(t, p.name+" has a copy of the refusal", func() bool {
			return p.hasEvent("copies_stored", s.instances[0].name, logstream.StreamRefusals)
		})
	}
	s.instances[0].kill()
	s.setPlatformFaults(standin.PlatformFaults{})
	eventually(t, "another instance writes the refusal", func() bool {
		list, err := getJSON[[]structs.Refusal](t, s.instances[1], "/v1/refusals?workspace=a")
		for _, refusal := range list {
			if refusal.Subject == "dying" {
				return err == nil
			}
		}
		return false
	})
}

// Appends whose answers are lost must neither repeat an execution nor fail a request or a gang.
func TestLostAppendAnswersChangeNothing(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 2, 4)
	s.setPlatformFaults(standin.PlatformFaults{LoseAnswers: 5})
	reply, _ := s.submit(s.instances[0], service.JobRequest{Workspace: "a", Class: "survey", Key: "s", Shape: gang4x8, Payload: "run_ms=100"})
	for n := range 5 {
		key := fmt.Sprintf("lost-%d", n)
		eventually(t, key+" is answered", func() bool { return s.request(s.instances[0], "flow", key, "x").outcome == structs.OutcomeRan })
		is.Equal(s.executions()[key], 1)
	}
	eventually(t, "the job ends", func() bool { return s.jobState(s.instances[1], reply.ID).Phase == ledger.JobEnded })
	is.Equal(s.jobState(s.instances[1], reply.ID).Outcome, structs.OutcomeRan)
	is.Equal(len(s.intervalsByRun()), 1) // one run only
}

// Instances keep no state on disk: replacing them one by one and then all at once must lose no job
// and no stored answer, although the log retains few records.
func TestReplacingAllInstancesLosesNothing(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 1, 8)
	s.setPlatformFaults(standin.PlatformFaults{Retain: 60}) // snapshots must carry the records that retention deletes
	var ids []string
	for n := range 6 {
		reply, status := s.submit(s.instances[n%3], service.JobRequest{Workspace: "b", Class: "wear", Key: fmt.Sprintf("w%d", n),
			Shape: structs.Shape{Members: 8, Accelerators: 8}, Payload: "run_ms=700"})
		is.Equal(status, http.StatusAccepted)
		ids = append(ids, reply.ID)
	}
	is.Equal(s.request(s.instances[0], "flow", "before", "x").outcome, structs.OutcomeRan)
	eventually(t, "the answer is recorded", func() bool {
		state, err := getJSON[fronthttp.KeyBody](t, s.instances[1], "/v1/keys/a/before")
		return err == nil && state.Phase == ledger.KeyRan
	})
	for n := range 3 { // replace one instance after the other
		s.instances[n].kill()
		s.addInstance(fmt.Sprintf("next-%d", n))
		s.waitReady()
	}
	for _, p := range s.liveInstances() { // replace all at once
		p.kill()
	}
	for n := range 3 {
		s.addInstance(fmt.Sprintf("last-%d", n))
	}
	s.waitReady()
	for _, id := range ids {
		eventually(t, "job "+id+" ends", func() bool { return s.jobState(s.liveInstances()[0], id).Phase == ledger.JobEnded })
		is.Equal(s.jobState(s.liveInstances()[1], id).Outcome, structs.OutcomeRan)
	}
	replayed := s.request(s.liveInstances()[2], "flow", "before", "x")
	is.Equal(replayed.outcome, structs.OutcomeRan)
	is.Equal(s.executions()["before"], 1)
}

// A graceful stop of an instance under load must interrupt no request and no running gang.
func TestPlannedStopsUnderLoadCutNothing(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 4, 4)
	for _, runner := range s.runners {
		s.postJSON(runner, "/control", standin.RunnerFaults{Work: 300 * time.Millisecond})
	}
	s.setWorkerFaults(standin.WorkerFaults{NeverEnd: true}) // the run must last through both stops
	reply, _ := s.submit(s.instances[0], service.JobRequest{Workspace: "a", Class: "survey", Key: "long", Shape: gang4x8, Payload: "run_ms=300"})
	s.waitTasksExecute(reply.ID, 4)
	done := make(chan struct{})
	load := s.sendRequests("flow", "k", 6, done)
	for n := range 2 {
		load.waitMoreRan()
		is.Equal(s.instances[n].terminate(), 0) // a clean drain
		s.addReadyInstance(fmt.Sprintf("next-%d", n))
		s.waitReady()
	}
	s.setWorkerFaults(standin.WorkerFaults{})
	close(done)
	results := load.wait()
	s.checkOutcomes(results)
	for key, result := range results {
		interrupted := result.err == nil && result.outcome == structs.OutcomeUnknown
		if interrupted {
			t.Errorf("key %s ended with an unknown outcome: %s", key, result.reason)
		}
	}
	eventually(t, "the gang ends", func() bool { return s.jobState(s.liveInstances()[0], reply.ID).Phase == ledger.JobEnded })
	is.Equal(s.jobState(s.liveInstances()[0], reply.ID).Outcome, structs.OutcomeRan)
	is.Equal(len(s.intervalsByRun()), 1) // the run continued through both stops
}

// A kill of the leader must neither stop a running gang nor start it again.
func TestKillOfThePlacingInstanceKeepsTheGang(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 1, 8)
	survey, _ := s.submit(s.instances[2], service.JobRequest{Workspace: "a", Class: "survey", Key: "s", Shape: gang4x8, Payload: "run_ms=3500"})
	s.waitTasksExecute(survey.ID, 4)
	s.leader().kill()
	remaining := s.liveInstances()[0]
	eventually(t, "the gang ends", func() bool { return s.jobState(remaining, survey.ID).Phase == ledger.JobEnded })
	runs := s.intervalsByRun()
	is.Equal(len(runs), 1) // at most one run, however it ended
	for _, intervals := range runs {
		is.Equal(len(intervals), 4) // on all four workers
	}
}

// When a worker of a gang is lost, the gang must run again as a whole if its class may be repeated,
// and end with an unknown outcome otherwise.
func TestADeadMemberStopsTheRestAndTheGangRunsAgain(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 1, 8)
	s.setWorkerFaults(standin.WorkerFaults{NeverEnd: true}) // the first run must not end before its member is lost
	wear, _ := s.submit(s.instances[0], service.JobRequest{Workspace: "a", Class: "wear", Key: "w", Shape: gang4x8, Payload: "run_ms=300"})
	survey, _ := s.submit(s.instances[0], service.JobRequest{Workspace: "b", Class: "survey", Key: "s", Shape: gang4x8, Payload: "forever"})
	s.waitTasksExecute(wear.ID, 4)
	s.waitTasksExecute(survey.ID, 4)
	leader := s.leader() // reads the members of a run before it starts any task
	lostOfSurvey := s.jobState(leader, survey.ID).Members[1].Worker
	lostOfWear := s.jobState(leader, wear.ID).Members[2].Worker
	for _, p := range s.workers {
		if p.name == lostOfSurvey || p.name == lostOfWear {
			p.signal(syscall.SIGSTOP)
		}
	}
	for _, id := range []string{wear.ID, survey.ID} {
		eventually(t, "the loss stops the run of "+id, func() bool { return s.anyEvent("run_stopped", id, string(structs.ReasonMemberLost)) })
	}
	eventually(t, "the gang that must not be repeated ends as unknown", func() bool {
		return s.jobState(s.instances[1], survey.ID).Outcome == structs.OutcomeUnknown
	})
	for _, p := range s.workers {
		p.signal(syscall.SIGCONT)
	}
	s.setWorkerFaults(standin.WorkerFaults{})
	eventually(t, "the other gang runs again", func() bool { return s.jobState(s.instances[1], wear.ID).Outcome == structs.OutcomeRan })
	is.Equal(len(s.intervalsByRun()), 3) // two runs of the first gang, one of the second
}

// A runner that answers that it is leaving must get no more requests, even if the platform's member
// list does not show it yet.
func TestALeavingRunnerGetsNothingNewThoughTheListIsStale(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 2, 0)
	s.setPlatformFaults(standin.PlatformFaults{ListFrozen: true})
	s.postJSON(s.runners[0], "/control", standin.RunnerFaults{Leaving: true})
	for n := range 20 {
		is.Equal(s.request(s.instances[n%2], "flow", fmt.Sprintf("k%d", n), "x").outcome, structs.OutcomeRan)
	}
	s.postJSON(s.runners[0], "/control", standin.RunnerFaults{}) // the runner would accept work again, but must not get any in the same boot
	for n := range 20 {
		is.Equal(s.request(s.instances[n%2], "flow", fmt.Sprintf("m%d", n), "x").outcome, structs.OutcomeRan)
	}
	executions, err := getJSON[map[string]int](t, s.runners[0], "/executions")
	is.NoErr(err)
	is.Equal(len(executions), 0)
}

// Of two concurrent proposals of targets exactly one must be accepted, and an instance that starts
// later must have the newest version although the log no longer holds all records.
func TestRacingOperatorsAndOldInstancesNeverRevert(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 1, 4)
	results := make(chan int, 2)
	for n := range 2 {
		go func() {
			body := service.TargetsDocument{Version: 1, Text: testTargets + fmt.Sprintf("[workspace \"racer-%d\"]\n", n)}
			results <- s.tryProposeTargets(s.instances[n], body)
		}()
	}
	first, second := <-results, <-results
	is.True((first == http.StatusOK) != (second == http.StatusOK)) // exactly one proposal is accepted
	s.setPlatformFaults(standin.PlatformFaults{Retain: 1})
	for version := int64(2); version < 6; version++ {
		is.Equal(s.tryProposeTargets(s.instances[0], service.TargetsDocument{Version: version, Text: testTargets}), http.StatusOK)
	}
	eventually(t, "a snapshot covers the versions", func() bool {
		s.setPlatformFaults(standin.PlatformFaults{Retain: 1})
		status, err := getJSON[service.Status](t, s.instances[1], "/v1/status")
		return err == nil && status.TargetsVersion == 6
	})
	time.Sleep(600 * time.Millisecond) // two snapshot intervals
	late := s.addInstance("late")
	eventually(t, "a late instance has the newest version", func() bool {
		status, err := getJSON[service.Status](t, late, "/v1/status")
		return err == nil && status.Ready && status.TargetsVersion == 6
	})
}

// An instance that starts during a log outage takes the snapshot of a peer, reports its age, and
// serves requests that need no record.
func TestStartDuringALogOutage(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 1, 0)
	s.setPlatformFaults(standin.PlatformFaults{LogDown: true})
	late := s.addInstance("late")
	eventually(t, "the late instance is ready", func() bool {
		status, err := getJSON[service.Status](t, late, "/v1/status")
		return err == nil && status.Ready && status.SnapshotAgeMS > 0
	})
	is.Equal(s.request(late, "surge", "", "x").outcome, structs.OutcomeRan)
	is.Equal(s.request(late, "flow", "k", "x").reason, structs.ReasonLogUnavailable)
}

// Guaranteed capacity is reclaimed from borrowers that never end, even if one does not checkpoint.
func TestAGuaranteeIsTakenBackFromBorrowers(t *testing.T) {
	is := is.New(t)
	s := newSystemWithTargets(t, 2, 1, 4, strings.Replace(testTargets, "guarantee = 1x8", "guarantee = 4x8", 1))
	s.postJSON(s.workers[1], "/control", standin.WorkerFaults{NoCheckpoint: true})
	_, status := s.submit(s.instances[0], service.JobRequest{Workspace: "b", Class: "wear", Key: "long", Shape: gang4x8, Payload: "forever"})
	is.Equal(status, http.StatusAccepted)
	eventually(t, "the borrower's tasks execute", func() bool {
		for _, intervals := range s.intervalsByRun() {
			return len(intervals) == 4
		}
		return false
	})
	owner, _ := s.submit(s.instances[1], service.JobRequest{Workspace: "a", Class: "wear", Key: "mine", Shape: gang4x8, Payload: "run_ms=300"})
	eventually(t, "the owner's gang ends", func() bool { return s.jobState(s.instances[0], owner.ID).Outcome == structs.OutcomeRan })
	eventually(t, "the borrower runs again", func() bool { return len(s.intervalsByRun()) == 3 }) // the borrower twice, the owner once
}

// A key that ran must not be refused as not run during a log outage, or the caller would submit
// the work again under another key.
func TestAKeyThatRanIsNeverRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 1, 1)
	job := service.JobRequest{Workspace: "a", Class: "survey", Key: "filed", Shape: structs.Shape{Members: 1, Accelerators: 1}}
	submitted, _ := s.submit(s.instances[0], job)
	is.Equal(submitted.Outcome, structs.OutcomeAccepted)
	eventually(t, "the other instance has the job", func() bool { return s.jobState(s.instances[1], submitted.ID).ID != "" })
	is.Equal(s.request(s.instances[0], "flow", "ran", "x").outcome, structs.OutcomeRan)
	eventually(t, "the answer is recorded", func() bool {
		state, err := getJSON[fronthttp.KeyBody](t, s.instances[1], "/v1/keys/a/ran")
		return err == nil && state.Phase == ledger.KeyRan
	})
	s.setPlatformFaults(standin.PlatformFaults{LogDown: true})
	eventually(t, "new keys are refused", func() bool {
		return s.request(s.instances[1], "flow", "new", "x").reason == structs.ReasonLogUnavailable
	})
	replayed := s.request(s.instances[1], "flow", "ran", "x")
	is.Equal(replayed.outcome, structs.OutcomeRan)
	is.Equal(replayed.body, "done:x")
	is.Equal(s.executions()["ran"], 1)
	resubmitted, _ := s.submit(s.instances[1], job)
	is.Equal(resubmitted.Outcome, structs.OutcomeAccepted)
	is.Equal(resubmitted.ID, submitted.ID)
}
