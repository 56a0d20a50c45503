package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const heldRack = "r1-3"

// dataStep is a step whose data lies in a rack.
func dataStep(tasks int, accelerators int64) jobs.Step {
	step := testStep(tasks, accelerators)
	step.DataRack = heldRack
	step.EstimateMS = heldWork.Milliseconds()
	return step
}

// dataSteps are the shapes of steps that have a rack for their data.
func dataSteps() map[string]jobs.Step {
	gang := dataStep(6, 4)
	gang.Gang = true
	inRack := dataStep(6, 4)
	inRack.Gang, inRack.OneRack = true, true
	return map[string]jobs.Step{"task": dataStep(1, 1), "tasks": dataStep(6, 4), "gang": gang, "one rack": inRack}
}

// dataSite has the rack of the data at the workers from first to last.
func dataSite(t *testing.T) (s *heldSite, first, last int) {
	return newHeldSite(t, 8, 6), 18, 23
}

// checkDataSteps hands in a step of each shape, each on a deployment of its own.
func checkDataSteps(t *testing.T, prepare func(s *heldSite, step *jobs.Step, first, last int)) {
	for name, step := range dataSteps() {
		for _, holds := range holderTimes {
			t.Run(name+" "+holds.String(), func(t *testing.T) {
				is := is.New(t)
				s, first, last := dataSite(t)
				step := step
				prepare(s, &step, first, last)
				s.play(time.Second)
				s.holds = holds
				job := s.submit(testJob(hexID(1), 1, step))
				is.True(s.wait(job, 0) <= heldBound)
			})
		}
	}
}

// The rack of the data is full of tasks of an hour, all other workers are idle.
func TestWorkStartsElsewhereWhileTheRackOfItsDataIsFull(t *testing.T) {
	checkDataSteps(t, func(s *heldSite, _ *jobs.Step, first, last int) {
		for worker := first; worker <= last; worker++ {
			s.occupy(worker, 8)
		}
	})
}

// No worker in the rack of the data carries the label that the tasks require.
func TestWorkStartsElsewhereIfTheRackOfItsDataLacksTheLabel(t *testing.T) {
	checkDataSteps(t, func(s *heldSite, step *jobs.Step, first, last int) {
		step.RequiredLabel = "large"
		for index, life := range s.lives {
			if index < first || index > last {
				life.entry.Labels = append(life.entry.Labels, "large")
			}
		}
	})
}

// The workers in the rack of the data are too small for the tasks.
func TestWorkStartsElsewhereIfTheRackOfItsDataIsTooSmall(t *testing.T) {
	checkDataSteps(t, func(s *heldSite, step *jobs.Step, first, last int) {
		step.Need.MemoryMB = 2000
		for worker := first; worker <= last; worker++ {
			s.lives[worker].entry.Capacity.MemoryMB = 1000
		}
	})
}

// The workers in the rack of the data serve another pool.
func TestWorkStartsElsewhereIfTheRackOfItsDataIsOfAnotherPool(t *testing.T) {
	checkDataSteps(t, func(s *heldSite, _ *jobs.Step, first, last int) {
		for worker := first; worker <= last; worker++ {
			s.lives[worker].entry.Pool = "other"
		}
	})
}

// The workers in the rack of the data are at rest, as tasks failed there.
func TestWorkStartsElsewhereWhileTheRackOfItsDataRests(t *testing.T) {
	checkDataSteps(t, func(s *heldSite, _ *jobs.Step, first, last int) {
		bad := testJob(hexID(2), 1, testStep(1, 8))
		bad.Steps[0].Tasks = last - first + 1
		bad.Steps[0].RequiredLabel = heldRack
		bad.Queue.MaxAttempts = 100
		s.work[bad.ID], s.fails[bad.ID] = heldTick, 1000
		s.submit(bad)
		s.play(1400 * time.Millisecond)
		for worker := first; worker <= last; worker++ {
			if rest := s.engine.nodes[s.lives[worker].entry.ID].health.until.Sub(s.now); rest < time.Second {
				t.Fatalf("worker %d rests for %v only", worker, rest)
			}
		}
	})
}

// The rack of the data has room for all tasks of a gang but one.
func TestGangStartsElsewhereWhileTheRackOfItsDataLacksRoomForOneTask(t *testing.T) {
	is := is.New(t)
	s, first, last := dataSite(t)
	s.occupy(first, 1)
	s.play(time.Second)
	gang := dataStep(4*(last-first+1), 2)
	gang.Gang = true
	job := s.submit(testJob(hexID(1), 1, gang))
	is.True(s.wait(job, 0) <= heldBound)
}

// A lasting task near its data would wait for it for good.
func TestLastingTaskStartsElsewhereWhileTheRackOfItsDataIsFull(t *testing.T) {
	for _, holds := range holderTimes {
		t.Run(holds.String(), func(t *testing.T) {
			is := is.New(t)
			s, first, last := dataSite(t)
			s.occupy(first, 7) // leaves room for one of two
			for worker := first + 1; worker <= last; worker++ {
				s.occupy(worker, 8)
			}
			s.play(time.Second)
			s.holds = holds
			lasting := dataStep(2, 1)
			lasting.Lasting, lasting.EstimateMS = true, 0
			job := s.submit(testJob(hexID(1), 1, lasting))
			is.True(s.wait(job, 0) <= heldBound)
		})
	}
}
