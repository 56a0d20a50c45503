package batch

import (
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/placing"
)

// Bounds are the settings that may change while an instance runs.
type Bounds struct {
	MaxLease          time.Duration // longest lease that a worker grants
	MaxStopTime       time.Duration // longest time that a stop takes
	ReclaimTimeout    time.Duration // time within which guaranteed urgent jobs start
	EndedJobRetention time.Duration // retention of ended jobs
	// EvacuationTimeout is the time after which nothing starts anymore in an evacuated availability
	// zone; 0 if no bound is set.
	EvacuationTimeout time.Duration
	// ConfigTimeout is the time within which a configuration is in force at every instance; 0 if no
	// bound is set.
	ConfigTimeout time.Duration
	// VisibilityTimeout is the time within which every instance knows of an accepted job; 0 if no
	// bound is set.
	VisibilityTimeout time.Duration
	// MemoryBytes is the memory limit of the process; 0 for none.
	MemoryBytes int64
}

// boundsPropagationTime is how long after a change here other instances may still use the previous
// bounds: instances read their settings at different times.
const boundsPropagationTime = 30 * time.Second

// bounds holds the bounds in force at an instance. While other instances may use previous bounds,
// it requests the shortest lease and assumes the longest as granted, so that no instance treats a
// lease as expired that another has requested.
type bounds struct {
	lock          sync.Mutex
	current       Bounds
	shortestLease time.Duration // shortest lease in force at any instance until propagatedAt
	longestLease  time.Duration // longest lease granted to any instance until propagatedAt
	propagatedAt  time.Time     // time at which no lease under previous bounds is left
}

func newBounds(first Bounds) *bounds {
	return &bounds{current: first, shortestLease: first.MaxLease, longestLease: first.MaxLease}
}

// update puts new bounds in force.
func (b *bounds) update(next Bounds, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.expireOldLeases(now)
	b.shortestLease = min(b.shortestLease, next.MaxLease)
	b.longestLease = max(b.longestLease, next.MaxLease)
	b.propagatedAt = now.Add(boundsPropagationTime + placing.LeaseExpiry(b.longestLease))
	b.current = next
}

// expireOldLeases stops considering previous leases once the latest change has propagated.
func (b *bounds) expireOldLeases(now time.Time) {
	if now.Before(b.propagatedAt) {
		return
	}
	b.shortestLease = b.current.MaxLease
	b.longestLease = b.current.MaxLease
}

func (b *bounds) latest() Bounds {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.current
}

// leaseToRequest returns the lease to request from workers.
func (b *bounds) leaseToRequest(now time.Time) time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.expireOldLeases(now)
	return b.shortestLease
}

// maxGrantedLease returns the longest lease that any instance may have been granted.
func (b *bounds) maxGrantedLease(now time.Time) time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.expireOldLeases(now)
	return b.longestLease
}

// SetBounds puts changed bounds in force. It may be called at any time.
func (i *Instance) SetBounds(next Bounds) {
	i.bounds.update(next, i.clock.Now())
}

// limits returns the limits that scheduling decisions use now.
func (i *Instance) limits() placing.Limits {
	now := i.clock.Now()
	current := i.bounds.latest()
	return placing.Limits{
		MaxLease:            i.bounds.maxGrantedLease(now),
		MaxStopTime:         current.MaxStopTime,
		ReclaimTimeout:      current.ReclaimTimeout,
		EndedJobRetention:   current.EndedJobRetention,
		EvacuationTimeout:   current.EvacuationTimeout,
		MaxOpenBytes:        int64(openTasksShare * float64(i.leastMemory())),
		LostLeaderTimeout:   leaderGiveUpTimeout,
		ReleasedTermTimeout: handOverTimeout,
		// A delegate may dispatch to workers for an ended leader until its grant expires.
		ExitedLeaderTimeout: grantDuration,
	}
}
