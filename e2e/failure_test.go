package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/adapters/fronthttp"
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/structs"
)

// ask sends requests of one class until done is closed, each under its own key,
// and returns what their callers saw.
func (s *system) ask(class, prefix string, clients int, done <-chan struct{}) func() map[string]answer {
	var mu sync.Mutex
	answers := map[string]answer{}
	var group sync.WaitGroup
	for client := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				live := s.live()
				key := fmt.Sprintf("%s-%d-%d", prefix, client, n)
				got := s.request(live[(client+n)%len(live)], class, key, key)
				mu.Lock()
				answers[key] = got
				mu.Unlock()
			}
		}()
	}
	return func() map[string]answer {
		group.Wait()
		return answers
	}
}

// checkTruth compares what callers saw with what the runners executed.
func (s *system) checkTruth(answers map[string]answer) {
	s.t.Helper()
	executed := s.executions()
	for key, got := range answers {
		if executed[key] > 1 {
			s.t.Errorf("key %s ran %d times", key, executed[key])
		}
		if got.outcome == structs.OutcomeNotRun && executed[key] > 0 {
			s.t.Errorf("key %s was refused as not run (%s) and ran", key, got.reason)
		}
		if got.outcome == structs.OutcomeRan && (executed[key] != 1 || got.body != "done:"+key) {
			s.t.Errorf("key %s was answered %q and ran %d times", key, got.body, executed[key])
		}
	}
}

func TestKillAndRetryElsewhereNeverDoubles(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 3, 0)
	for _, runner := range s.runners {
		s.post(runner, "/control", standin.RunnerFaults{Work: 20 * time.Millisecond})
	}
	done := make(chan struct{})
	wait := s.ask("flow", "k", 6, done)
	time.Sleep(200 * time.Millisecond)
	s.instances[0].kill()
	time.Sleep(200 * time.Millisecond)
	s.instances[1].signal(syscall.SIGSTOP)
	time.Sleep(300 * time.Millisecond)
	s.instances[1].signal(syscall.SIGCONT)
	time.Sleep(200 * time.Millisecond)
	close(done)
	answers := wait()
	s.checkTruth(answers)
	ran := 0
	for key, got := range answers {
		if got.outcome == structs.OutcomeRan {
			ran++
			continue
		}
		again := s.request(s.instances[2], "flow", key, key) // the caller retries the same key elsewhere
		is.NoErr(again.err)
		if got.outcome == structs.OutcomeNotRun || got.err != nil {
			got = again
		}
		answers[key] = got
	}
	s.checkTruth(answers)
	is.True(ran > 0)
}

