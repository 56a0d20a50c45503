package scheduler_test

import (
	"testing"

	"github.com/teaselcleat/teaselcleat/scheduler"
)

// The start of a gang recedes with each estimate of a run that outlasts its own.
func TestRoomIsNotKeptForAGangLongAfterItWasToStart(t *testing.T) {
	for _, declared := range []scheduler.Time{5 * scheduler.Minute, 2 * 60 * scheduler.Minute, 8 * 60 * scheduler.Minute} {
		i := newIdler(t, 4, 4)
		inTheWay := jobOf("in the way", "a", 1, 8)
		inTheWay.Declared = 10 * scheduler.Minute
		inTheWay.Idempotent = false
		gang := jobOf("gang", "b", 4, 8)
		gang.Shape.Adjacent = true
		small := jobOf("small", "c", 1, 8)
		small.Declared = declared
		for _, job := range []scheduler.JobSpec{inTheWay, gang, small} {
			job.Class = job.ID
			job.Deadline = 48 * 60 * scheduler.Minute
			i.submit(job)
			i.now += scheduler.Second
		}
		i.is.True(i.starts("small", 30*scheduler.Minute))
	}
}

// Until then room is kept for it: a long job that comes later does not take its workers.
func TestRoomIsKeptForAGangThatIsToStartSoon(t *testing.T) {
	i := newIdler(t, 4, 4)
	inTheWay := jobOf("in the way", "a", 1, 8)
	inTheWay.Declared = 10 * scheduler.Minute
	inTheWay.Idempotent = false
	gang := jobOf("gang", "b", 4, 8)
	gang.Shape.Adjacent = true
	small := jobOf("small", "c", 1, 8)
	small.Declared = 2 * 60 * scheduler.Minute
	for _, job := range []scheduler.JobSpec{inTheWay, gang, small} {
		job.Class = job.ID
		job.Deadline = 48 * 60 * scheduler.Minute
		i.submit(job)
		i.now += scheduler.Second
	}
	i.is.True(!i.starts("small", 20*scheduler.Minute)) // twice the estimate
	i.end("in the way", scheduler.RunFinished, "")
	i.is.True(i.starts("gang", 3*scheduler.Second))
}
