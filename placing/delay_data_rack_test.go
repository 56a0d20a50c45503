package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const dataRackName = "r1-3"

// dataRackStep returns a step that prefers the rack of its data.
func dataRackStep(tasks int, accelerators int64) jobs.Step {
	step := testStep(tasks, accelerators)
	step.DataRack = dataRackName
	step.EstimateMS = defaultRunTime.Milliseconds()
	return step
}

// dataRackSteps returns one step of each shape that can have a data rack.
func dataRackSteps() map[string]jobs.Step {
	gang := dataRackStep(6, 4)
	gang.Gang = true
	inRack := dataRackStep(6, 4)
	inRack.Gang, inRack.OneRack = true, true
	return map[string]jobs.Step{"task": dataRackStep(1, 1), "tasks": dataRackStep(6, 4), "gang": gang, "one rack": inRack}
}

// newDataRackSim returns a simulation and the indexes of the first and last worker in the data
// rack.
func newDataRackSim(t *testing.T) (s *delaySim, first, last int) {
	return newDelaySim(t, 8, 6), 18, 23
}

// checkDataRackSteps checks the start delay of each step shape, each in a new simulation.
func checkDataRackSteps(t *testing.T, prepare func(s *delaySim, step *jobs.Step, first, last int)) {
	for name, step := range dataRackSteps() {
		for _, termLength := range leaderTerms {
			t.Run(name+" "+termLength.String(), func(t *testing.T) {
				is := is.New(t)
				s, first, last := newDataRackSim(t)
				step := step
				prepare(s, &step, first, last)
				s.run(time.Second)
				s.termLength = termLength
				job := s.submit(testJob(hexID(1), 1, step))
				is.True(s.waitForStart(job, 0) <= maxIdleDelay)
			})
		}
	}
}

// The data rack is full of one-hour tasks; all other workers are idle.
func TestWorkStartsElsewhereWhileDataRackIsFull(t *testing.T) {
	checkDataRackSteps(t, func(s *delaySim, _ *jobs.Step, first, last int) {
		for worker := first; worker <= last; worker++ {
			s.occupy(worker, 8)
		}
	})
}

// No worker in the data rack has the required label.
func TestWorkStartsElsewhereIfDataRackLacksLabel(t *testing.T) {
	checkDataRackSteps(t, func(s *delaySim, step *jobs.Step, first, last int) {
		step.RequiredLabel = "large"
		for i, w := range s.workers {
			if i < first || i > last {
				w.entry.Labels = append(w.entry.Labels, "large")
			}
		}
	})
}

// The workers in the data rack are too small for the tasks.
func TestWorkStartsElsewhereIfDataRackIsTooSmall(t *testing.T) {
	checkDataRackSteps(t, func(s *delaySim, step *jobs.Step, first, last int) {
		step.Need.MemoryMB = 2000
		for worker := first; worker <= last; worker++ {
			s.workers[worker].entry.Capacity.MemoryMB = 1000
		}
	})
}

// The workers in the data rack serve another pool.
func TestWorkStartsElsewhereIfDataRackIsInAnotherPool(t *testing.T) {
	checkDataRackSteps(t, func(s *delaySim, _ *jobs.Step, first, last int) {
		for worker := first; worker <= last; worker++ {
			s.workers[worker].entry.Pool = "other"
		}
	})
}

// The workers in the data rack are in backoff because tasks failed there.
func TestWorkStartsElsewhereWhileDataRackIsInBackoff(t *testing.T) {
	checkDataRackSteps(t, func(s *delaySim, _ *jobs.Step, first, last int) {
		bad := testJob(hexID(2), 1, testStep(1, 8))
		bad.Steps[0].Tasks = last - first + 1
		bad.Steps[0].RequiredLabel = dataRackName
		bad.Queue.MaxAttempts = 100
		s.runTimes[bad.ID], s.failures[bad.ID] = delaySimTick, 1000
		s.submit(bad)
		s.run(1400 * time.Millisecond)
		for worker := first; worker <= last; worker++ {
			if backoff := s.engine.nodes[s.workers[worker].entry.ID].health.backoffUntil.Sub(s.now); backoff < time.Second {
				t.Fatalf("worker %d is in backoff for only %v", worker, backoff)
			}
		}
	})
}

// The data rack has capacity for all tasks of a gang but one.
func TestGangStartsElsewhereIfDataRackLacksCapacityForOneTask(t *testing.T) {
	is := is.New(t)
	s, first, last := newDataRackSim(t)
	s.occupy(first, 1)
	s.run(time.Second)
	gang := dataRackStep(4*(last-first+1), 2)
	gang.Gang = true
	job := s.submit(testJob(hexID(1), 1, gang))
	is.True(s.waitForStart(job, 0) <= maxIdleDelay)
}

// Long-running tasks fill the data rack, so waiting for it would never end.
func TestLongRunningTaskStartsElsewhereWhileDataRackIsFull(t *testing.T) {
	for _, termLength := range leaderTerms {
		t.Run(termLength.String(), func(t *testing.T) {
			is := is.New(t)
			s, first, last := newDataRackSim(t)
			s.occupy(first, 7) // leaves capacity for one task of two
			for worker := first + 1; worker <= last; worker++ {
				s.occupy(worker, 8)
			}
			s.run(time.Second)
			s.termLength = termLength
			step := dataRackStep(2, 1)
			step.LongRunning, step.EstimateMS = true, 0
			job := s.submit(testJob(hexID(1), 1, step))
			is.True(s.waitForStart(job, 0) <= maxIdleDelay)
		})
	}
}
