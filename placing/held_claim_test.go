package placing

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// claimSite has ten of 24 workers in use when urgent gangs come that need more than is
// idle, and then a small task; it returns how long that waits.
func claimSite(t *testing.T, gangs, tasks int, stopTime time.Duration) time.Duration {
	s := newHeldSite(t, 4, 6)
	s.stopTime = stopTime
	s.play(time.Second)
	for worker := range 10 {
		s.occupy(worker, 8)
	}
	s.play(time.Second)
	for number := range gangs {
		urgent := wideGang(tasks, 8)
		urgent.OneRack = gangs > 1
		urgent.EstimateMS = heldWork.Milliseconds()
		gang := testJob(hexID(10+number), 0, urgent)
		s.work[gang.ID] = time.Second
		s.submit(gang)
	}
	small := testStep(1, 1)
	small.EstimateMS = heldWork.Milliseconds()
	job := s.submit(testJob(hexID(1), 1, small))
	begin := s.now
	for s.runs(job, 0) == 0 && s.now.Sub(begin) < heldMost {
		s.tick()
	}
	t.Logf("the small task started after %v", s.now.Sub(begin))
	return s.now.Sub(begin)
}

// Room is set aside for urgent gangs while others are stopped for them, as long as a stop
// may take.
func TestSmallTaskStartsWhileRoomIsSetAsideForUrgentGangs(t *testing.T) {
	for gangs, tasks := range map[int]int{3: 6, 1: 18} {
		t.Run(strconv.Itoa(gangs), func(t *testing.T) {
			is := is.New(t)
			is.True(claimSite(t, gangs, tasks, testLimits.StopWithin) <= heldBound)
		})
	}
}

// A worker that does not carry out a stop must not keep 14 idle ones set aside.
func TestSmallTaskStartsWhileRoomIsSetAsideForAStopThatIsNotCarriedOut(t *testing.T) {
	is := is.New(t)
	is.True(claimSite(t, 1, 18, 10*time.Second) <= heldBound)
}
