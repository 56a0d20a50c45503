package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// failOnce has the first run of each task of a job fail, with more attempts left.
func (s *heldSite) failOnce(job *jobs.Submission) {
	job.Queue.MaxAttempts = 5
	s.work[job.ID], s.fails[job.ID] = 200*time.Millisecond, job.Steps[0].Tasks
	s.submit(job)
	for s.fails[job.ID] > 0 {
		s.tick()
	}
	s.work[job.ID] = heldWork
}

// A task that failed on the only worker with its label has no other to go to.
func TestTaskStartsAgainOnTheOnlyWorkerWithItsLabel(t *testing.T) {
	for _, holds := range holderTimes {
		t.Run(holds.String(), func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 2, 6)
			s.play(time.Second)
			step := testStep(1, 1)
			step.RequiredLabel = s.lives[5].entry.ID
			job := testJob(hexID(1), 1, step)
			s.failOnce(job)
			s.holds, s.tookAt = holds, s.now
			is.True(s.wait(job.ID, 0) <= heldBound)
		})
	}
}

// A gang that failed needs every worker that carries its label once more.
func TestGangStartsAgainOnAllWorkersWithItsLabel(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 2, 6)
	s.play(time.Second)
	step := wideGang(6, 4)
	step.PerWorker, step.RequiredLabel = 1, "r1-1"
	job := testJob(hexID(1), 1, step)
	s.failOnce(job)
	is.True(s.wait(job.ID, 0) <= heldBound)
}

// Where there are others, a task that failed does not go back to its worker.
func TestTaskThatFailedStartsOnAnotherWorkerIfThereIsOne(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 1, 6)
	s.play(time.Second)
	job := testJob(hexID(1), 1, testStep(1, 1))
	s.failOnce(job)
	failedOn := s.engine.jobs[job.ID].allTasks()[0].avoid
	is.True(failedOn != "")
	is.True(s.wait(job.ID, 0) <= heldBound)
	is.Equal(len(s.find(failedOn).running), 0)
}
