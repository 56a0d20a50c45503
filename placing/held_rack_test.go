package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// holderTimes are how long each holder has the term: for good, and as in a series of
// restarts.
var holderTimes = []time.Duration{0, time.Second, 2 * time.Second}

func longGang(tasks int) jobs.Step {
	step := gangStep(tasks, 4)
	step.EstimateMS = heldWork.Milliseconds()
	return step
}

// No rack of six workers holds a gang of 14 or 16 tasks that take half a worker each.
func TestGangTooLargeForEveryRackStartsOnIdleWorkers(t *testing.T) {
	for _, tasks := range []int{14, 16} {
		for _, holds := range holderTimes {
			t.Run(holds.String(), func(t *testing.T) {
				is := is.New(t)
				s := newHeldSite(t, 8, 6)
				s.holds = holds
				s.play(time.Second)
				gang := s.submit(testJob(hexID(1), 1, longGang(tasks)))
				is.True(s.wait(gang, 0) <= heldBound)
			})
		}
	}
}

// A gang that a whole rack just holds must not wait for workers that are away.
func TestGangStartsThoughEachRackLacksAWorker(t *testing.T) {
	for _, holds := range holderTimes {
		t.Run(holds.String(), func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 8, 6)
			s.holds = holds
			for rack := range 8 {
				s.lives[6*rack].up = false
			}
			s.play(time.Second)
			gang := s.submit(testJob(hexID(1), 1, longGang(12)))
			is.True(s.wait(gang, 0) <= heldBound)
		})
	}
}

// One small task of an hour in each rack leaves no rack for a gang that needs all of one.
func TestGangStartsThoughEachRackHasALongTask(t *testing.T) {
	for _, holds := range holderTimes {
		t.Run(holds.String(), func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 8, 6)
			for rack := range 8 {
				s.occupy(6*rack, 1)
			}
			s.play(time.Second)
			s.holds = holds
			gang := s.submit(testJob(hexID(1), 1, longGang(12)))
			is.True(s.wait(gang, 0) <= heldBound)
		})
	}
}

// The turn of a later step comes when the first one ends, whoever holds the term then.
func TestSecondStepTooLargeForEveryRackStartsThroughChangesOfHolder(t *testing.T) {
	for _, holds := range holderTimes {
		t.Run(holds.String(), func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 8, 6)
			s.holds = holds
			second := longGang(14)
			second.After = []int{0}
			job := testJob(hexID(1), 1, testStep(2, 1), second)
			s.work[job.ID] = 4 * time.Second
			s.submit(job)
			for len(s.done) < 2 && s.now.Sub(testStart) < heldMost {
				s.tick()
			}
			is.Equal(len(s.done), 2)
			is.True(s.wait(job.ID, 1) <= heldBound)
		})
	}
}

// The bound is not met by giving up the rack of a gang that one holds.
func TestGangThatARackHoldsStartsThereThroughChangesOfHolder(t *testing.T) {
	for _, holds := range holderTimes {
		t.Run(holds.String(), func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 8, 6)
			s.holds = holds
			s.play(time.Second)
			gang := s.submit(testJob(hexID(1), 1, longGang(12)))
			is.True(s.wait(gang, 0) <= 200*time.Millisecond)
			is.Equal(len(s.racksOf(gang)), 1)
		})
	}
}

// Waiting can win an urgent gang nothing if no rack will ever hold it.
func TestUrgentGangTooLargeForEveryRackStartsAtOnce(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 8, 6)
	s.play(time.Second)
	gang := s.submit(testJob(hexID(1), 0, longGang(14)))
	is.True(s.wait(gang, 0) <= 200*time.Millisecond)
}
