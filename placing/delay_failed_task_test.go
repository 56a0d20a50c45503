package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// submitFailingOnce submits a job and lets the first run of each task fail, with attempts
// left.
func (s *delaySim) submitFailingOnce(job *jobs.Submission) {
	job.Queue.MaxAttempts = 5
	s.runTimes[job.ID], s.failures[job.ID] = 200*time.Millisecond, job.Steps[0].Tasks
	s.submit(job)
	for s.failures[job.ID] > 0 {
		s.tick()
	}
	s.runTimes[job.ID] = defaultRunTime
}

// A failed task must not avoid its last worker if no other has the required label.
func TestFailedTaskRestartsOnOnlyLabeledWorker(t *testing.T) {
	for _, termLength := range leaderTerms {
		t.Run(termLength.String(), func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 2, 6)
			s.run(time.Second)
			step := testStep(1, 1)
			step.RequiredLabel = s.workers[5].entry.ID
			job := testJob(hexID(1), 1, step)
			s.submitFailingOnce(job)
			s.termLength, s.termStart = termLength, s.now
			is.True(s.waitForStart(job.ID, 0) <= maxIdleDelay)
		})
	}
}

// A failed gang needs every worker with its label again, including the one where it failed.
func TestFailedGangRestartsOnAllLabeledWorkers(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 2, 6)
	s.run(time.Second)
	step := wideGang(6, 4)
	step.MaxPerWorker, step.RequiredLabel = 1, "r1-1"
	job := testJob(hexID(1), 1, step)
	s.submitFailingOnce(job)
	is.True(s.waitForStart(job.ID, 0) <= maxIdleDelay)
}

// A failed task avoids its last worker while another one can run it.
func TestFailedTaskRestartsOnAnotherWorker(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 1, 6)
	s.run(time.Second)
	job := testJob(hexID(1), 1, testStep(1, 1))
	s.submitFailingOnce(job)
	failedOn := s.engine.jobs[job.ID].allTasks()[0].avoidWorker
	is.True(failedOn != "")
	is.True(s.waitForStart(job.ID, 0) <= maxIdleDelay)
	is.Equal(len(s.findWorker(failedOn).running), 0)
}
