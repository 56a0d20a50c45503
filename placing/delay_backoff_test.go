package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// allInBackoff reports whether all workers are in backoff.
func (s *delaySim) allInBackoff() bool {
	for _, w := range s.workers {
		if !s.now.Before(s.engine.nodes[w.entry.ID].health.backoffUntil) {
			return false
		}
	}
	return true
}

// Tasks that fail by their own fault on every worker put all workers in backoff.
func TestHealthyWorkStartsAfterFailuresOnAllWorkers(t *testing.T) {
	for name, accelerators := range map[string]int64{"one task on a worker": 8, "eight tasks on a worker": 1} { // accelerators per task
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newDelaySim(t, 2, 6)
			s.run(time.Second)
			bad := testJob(hexID(2), 1, testStep(int(12*8/accelerators), accelerators))
			bad.Queue.MaxAttempts = 1 // retries would take the capacity
			s.runTimes[bad.ID], s.failures[bad.ID] = 500*time.Millisecond, 1000
			s.submit(bad)
			for !s.allInBackoff() {
				s.tick()
			}
			healthy := s.submit(testJob(hexID(1), 1, testStep(1, 1)))
			is.True(s.waitForStart(healthy, 0) <= maxIdleDelay)
		})
	}
}
