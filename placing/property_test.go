package placing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/internal/prooftest"
	"github.com/teaselcleat/teaselcleat/jobs"
)

// rapidSteps is rapid's usual number of steps; these properties draw few values.
const rapidSteps = "30"

func TestMain(m *testing.M) { prooftest.Main(m, rapidSteps) }

// With lost, late and partitioned messages, worker restarts and leader changes: no task runs
// twice at a time or after its end was acknowledged, none starts before the steps it depends
// on or in a zone that the leader knows as evacuated, no job fails without as many failures as
// it is allowed, no task waits beside idle capacity, and once faults stop all jobs end.
func TestNothingRunsTwiceAndAllEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 7).Draw(t, "workers"))
		s.enableDelayCheck(false)
		playFaults(t, s, 12*time.Second)
	})
}

// playFaults submits jobs and injects faults for some time, and checks what has happened once all is calm.
func playFaults(t *rapid.T, s *simulation, length time.Duration) {
	s.changeLeader()
	s.run(length, func() {
		s.injectFault()
		if len(s.jobs) < 14 && s.rng.IntN(40) == 0 {
			s.submitRandomJob()
		}
	})
	s.faultsDisabled = true
	s.endEvacuations()
	s.run(60*time.Second, func() {})
	for _, violation := range s.violations {
		t.Error(violation)
	}
	checkEnds(t, s)
}

func checkEnds(t *rapid.T, s *simulation) {
	for _, job := range s.jobs {
		state := s.table.Job(job.ID).State()
		if !state.Final() {
			t.Errorf("job %s is still %s", job.ID, state)
		}
		if state == jobs.StateFailed && !failedTooOften(s, job) && !lostTooOften(s, job) {
			t.Errorf("job %s failed without %d failures of a task and without %d lost workers", job.ID, job.Queue.MaxAttempts, minLossesToGiveUp)
		}
	}
}

// minLossesToGiveUp is the number of workers that must be lost under a task before it may be
// given up.
const minLossesToGiveUp = 2

// lostTooOften reports whether a task or a gang lost enough workers for its job to be given
// up.
func lostTooOften(s *simulation, job *jobs.Submission) bool {
	for step := range job.Steps {
		for i := range job.Steps[step].Tasks {
			if s.workerLosses[jobs.TaskKey{Job: job.ID, Step: step, Index: i}] >= minLossesToGiveUp {
				return true
			}
		}
	}
	return false
}

// failedTooOften reports whether a task, or the members of a gang together, used up the
// allowed attempts.
func failedTooOften(s *simulation, job *jobs.Submission) bool {
	for step := range job.Steps {
		gangFailures := 0
		for i := range job.Steps[step].Tasks {
			count := s.failures[jobs.TaskKey{Job: job.ID, Step: step, Index: i}]
			gangFailures += count
			if count >= job.Queue.MaxAttempts {
				return true
			}
		}
		if job.Steps[step].Gang && gangFailures >= job.Queue.MaxAttempts {
			return true
		}
	}
	return false
}
