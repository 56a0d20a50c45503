package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTwoPoolSim returns a simulation with a full pool, in which a gang waits, and a mostly
// idle one.
func newTwoPoolSim(t *testing.T) *delaySim {
	s := newDelaySim(t, 2, 6)
	s.addRack("other", "r2-0", 6)
	s.addRack("other", "r2-1", 6)
	s.run(time.Second)
	for worker := range 11 {
		s.occupy(worker, 8)
	}
	for worker := 12; worker < 16; worker++ {
		s.occupy(worker, 8)
	}
	s.run(time.Second)
	gang := wideGang(12, 8)
	gang.EstimateMS = defaultRunTime.Milliseconds()
	s.submit(testJob(hexID(2), 1, gang))
	s.run(time.Second)
	return s
}

// Headroom for the gang in the full pool must not block work in the other pool.
func TestGangOfFullPoolReservesNoHeadroomInIdlePool(t *testing.T) {
	for _, termLength := range leaderTerms {
		t.Run(termLength.String(), func(t *testing.T) {
			is := is.New(t)
			s := newTwoPoolSim(t)
			s.termLength, s.termStart = termLength, s.now
			step := testStep(1, 1)
			step.EstimateMS = defaultRunTime.Milliseconds()
			job := testJob(hexID(1), 1, step)
			job.Queue.Pool = "other"
			is.True(s.waitForStart(s.submit(job), 0) <= maxIdleDelay)
		})
	}
}

// Headroom is reserved only on workers that the waiting work can use.
func TestHeadroomIsReservedInPoolOfItsWork(t *testing.T) {
	is := is.New(t)
	s := newTwoPoolSim(t)
	view := s.engine.schedulableView(s.now)
	s.engine.reserveHeadroom(s.engine.waitingUnits(s.now), view, s.now)
	idle := s.engine.nodes[s.workers[11].entry.ID]
	is.True(view.headroom[classTask] != nil)
	for i, reserved := range view.headroom[classTask] {
		if node := view.nodes[i]; node == idle || node.entry.Pool == "other" {
			is.Equal(reserved, node == idle)
		}
	}
}

// Long-running tasks have to start however full the workers are.
func TestHeadroomDoesNotDelayLongRunningTaskThatFitsTwice(t *testing.T) {
	for name, estimate := range map[string]time.Duration{"without an estimate": 0, "with an estimate": defaultRunTime} {
		for _, termLength := range leaderTerms {
			t.Run(name+" "+termLength.String(), func(t *testing.T) {
				is := is.New(t)
				s := newDelaySim(t, 2, 6)
				s.run(time.Second)
				for worker := range 8 {
					s.occupy(worker, 8)
				}
				s.run(time.Second)
				gang := wideGang(12, 8)
				gang.EstimateMS = defaultRunTime.Milliseconds()
				s.submit(testJob(hexID(2), 1, gang))
				s.run(time.Second)
				s.termLength, s.termStart = termLength, s.now
				step := testStep(2, 1)
				step.LongRunning, step.EstimateMS = true, estimate.Milliseconds()
				job := s.submit(testJob(hexID(1), 1, step))
				is.True(s.waitForStart(job, 0) <= maxIdleDelay)
			})
		}
	}
}
