package batch

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// A leader that is cut off from the store does not know whether another instance has won the term. So it requests
// leases only for a short time after its newest confirmed renewal. Runs outlast an outage of the store by the
// lease that is requested last. The next leader waits for that time from the newest renewal that it has read.

const (
	// leaseLimit is how long after a leader sent its newest confirmed renewal of the term leases may be
	// requested for it, by its delegates, too.
	leaseLimit = 2500 * time.Millisecond
	// finalRenewalMargin is how long before the limit all leases are requested once more.
	finalRenewalMargin = 500 * time.Millisecond
)

// leaseState tells where an instance stands with its limit of requesting leases.
type leaseState int

const (
	leasesRequested leaseState = iota // as usual
	leasesFinal                       // the limit is near, and all were requested once more
	leasesStopped                     // the limit has passed
)

// next returns the state when some time is left to the limit, and whether all leases are to be requested now.
func (s leaseState) next(left time.Duration) (state leaseState, renew bool) {
	switch {
	case left <= 0:
		return leasesStopped, false
	case left >= finalRenewalMargin:
		return leasesRequested, s == leasesStopped
	case s == leasesRequested:
		return leasesFinal, true
	}
	return s, false
}

// leasesUntil returns until when the leader may request leases.
func (l *leader) leasesUntil() time.Time { return l.writer.lastConfirmed().Add(leaseLimit) }

func (l *leader) leasesAllowed() bool { return l.clock.Now().Before(l.leasesUntil()) }

// updateLeases requests all leases from its own links when that is due.
func (l *leader) updateLeases(now time.Time) {
	left := l.leasesUntil().Sub(now)
	next, renew := l.leases.next(left)
	if next != l.leases {
		l.log.WithField("left_ms", left.Milliseconds()).WithField("state", next.String()).Info("lease_requests")
	}
	l.leases = next
	if renew {
		l.dispatchers.ownLinks.renewLeases()
	}
}

// String returns the name used in logs.
func (s leaseState) String() string {
	switch s {
	case leasesFinal:
		return "final"
	case leasesStopped:
		return "stopped"
	}
	return "usual"
}

// renewLeases has every link send a hold now, which requests a lease.
func (s *linkSet) renewLeases() {
	for _, l := range s.links {
		l.requestReport(s.env.clock.Now())
	}
}

// leasesUntil returns until when this instance may request leases as a delegate, and whether that is limited.
func (d *delegation) leasesUntil() (until time.Time, limited bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	return time.Unix(0, d.leaseUntil), d.leaseUntil != 0
}

func (d *delegation) leasesAllowed() bool {
	until, limited := d.leasesUntil()
	return !limited || d.clock.Now().Before(until)
}

// updateLeases requests all leases when that is due.
func (d *delegation) updateLeases() {
	until, limited := d.leasesUntil()
	if !limited {
		return
	}
	var renew bool
	d.leases, renew = d.leases.next(until.Sub(d.clock.Now()))
	if renew {
		d.links.renewLeases()
	}
}

// statedFormerLeases returns what a claim states of leases that were granted before it, as in
// Term.FormerLeasesMS: the former leader writes nothing after the claim, so it requests none later than its limit
// after that. It returns 0 if the former term does not state enough.
func statedFormerLeases(former jobs.Term, maxLease time.Duration) int64 {
	if former.Epoch == 0 {
		return 1
	}
	if former.LeaseLimitMS == 0 || former.FormerLeasesMS == 0 {
		return 0
	}
	return max(former.LeaseLimitMS+placing.LeaseExpiry(maxLease).Milliseconds(), former.FormerLeasesMS) + 1
}

// formerLeaderEnd returns when the former leader has requested its last lease; known is false if it has not
// stated its limit or its newest renewal was not read.
func (i *Instance) formerLeaderEnd(epoch int64) (end time.Time, known bool) {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	former := i.fold.formerTerm
	if former.Epoch != epoch-1 || former.LeaseLimitMS == 0 {
		return time.Time{}, false
	}
	return i.fold.formerTermReadAt.Add(time.Duration(former.LeaseLimitMS) * time.Millisecond), true
}
