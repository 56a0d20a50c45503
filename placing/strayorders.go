package placing

import (
	"slices"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// An order that requests a lease may be carried out by the next incarnation of its worker, and the
// answer to a start does not name the incarnation that gave it. The lease is on the clock of the
// former incarnation, so the next one grants the longest lease, counted from the order's arrival.
// The answer to a poll names the incarnation.

// MaxOrderDelay is how long after it was given up or withdrawn an order may still be carried out: a delegate
// sends orders until its grant ends, and a poll in flight may wait for a connection.
const MaxOrderDelay = 3 * time.Second

// strayOrders is what orders to one incarnation of a worker may still do to another one. It is kept by
// the worker's name, as the records of incarnations without runs are dropped.
type strayOrders struct {
	bornMS          int64     // of the incarnation that the orders are for
	leasesExpireAt  time.Time // when the leases have expired that such an order may be granted
	acksArriveUntil time.Time // until when an acknowledgement may arrive
	starts          []openStart
}

// openStart is a start of which a copy was given up without an answer. It may arrive whatever has become of
// its run.
type openStart struct {
	task        jobs.TaskKey
	run         int
	arriveUntil time.Time
}

// expectCopies accounts for copies of a start that were given up by now.
func (e *Engine) expectCopies(n *node, key jobs.TaskKey, number int, now time.Time) {
	if n.entry.BornMS == 0 {
		return
	}
	until := now.Add(MaxOrderDelay)
	if run := n.findRun(key, number); run != nil {
		run.copiesArriveUntil = until
	}
	stray := e.strayOrdersTo(n)
	stray.starts = append(stray.starts, openStart{task: key, run: number, arriveUntil: until})
}

// strayOrdersTo returns the record of orders to a node, which it creates if needed.
func (e *Engine) strayOrdersTo(n *node) *strayOrders {
	list := e.strayOrders[n.entry.Name]
	for _, stray := range list {
		if stray.bornMS == n.entry.BornMS {
			return stray
		}
	}
	stray := &strayOrders{bornMS: n.entry.BornMS}
	e.strayOrders[n.entry.Name] = append(list, stray)
	return stray
}

// stopOpenStarts stops, at an incarnation that answers for the first time, starts for other ones that may
// still arrive there.
func (e *Engine) stopOpenStarts(n *node, now time.Time) {
	for _, stray := range e.strayOrders[n.entry.Name] {
		if stray.bornMS == n.entry.BornMS {
			continue
		}
		for _, start := range stray.starts {
			if now.Before(start.arriveUntil) && n.findRun(start.task, start.run) == nil {
				e.plan.Stops = append(e.plan.Stops, Stop{Task: start.task, Run: start.run, Worker: n.entry.ID})
			}
		}
	}
}

// recordLeaseOrder records that an order with a lease to a node may have arrived until now.
func (e *Engine) recordLeaseOrder(n *node, now time.Time) {
	if n.entry.BornMS == 0 {
		return
	}
	n.laterLeasesExpireAt = laterTime(n.laterLeasesExpireAt, now.Add(LeaseExpiry(e.limits.MaxLease)))
}

// mayRunInLaterIncarnation reports whether a later incarnation than a run's own may have started it, and
// may still hold a lease.
func (e *Engine) mayRunInLaterIncarnation(run *run, now time.Time) bool {
	if run.node.entry.BornMS == 0 || run.phase == phasePlanned {
		return false
	}
	if run.awaitsAnswer && (run.stoppedAt.IsZero() || now.Before(e.withdrawnLeasesExpireAt(run.stoppedAt))) {
		return true
	}
	if !run.reachedItsNode() {
		return now.Before(run.node.laterLeasesExpireAt)
	}
	return !run.copiesArriveUntil.IsZero() && now.Before(run.copiesArriveUntil.Add(LeaseExpiry(e.limits.MaxLease)))
}

// withdrawOrders accounts for orders to an incarnation that are withdrawn now, as it has ended or is
// dropped.
func (e *Engine) withdrawOrders(former *node, now time.Time) {
	if former.entry.BornMS == 0 || !former.reported {
		return
	}
	stray := e.strayOrdersTo(former)
	stray.leasesExpireAt = laterTime(stray.leasesExpireAt, e.withdrawnLeasesExpireAt(now))
	stray.acksArriveUntil = laterTime(stray.acksArriveUntil, former.acksArriveUntil(now))
	for _, other := range e.otherIncarnations(former) {
		e.expectStrayOrders(other)
	}
}

// expireStrayOrders drops what can have no effect any more.
func (e *Engine) expireStrayOrders(now time.Time) {
	for name, list := range e.strayOrders {
		list = slices.DeleteFunc(list, func(stray *strayOrders) bool { return stray.expired(now) })
		if len(list) == 0 {
			delete(e.strayOrders, name)
			continue
		}
		e.strayOrders[name] = list
	}
}

// expired drops starts that cannot arrive any more, and reports whether nothing else is left.
func (s *strayOrders) expired(now time.Time) bool {
	s.starts = slices.DeleteFunc(s.starts, func(start openStart) bool { return now.After(start.arriveUntil) })
	return len(s.starts) == 0 && now.After(s.leasesExpireAt) && now.After(s.acksArriveUntil)
}

// expectStrayOrders accounts at a node for orders to other incarnations of its worker: no lease counts as
// expired before those have that such an order may be granted.
func (e *Engine) expectStrayOrders(n *node) {
	for _, stray := range e.strayOrders[n.entry.Name] {
		if stray.bornMS != n.entry.BornMS {
			n.strayLeasesExpireAt = laterTime(n.strayLeasesExpireAt, stray.leasesExpireAt)
			n.strayAcksArriveUntil = laterTime(n.strayAcksArriveUntil, stray.acksArriveUntil)
		}
	}
	n.setLeasesExpireAt(n.leasesExpireAt)
}

// withdrawnLeasesExpireAt returns when the leases of orders have expired that were withdrawn at a time.
func (e *Engine) withdrawnLeasesExpireAt(withdrawnAt time.Time) time.Time {
	return withdrawnAt.Add(MaxOrderDelay + LeaseExpiry(e.limits.MaxLease))
}

// setLeasesExpireAt sets when the leases expire that orders to this incarnation have requested, or later if
// those to former ones count for longer.
func (n *node) setLeasesExpireAt(at time.Time) {
	n.leasesExpireAt = laterTime(at, n.strayLeasesExpireAt)
}