func TestLogOutageRefusesTruthfullyAndRecordsAfterwards(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 2, 1)
	s.platformFaults(standin.PlatformFaults{LogDown: true})
	var refused answer
	eventually(t, "non-idempotent requests are refused", func() bool {
		refused = s.request(s.instances[0], "flow", "out", "x")
		return refused.reason == structs.ReasonLogUnavailable
	})
	is.Equal(refused.outcome, structs.OutcomeNotRun)
	is.True(refused.retry != "")
	is.Equal(s.request(s.instances[1], "surge", "", "x").outcome, structs.OutcomeRan) // idempotent work goes on
	eventually(t, "new gangs are refused as not run", func() bool {
		reply, _ := s.submit(s.instances[2], service.JobRequest{Workspace: "b", Class: "wear", Key: "w", Shape: structs.Shape{Members: 1, Accelerators: 1}})
		return reply.Outcome == structs.OutcomeNotRun && reply.Reason == structs.ReasonLogUnavailable
	})
	s.platformFaults(standin.PlatformFaults{})
	eventually(t, "the refusal is on record", func() bool {
		list, err := get[[]structs.Refusal](t, s.instances[2], "/v1/refusals?workspace=a")
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

// A refusal in an outage survives the instance that gave it, as two others keep
// a copy.
func TestRefusalsOfAKilledInstanceAreWrittenByOthers(t *testing.T) {
	s := newSystem(t, 3, 1, 0)
	s.platformFaults(standin.PlatformFaults{LogDown: true})
	eventually(t, "a refusal for the outage", func() bool {
		return s.request(s.instances[0], "flow", "dying", "x").reason == structs.ReasonLogUnavailable
	})
	time.Sleep(1500 * time.Millisecond) // at least two beats of the bridge
	s.instances[0].kill()
	s.platformFaults(standin.PlatformFaults{})
	eventually(t, "another instance writes the refusal", func() bool {
		list, err := get[[]structs.Refusal](t, s.instances[1], "/v1/refusals?workspace=a")
		for _, refusal := range list {
			if refusal.Subject == "dying" {
				return err == nil
			}
		}
		return false
	})
}

func TestLostAppendAnswersChangeNothing(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 2, 4)
	s.platformFaults(standin.PlatformFaults{LoseAnswers: 5})
	reply, _ := s.submit(s.instances[0], service.JobRequest{Workspace: "a", Class: "survey", Key: "s", Shape: gang4x8, Payload: "run_ms=100"})
	for n := range 5 {
		key := fmt.Sprintf("lost-%d", n)
		eventually(t, key+" is answered", func() bool { return s.request(s.instances[0], "flow", key, "x").outcome == structs.OutcomeRan })
		is.Equal(s.executions()[key], 1)
	}
	eventually(t, "the job ends", func() bool { return s.job(s.instances[1], reply.ID).Phase == ledger.JobEnded })
	is.Equal(s.job(s.instances[1], reply.ID).Outcome, structs.OutcomeRan)
	is.Equal(len(s.history()), 1) // one run only
}

func TestReplacingAllInstancesLosesNothing(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 1, 8)
	s.platformFaults(standin.PlatformFaults{Retain: 60}) // snapshots must carry what retention takes
	var ids []string
	for n := range 6 {
		reply, status := s.submit(s.instances[n%3], service.JobRequest{Workspace: "b", Class: "wear", Key: fmt.Sprintf("w%d", n),
			Shape: structs.Shape{Members: 8, Accelerators: 8}, Payload: "run_ms=700"})
		is.Equal(status, http.StatusAccepted)
		ids = append(ids, reply.ID)
	}
	is.Equal(s.request(s.instances[0], "flow", "before", "x").outcome, structs.OutcomeRan)
	eventually(t, "the answer is on record", func() bool {
		state, err := get[fronthttp.KeyBody](t, s.instances[1], "/v1/keys/a/before")
		return err == nil && state.Phase == ledger.KeyRan
	})
	for n := range 3 { // one after another
		s.instances[n].kill()
		s.addInstance(fmt.Sprintf("next-%d", n))
		s.waitReady()
	}
	for _, p := range s.live() { // and all at once
		p.kill()
	}
	for n := range 3 {
		s.addInstance(fmt.Sprintf("last-%d", n))
	}
	s.waitReady()
	for _, id := range ids {
		eventually(t, "job "+id+" ends", func() bool { return s.job(s.live()[0], id).Phase == ledger.JobEnded })
		is.Equal(s.job(s.live()[1], id).Outcome, structs.OutcomeRan)
	}
	again := s.request(s.live()[2], "flow", "before", "x")
	is.Equal(again.outcome, structs.OutcomeRan)
	is.Equal(s.executions()["before"], 1)
}

func TestPlannedStopsUnderLoadCutNothing(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 4, 4)
	for _, runner := range s.runners {
		s.post(runner, "/control", standin.RunnerFaults{Work: 300 * time.Millisecond})
	}
	reply, _ := s.submit(s.instances[0], service.JobRequest{Workspace: "a", Class: "survey", Key: "long", Shape: gang4x8, Payload: "run_ms=4000"})
	eventually(t, "the gang runs", func() bool { return s.job(s.instances[0], reply.ID).Phase == ledger.JobRunning })
	done := make(chan struct{})
	wait := s.ask("flow", "k", 6, done)
	for n := range 2 {
		time.Sleep(400 * time.Millisecond)
		is.Equal(s.instances[n].terminate(), 0) // a clean drain
		s.addReadyInstance(fmt.Sprintf("next-%d", n))
		s.waitReady()
	}
	close(done)
	answers := wait()
	s.checkTruth(answers)
	for key, got := range answers {
		cut := got.err == nil && got.outcome == structs.OutcomeUnknown
		if cut {
			t.Errorf("key %s was cut: %s", key, got.reason)
		}
	}
	eventually(t, "the gang ends", func() bool { return s.job(s.live()[0], reply.ID).Phase == ledger.JobEnded })
	is.Equal(s.job(s.live()[0], reply.ID).Outcome, structs.OutcomeRan)
	is.Equal(len(s.history()), 1) // the run went on through both stops
}

