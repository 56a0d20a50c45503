package placing

import "time"

// The load that this file answers: more urgent work than room for some seconds. A queue that serves
// all alike then makes all of it a little late, and callers get little from any of it. So urgent
// work that will be late in any case gives way to all work that can still be in time, and stops no
// gang: all members would have to find room together once more. Within its workspace's guarantee it
// begins in time whatever waits beside it.

// missMargin is the share of the remaining work that a job must have to spare to count as able to
// be in time. Callers' estimates are off by up to half either way, and what is started with nothing
// to spare is late as often as not. It is given room before others only if that is likely to help.
const missMargin = 0.25

// updateMissesObjective reports whether an occurrence that would finish at the given time, if it
// started now, has too little to spare to be in time. Once it counts as late it needs twice as much
// to count as in time again, so that it does not change its place with each estimate.
func (o *occurrence) updateMissesObjective(finish, deadline time.Time, remaining time.Duration) bool {
	margin := time.Duration(missMargin * float64(remaining))
	if o.missesObjective {
		margin *= 2
	}
	o.missesObjective = finish.Add(margin).After(deadline)
	return o.missesObjective
}

// rankAsLate ranks an urgent unit that is expected to be late. A guaranteed one only gives way to other
// guaranteed work.
func (u *unit) rankAsLate() {
	if u.guaranteed {
		u.missesObjective = true
		return
	}
	u.tier = tierUrgentLate
}

// urgent reports whether a unit is of priority 0 and still has value, or has to start within the
// reclaim time.
func (u *unit) urgent() bool { return u.tier == tierUrgent || u.tier == tierUrgentLate }

// mayStop reports whether work of a step may be stopped for a unit, as far as its expected lateness
// decides.
func (u *unit) mayStop(step *step) bool { return u.tier != tierUrgentLate || !step.spec.Gang }

// guaranteeStartMargin is the time to record a placement and to start its tasks.
const guaranteeStartMargin = 200 * time.Millisecond

// maxGuaranteeDelay returns how long a guaranteed step may wait behind other guaranteed work that is
// worth more for its room. The rest of the reclaim time is for two tries to stop others.
func (e *Engine) maxGuaranteeDelay() time.Duration {
	return max(0, e.limits.ReclaimTimeout-2*(e.limits.MaxStopTime+reservationSlack)-guaranteeStartMargin)
}
