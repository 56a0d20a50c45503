package placing

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// reservationDelay runs tasks on ten of 24 workers, submits urgent gangs that need more than
// the idle capacity and then a small task, and returns the start delay of that task.
func reservationDelay(t *testing.T, gangs, tasks int, stopDelay time.Duration) time.Duration {
	s := newDelaySim(t, 4, 6)
	s.stopDelay = stopDelay
	s.run(time.Second)
	for worker := range 10 {
		s.occupy(worker, 8)
	}
	s.run(time.Second)
	for number := range gangs {
		urgent := wideGang(tasks, 8)
		urgent.OneRack = gangs > 1
		urgent.EstimateMS = defaultRunTime.Milliseconds()
		gang := testJob(hexID(10+number), 0, urgent)
		s.runTimes[gang.ID] = time.Second
		s.submit(gang)
	}
	small := testStep(1, 1)
	small.EstimateMS = defaultRunTime.Milliseconds()
	job := s.submit(testJob(hexID(1), 1, small))
	start := s.now
	for s.countRunning(job, 0) == 0 && s.now.Sub(start) < delaySimTimeout {
		s.tick()
	}
	t.Logf("the small task started after %v", s.now.Sub(start))
	return s.now.Sub(start)
}

// Capacity is reserved for urgent gangs while other tasks are stopped for them, for as long as
// a stop may take.
func TestSmallTaskStartsDespiteReservationsForUrgentGangs(t *testing.T) {
	for gangs, tasks := range map[int]int{3: 6, 1: 18} {
		t.Run(strconv.Itoa(gangs), func(t *testing.T) {
			is := is.New(t)
			is.True(reservationDelay(t, gangs, tasks, testLimits.MaxStopTime) <= maxIdleDelay)
		})
	}
}

// A worker that doesn't carry out a stop must not keep 14 idle workers reserved.
func TestSmallTaskStartsDespiteReservationForUnfinishedPreemption(t *testing.T) {
	is := is.New(t)
	is.True(reservationDelay(t, 1, 18, 10*time.Second) <= maxIdleDelay)
}
