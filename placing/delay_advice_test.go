package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The first step is never placed because its tickets expire before advice on all workers is
// there, so its advice is requested again and again. Every worker suits the step behind it.
func TestExpiringTicketsDoNotStarveAdviceForOtherSteps(t *testing.T) {
	is := is.New(t)
	s := newDelaySim(t, 16, 6)
	s.adviceLatency, s.ticketLifetime = 500*time.Millisecond, 1500*time.Millisecond
	wide := wideGang(90, 4) // needs almost every worker
	wide.MaxPerWorker, wide.EstimateMS = 1, defaultRunTime.Milliseconds()
	s.submit(advisedJob(1, 1, wide))
	s.run(time.Second)
	long := testStep(1, 1)
	long.EstimateMS = 100 * defaultRunTime.Milliseconds()
	longJob := s.submit(advisedJob(2, 2, long))
	first := s.engine.waitingUnits(s.now)[0]
	is.Equal(first.step.spec.Tasks, wide.Tasks)
	is.True(s.waitForStart(longJob, 0) <= maxIdleDelay)
}