func TestKillOfThePlacingInstanceKeepsTheGang(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 1, 8)
	survey, _ := s.submit(s.instances[2], service.JobRequest{Workspace: "a", Class: "survey", Key: "s", Shape: gang4x8, Payload: "run_ms=3500"})
	eventually(t, "the gang runs", func() bool { return s.job(s.instances[0], survey.ID).Phase == ledger.JobRunning })
	s.instances[0].kill() // the first by name places
	eventually(t, "the gang ends", func() bool { return s.job(s.instances[1], survey.ID).Phase == ledger.JobEnded })
	runs := s.history()
	is.Equal(len(runs), 1) // at most one run, whatever its end
	for _, intervals := range runs {
		is.Equal(len(intervals), 4) // on all four workers
	}
}

func TestADeadMemberStopsTheRestAndTheGangRunsAgain(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 1, 8)
	wear, _ := s.submit(s.instances[0], service.JobRequest{Workspace: "a", Class: "wear", Key: "w", Shape: gang4x8, Payload: "run_ms=3000"})
	survey, _ := s.submit(s.instances[0], service.JobRequest{Workspace: "b", Class: "survey", Key: "s", Shape: gang4x8, Payload: "forever"})
	var members []structs.Member
	eventually(t, "both gangs run", func() bool {
		members = s.job(s.instances[0], wear.ID).Members
		return len(members) == 4 && s.job(s.instances[0], survey.ID).Phase == ledger.JobRunning
	})
	lost := s.job(s.instances[0], survey.ID).Members[1].Worker
	for _, p := range s.workers {
		if p.name == lost || p.name == members[2].Worker {
			p.signal(syscall.SIGSTOP)
		}
	}
	eventually(t, "the one that may not be repeated ends as unknown", func() bool {
		return s.job(s.instances[1], survey.ID).Outcome == structs.OutcomeUnknown
	})
	for _, p := range s.workers {
		p.signal(syscall.SIGCONT)
	}
	eventually(t, "the other runs again", func() bool { return s.job(s.instances[1], wear.ID).Outcome == structs.OutcomeRan })
	is.Equal(len(s.history()), 3) // two runs of one, one of the other
}

func TestALeavingRunnerGetsNothingNewThoughTheListIsStale(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 2, 0)
	s.platformFaults(standin.PlatformFaults{ListFrozen: true})
	s.post(s.runners[0], "/control", standin.RunnerFaults{Leaving: true})
	for n := range 20 {
		is.Equal(s.request(s.instances[n%2], "flow", fmt.Sprintf("k%d", n), "x").outcome, structs.OutcomeRan)
	}
	s.post(s.runners[0], "/control", standin.RunnerFaults{}) // would take work again; the same boot must not get any
	for n := range 20 {
		is.Equal(s.request(s.instances[n%2], "flow", fmt.Sprintf("m%d", n), "x").outcome, structs.OutcomeRan)
	}
	left, err := get[map[string]int](t, s.runners[0], "/executions")
	is.NoErr(err)
	is.Equal(len(left), 0)
}

