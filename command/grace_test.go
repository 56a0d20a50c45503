package command

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a short grace period that leaves calls in progress no time at all.
func TestEveryGracePeriodLeavesCallsTime(t *testing.T) {
	is := is.New(t)
	for grace := 100 * time.Millisecond; grace <= 20*time.Second; grace += 100 * time.Millisecond {
		calls := callTimeout(grace)
		is.True(calls >= grace/4)
		is.True(min(loadBalancerRemovalDelay, grace/2)+calls < grace) // some of it is left to stop
	}
	is.Equal(callTimeout(6*time.Second), 2300*time.Millisecond)
}
