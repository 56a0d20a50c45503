package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A step in front whose tickets run out before all workers are asked about is never seated,
// and is asked for again and again, while every worker would suit the step behind it.
func TestStepThatIsAskedForAgainAndAgainDoesNotKeepOthersFromBeingAsked(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 16, 6)
	s.askTime, s.valid = 500*time.Millisecond, 1500*time.Millisecond
	wide := wideGang(90, 4) // almost every worker is needed
	wide.PerWorker, wide.EstimateMS = 1, heldWork.Milliseconds()
	s.submit(advisedJob(1, 1, wide))
	s.play(time.Second)
	long := testStep(1, 1)
	long.EstimateMS = 100 * heldWork.Milliseconds()
	behind := s.submit(advisedJob(2, 2, long))
	first := s.engine.waiting(s.now)[0]
	is.Equal(first.step.spec.Tasks, wide.Tasks)
	is.True(s.wait(behind, 0) <= heldBound)
}