func TestRacingOperatorsAndOldInstancesNeverRevert(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 1, 4)
	results := make(chan int, 2)
	for n := range 2 {
		go func() {
			body := service.Document{Version: 1, Text: testTargets + fmt.Sprintf("[workspace \"racer-%d\"]\n", n)}
			results <- s.proposeStatus(s.instances[n], body)
		}()
	}
	first, second := <-results, <-results
	is.True((first == http.StatusOK) != (second == http.StatusOK)) // one wins, one is refused
	s.platformFaults(standin.PlatformFaults{Retain: 1})
	for version := int64(2); version < 6; version++ {
		is.Equal(s.proposeStatus(s.instances[0], service.Document{Version: version, Text: testTargets}), http.StatusOK)
	}
	eventually(t, "a snapshot covers the versions", func() bool {
		s.platformFaults(standin.PlatformFaults{Retain: 1})
		status, err := get[service.Status](t, s.instances[1], "/v1/status")
		return err == nil && status.TargetsVersion == 6
	})
	time.Sleep(600 * time.Millisecond) // two snapshot intervals
	late := s.addInstance("late")
	eventually(t, "a late instance has the newest version", func() bool {
		status, err := get[service.Status](t, late, "/v1/status")
		return err == nil && status.Ready && status.TargetsVersion == 6
	})
}

// An instance that starts while the log is out takes a peer's snapshot, says
// how old it is, and serves what needs no record.
func TestStartDuringALogOutage(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 1, 0)
	s.platformFaults(standin.PlatformFaults{LogDown: true})
	late := s.addInstance("late")
	eventually(t, "the late instance is ready", func() bool {
		status, err := get[service.Status](t, late, "/v1/status")
		return err == nil && status.Ready && status.SnapshotAgeMS > 0
	})
	is.Equal(s.request(late, "surge", "", "x").outcome, structs.OutcomeRan)
	is.Equal(s.request(late, "flow", "k", "x").reason, structs.ReasonLogUnavailable)
}

// A guarantee is taken back from borrowers that run for ever, also from one
// that does not checkpoint.
func TestAGuaranteeIsTakenBackFromBorrowers(t *testing.T) {
	is := is.New(t)
	s := newSystemWith(t, 2, 1, 4, strings.Replace(testTargets, "guarantee = 1x8", "guarantee = 4x8", 1))
	s.post(s.workers[1], "/control", standin.WorkerFaults{NoCheckpoint: true})
	_, status := s.submit(s.instances[0], service.JobRequest{Workspace: "b", Class: "wear", Key: "long", Shape: gang4x8, Payload: "forever"})
	is.Equal(status, http.StatusAccepted)
	eventually(t, "the borrower's tasks execute", func() bool {
		for _, intervals := range s.history() {
			return len(intervals) == 4
		}
		return false
	})
	owner, _ := s.submit(s.instances[1], service.JobRequest{Workspace: "a", Class: "wear", Key: "mine", Shape: gang4x8, Payload: "run_ms=300"})
	eventually(t, "the owner's gang ends", func() bool { return s.job(s.instances[0], owner.ID).Outcome == structs.OutcomeRan })
	eventually(t, "the borrower runs again", func() bool { return len(s.history()) == 3 }) // the borrower twice, the owner once
}

// A key that ran is not refused as not run because the log is out, or the
// caller would file the work again under another key.
func TestAKeyThatRanIsNeverRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 1, 1)
	job := service.JobRequest{Workspace: "a", Class: "survey", Key: "filed", Shape: structs.Shape{Members: 1, Accelerators: 1}}
	filed, _ := s.submit(s.instances[0], job)
	is.Equal(filed.Outcome, structs.OutcomeAccepted)
	eventually(t, "the other instance knows the job", func() bool { return s.job(s.instances[1], filed.ID).ID != "" })
	is.Equal(s.request(s.instances[0], "flow", "ran", "x").outcome, structs.OutcomeRan)
	eventually(t, "the answer is on record", func() bool {
		state, err := get[fronthttp.KeyBody](t, s.instances[1], "/v1/keys/a/ran")
		return err == nil && state.Phase == ledger.KeyRan
	})
	s.platformFaults(standin.PlatformFaults{LogDown: true})
	eventually(t, "new keys are refused", func() bool {
		return s.request(s.instances[1], "flow", "new", "x").reason == structs.ReasonLogUnavailable
	})
	again := s.request(s.instances[1], "flow", "ran", "x")
	is.Equal(again.outcome, structs.OutcomeRan)
	is.Equal(again.body, "done:x")
	is.Equal(s.executions()["ran"], 1)
	refiled, _ := s.submit(s.instances[1], job)
	is.Equal(refiled.Outcome, structs.OutcomeAccepted)
	is.Equal(refiled.ID, filed.ID)
}
