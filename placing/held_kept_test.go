package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// twoPools has a pool that is full, with a gang waiting, and another that is mostly idle.
func twoPools(t *testing.T) *heldSite {
	s := newHeldSite(t, 2, 6)
	s.addRack("other", "r2-0", 6)
	s.addRack("other", "r2-1", 6)
	s.play(time.Second)
	for worker := range 11 {
		s.occupy(worker, 8)
	}
	for worker := 12; worker < 16; worker++ {
		s.occupy(worker, 8)
	}
	s.play(time.Second)
	gang := wideGang(12, 8)
	gang.EstimateMS = heldWork.Milliseconds()
	s.submit(testJob(hexID(2), 1, gang))
	s.play(time.Second)
	return s
}

// The room that the gang of a full pool waits for is not in the other pool.
func TestWorkOfAnIdlePoolIsNotKeptOutForAGangOfAFullOne(t *testing.T) {
	for _, holds := range holderTimes {
		t.Run(holds.String(), func(t *testing.T) {
			is := is.New(t)
			s := twoPools(t)
			s.holds, s.tookAt = holds, s.now
			step := testStep(1, 1)
			step.EstimateMS = heldWork.Milliseconds()
			job := testJob(hexID(1), 1, step)
			job.Queue.Pool = "other"
			is.True(s.wait(s.submit(job), 0) <= heldBound)
		})
	}
}

// Room is kept where the work that it is kept for may go.
func TestRoomIsKeptInThePoolOfTheWorkThatItIsKeptFor(t *testing.T) {
	is := is.New(t)
	s := twoPools(t)
	open := s.engine.openView(s.now)
	s.engine.keepRoom(s.engine.waiting(s.now), open, s.now)
	idle := s.engine.nodes[s.lives[11].entry.ID]
	is.True(open.closed[classTask] != nil)
	for at, closed := range open.closed[classTask] {
		if node := open.nodes[at]; node == idle || node.entry.Pool == "other" {
			is.Equal(closed, node == idle)
		}
	}
}

// Lasting tasks are expected to run however full the workers are.
func TestLastingTaskIsNotKeptOutOfRoomThatIsThereTwiceOver(t *testing.T) {
	for name, estimate := range map[string]time.Duration{"without an estimate": 0, "with an estimate": heldWork} {
		for _, holds := range holderTimes {
			t.Run(name+" "+holds.String(), func(t *testing.T) {
				is := is.New(t)
				s := newHeldSite(t, 2, 6)
				s.play(time.Second)
				for worker := range 8 {
					s.occupy(worker, 8)
				}
				s.play(time.Second)
				gang := wideGang(12, 8)
				gang.EstimateMS = heldWork.Milliseconds()
				s.submit(testJob(hexID(2), 1, gang))
				s.play(time.Second)
				s.holds, s.tookAt = holds, s.now
				lasting := testStep(2, 1)
				lasting.Lasting, lasting.EstimateMS = true, estimate.Milliseconds()
				job := s.submit(testJob(hexID(1), 1, lasting))
				is.True(s.wait(job, 0) <= heldBound)
			})
		}
	}
}
