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
		times := planShutdown(grace)
		is.True(times.finish >= grace/4)
		is.True(times.accept+times.finish < grace) // some of it is left to stop
	}
	is.Equal(planShutdown(6*time.Second).finish, 2300*time.Millisecond)
}
