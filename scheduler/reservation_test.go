package scheduler_test

import (
	"testing"

	"github.com/teaselcleat/teaselcleat/scheduler"
)

// While a run exceeds its estimate, the expected start of the gang behind it moves on with
// each new estimate. The reservation for the gang must not keep a small job from the idle
// workers forever.
func TestSoftReservationIsNotRenewedBehindAnOverdueRun(t *testing.T) {
	for _, declared := range []scheduler.Time{5 * scheduler.Minute, 2 * 60 * scheduler.Minute, 8 * 60 * scheduler.Minute} {
		h := newHarness(t, 4, 4)
		blocking := newJobSpec("in the way", "a", 1, 8)
		blocking.DeclaredRunTime = 10 * scheduler.Minute
		blocking.Idempotent = false
		gang := newJobSpec("gang", "b", 4, 8)
		gang.Shape.Adjacent = true
		small := newJobSpec("small", "c", 1, 8)
		small.DeclaredRunTime = declared
		for _, job := range []scheduler.JobSpec{blocking, gang, small} {
			job.Class = job.ID
			job.Deadline = 48 * 60 * scheduler.Minute
			h.submit(job)
			h.now += scheduler.Second
		}
		h.is.True(h.startsOrEnds("small", 30*scheduler.Minute))
	}
}

// While the blocking run is not long overdue, the gang's workers stay reserved: a long job
// submitted later does not get them.
func TestSoftReservationKeepsLongJobsOffItsWorkers(t *testing.T) {
	h := newHarness(t, 4, 4)
	blocking := newJobSpec("in the way", "a", 1, 8)
	blocking.DeclaredRunTime = 10 * scheduler.Minute
	blocking.Idempotent = false
	gang := newJobSpec("gang", "b", 4, 8)
	gang.Shape.Adjacent = true
	small := newJobSpec("small", "c", 1, 8)
	small.DeclaredRunTime = 2 * 60 * scheduler.Minute
	for _, job := range []scheduler.JobSpec{blocking, gang, small} {
		job.Class = job.ID
		job.Deadline = 48 * 60 * scheduler.Minute
		h.submit(job)
		h.now += scheduler.Second
	}
	h.is.True(!h.startsOrEnds("small", 20*scheduler.Minute)) // twice the estimate of the blocking run
	h.endRun("in the way", scheduler.RunFinished, "")
	h.is.True(h.startsOrEnds("gang", 3*scheduler.Second))
}
