package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// restartWorker loses a worker and starts its next incarnation.
func (s *delaySim) restartWorker(w *simWorker) {
	next := w.entry
	next.ID = w.entry.Address + s.now.String()
	s.engine.ReplaceIncarnation(w.entry.ID, 0, s.now)
	*w = simWorker{entry: next, up: true, running: map[jobs.TaskKey]simRun{}}
}

// Tasks that lost their workers twice have a worker each to themselves, which leaves no other
// worker for new work.
func TestWorkStartsThoughSuspectsIsolateAllWorkers(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 2, 6)
	s.run(time.Second)
	suspects := testStep(12, 1)
	suspects.MaxPerWorker = 1
	suspects.EstimateMS = defaultRunTime.Milliseconds()
	job := testJob(hexID(2), 1, suspects)
	s.submit(job)
	for range 2 {
		s.run(6 * time.Second)
		is.Equal(s.countRunning(job.ID, 0), 12)
		for _, w := range s.workers {
			s.restartWorker(w)
		}
	}
	s.run(3 * time.Second)
	is.Equal(s.countRunning(job.ID, 0), 12)
	other := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
	is.True(s.waitForStart(other, 0) <= maxIdleDelay)
}

// A task that lost its worker twice waits 2 s for an empty one, whichever instance is the
// leader.
func TestSuspectStartsAcrossLeaderChangesWithoutEmptyWorker(t *testing.T) {
	for _, termLength := range leaderTerms {
		t.Run(termLength.String(), func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 2, 6)
			s.run(time.Second)
			for worker := range s.workers {
				s.occupy(worker, 1)
			}
			step := testStep(1, 1)
			step.EstimateMS = defaultRunTime.Milliseconds()
			job := s.submit(testJob(hexID(1), 1, step))
			for range 2 {
				s.run(6 * time.Second)
				is.Equal(s.countRunning(job, 0), 1)
				s.restartWorker(s.findWorker(s.engine.jobs[job].allTasks()[0].run.node.entry.ID))
			}
			s.termLength, s.termStart = termLength, s.now
			is.True(s.waitForStart(job, 0) <= maxIdleDelay)
		})
	}
}
