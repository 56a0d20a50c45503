package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// rebear loses a worker and brings another life of it.
func (s *heldSite) rebear(life *crashLife) {
	next := life.entry
	next.ID = life.entry.Address + s.now.String()
	s.engine.Reborn(life.entry.ID, 0, s.now)
	*life = crashLife{entry: next, up: true, running: map[jobs.TaskKey]crashRun{}}
}

// Tasks that lost their workers twice have a worker each to themselves.
func TestWorkStartsBesideTasksThatKeepAllWorkersToThemselves(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 2, 6)
	s.play(time.Second)
	suspects := testStep(12, 1)
	suspects.PerWorker = 1
	suspects.EstimateMS = heldWork.Milliseconds()
	job := testJob(hexID(2), 1, suspects)
	s.submit(job)
	for range 2 {
		s.play(6 * time.Second)
		is.Equal(s.runs(job.ID, 0), 12)
		for _, life := range s.lives {
			s.rebear(life)
		}
	}
	s.play(3 * time.Second)
	is.Equal(s.runs(job.ID, 0), 12)
	other := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
	is.True(s.wait(other, 0) <= heldBound)
}

// A task that lost its worker twice waits 2 s for an empty one, whoever holds the term.
func TestSuspectedTaskStartsThroughChangesOfHolderThoughNoWorkerIsEmpty(t *testing.T) {
	for _, holds := range holderTimes {
		t.Run(holds.String(), func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 2, 6)
			s.play(time.Second)
			for worker := range s.lives {
				s.occupy(worker, 1)
			}
			step := testStep(1, 1)
			step.EstimateMS = heldWork.Milliseconds()
			job := s.submit(testJob(hexID(1), 1, step))
			for range 2 {
				s.play(6 * time.Second)
				is.Equal(s.runs(job, 0), 1)
				s.rebear(s.find(s.engine.jobs[job].allTasks()[0].run.node.entry.ID))
			}
			s.holds, s.tookAt = holds, s.now
			is.True(s.wait(job, 0) <= heldBound)
		})
	}
}
