package batch

import (
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/placing"
)

// Bounds are the settings that may change while an instance runs.
type Bounds struct {
	Lease      time.Duration // longest lease a worker grants
	StopWithin time.Duration // longest time a stop takes
	Reclaim    time.Duration // within which guaranteed urgent jobs begin
	KeepEnded  time.Duration // how long an ended job stays known
	// Evacuate is within what time nothing starts any more in an evacuated availability
	// zone; 0 where none is stated.
	Evacuate time.Duration
}

// settleTime is how long after a change here others may still go by the bounds of before:
// the instances read their settings at different times.
const settleTime = 30 * time.Second

// bounds are those in force at an instance. While others may go by former ones, the
// shortest lease is asked for and the longest counts as granted, so that no instance holds
// for lapsed what another has asked for.
type bounds struct {
	lock     sync.Mutex
	current  Bounds
	shortest time.Duration // of the leases of the instances until they have settled
	longest  time.Duration
	settled  time.Time
}

func newBounds(first Bounds) *bounds {
	return &bounds{current: first, shortest: first.Lease, longest: first.Lease}
}

// change puts new bounds in force.
func (b *bounds) change(to Bounds, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.settle(now)
	b.shortest = min(b.shortest, to.Lease)
	b.longest = max(b.longest, to.Lease)
	b.settled = now.Add(settleTime + placing.LeaseLapse(b.longest))
	b.current = to
}

// settle ends what a former change asks for, once its time is over.
func (b *bounds) settle(now time.Time) {
	if now.Before(b.settled) {
		return
	}
	b.shortest = b.current.Lease
	b.longest = b.current.Lease
}

func (b *bounds) newest() Bounds {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.current
}

// askedLease is the lease to ask workers for.
func (b *bounds) askedLease(now time.Time) time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.settle(now)
	return b.shortest
}

// grantedLease is the longest lease that any instance may have been granted.
func (b *bounds) grantedLease(now time.Time) time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.settle(now)
	return b.longest
}

// SetBounds puts changed bounds in force. It may be called at any time.
func (i *Instance) SetBounds(to Bounds) {
	i.bounds.change(to, i.clock.Now())
}

// limits are what decisions go by, as of now.
func (i *Instance) limits() placing.Limits {
	now := i.clock.Now()
	current := i.bounds.newest()
	return placing.Limits{
		Lease:      i.bounds.grantedLease(now),
		StopWithin: current.StopWithin,
		Reclaim:    current.Reclaim,
		KeepEnded:  current.KeepEnded,
		Evacuate:   current.Evacuate,
		HolderGone: holderGone,
		HandedOver: handOverGrace,
		// An instance that drove workers for it does so until its grant is over.
		HolderEnded: keepGrant,
	}
}
