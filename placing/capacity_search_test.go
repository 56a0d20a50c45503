package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// The search for capacity to preempt must end for a step that is limited by MaxPerWorker and
// gains nothing from a preemption.
func TestSearchOfRoomEndsForStepsWithMoreTasksThanWorkers(t *testing.T) {
	for name, gang := range map[string]bool{"tasks": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(1)
			spread := testStep(5, 1)
			spread.Gang, spread.MaxPerWorker = gang, 1
			c.submit(testJob(hexID(1), 0, spread))
			decided := make(chan struct{})
			go func() {
				c.steps(10)
				close(decided)
			}()
			select {
			case <-decided:
			case <-time.After(2 * time.Second):
				t.Fatal("the pass did not end within 2 s of real time")
			}
		})
	}
}

// The same for a long-running step of an urgent queue that is limited by MaxPerWorker and loses
// a worker.
func TestSearchOfCapacityEndsForLongRunningStepThatLostWorker(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 1, 3)
	step := testStep(3, 1)
	step.LongRunning, step.MaxPerWorker = true, 1
	job := s.submit(testJob(hexID(1), 0, step))
	s.run(3 * time.Second)
	is.Equal(s.countRunning(job, 0), 3)
	decided := make(chan struct{})
	go func() {
		lost := s.workers[0]
		lost.up = false
		lost.running = map[jobs.TaskKey]simRun{}
		s.engine.WorkerUnreachable(lost.entry.ID, s.now, s.now)
		s.run(time.Second)
		close(decided)
	}()
	select {
	case <-decided:
	case <-time.After(2 * time.Second):
		t.Fatal("the pass did not end within 2 s of real time")
	}
}
