package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// leaderTerms lists how long each leader keeps the term: forever, and as short as in a series
// of restarts.
var leaderTerms = []time.Duration{0, time.Second, 2 * time.Second}

func oneRackGang(tasks int) jobs.Step {
	step := gangStep(tasks, 4)
	step.EstimateMS = defaultRunTime.Milliseconds()
	return step
}

// No rack of six workers holds a gang of 14 or 16 tasks that take half a worker each.
func TestGangLargerThanEveryRackStartsOnIdleWorkers(t *testing.T) {
	for _, tasks := range []int{14, 16} {
		for _, termLength := range leaderTerms {
			t.Run(termLength.String(), func(t *testing.T) {
				is := is.New(t)
				s := newDelaySim(t, 8, 6)
				s.termLength = termLength
				s.run(time.Second)
				gang := s.submit(testJob(hexID(1), 1, oneRackGang(tasks)))
				is.True(s.waitForStart(gang, 0) <= maxIdleDelay)
			})
		}
	}
}

// A gang that fits exactly into a whole rack must not wait for unavailable workers.
func TestGangStartsWhileEachRackLacksOneWorker(t *testing.T) {
	for _, termLength := range leaderTerms {
		t.Run(termLength.String(), func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 8, 6)
			s.termLength = termLength
			for rack := range 8 {
				s.workers[6*rack].up = false
			}
			s.run(time.Second)
			gang := s.submit(testJob(hexID(1), 1, oneRackGang(12)))
			is.True(s.waitForStart(gang, 0) <= maxIdleDelay)
		})
	}
}

// With a one-hour task in each rack, no rack is left for a gang that needs a whole one.
func TestGangStartsWhileEachRackRunsLongTask(t *testing.T) {
	for _, termLength := range leaderTerms {
		t.Run(termLength.String(), func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 8, 6)
			for rack := range 8 {
				s.occupy(6*rack, 1)
			}
			s.run(time.Second)
			s.termLength = termLength
			gang := s.submit(testJob(hexID(1), 1, oneRackGang(12)))
			is.True(s.waitForStart(gang, 0) <= maxIdleDelay)
		})
	}
}

// A later step becomes ready when the first one ends, whichever instance is the leader then.
func TestSecondStepLargerThanEveryRackStartsAcrossLeaderChanges(t *testing.T) {
	for _, termLength := range leaderTerms {
		t.Run(termLength.String(), func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 8, 6)
			s.termLength = termLength
			second := oneRackGang(14)
			second.After = []int{0}
			job := testJob(hexID(1), 1, testStep(2, 1), second)
			s.runTimes[job.ID] = 4 * time.Second
			s.submit(job)
			for len(s.done) < 2 && s.now.Sub(testStart) < delaySimTimeout {
				s.tick()
			}
			is.Equal(len(s.done), 2)
			is.True(s.waitForStart(job.ID, 1) <= maxIdleDelay)
		})
	}
}

// The delay bound must not be met by spreading a gang that fits into one rack.
func TestGangThatFitsRackStartsThereAcrossLeaderChanges(t *testing.T) {
	for _, termLength := range leaderTerms {
		t.Run(termLength.String(), func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 8, 6)
			s.termLength = termLength
			s.run(time.Second)
			gang := s.submit(testJob(hexID(1), 1, oneRackGang(12)))
			is.True(s.waitForStart(gang, 0) <= 200*time.Millisecond)
			is.Equal(len(s.racksOf(gang)), 1)
		})
	}
}

// An urgent gang gains nothing by waiting if no rack can ever hold it.
func TestUrgentGangLargerThanEveryRackStartsAtOnce(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 8, 6)
	s.run(time.Second)
	gang := s.submit(testJob(hexID(1), 0, oneRackGang(14)))
	is.True(s.waitForStart(gang, 0) <= 200*time.Millisecond)
}
