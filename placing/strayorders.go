package placing

import (
	"slices"
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// An order that requests a lease may be carried out by the next incarnation of its worker, and the
// answer to a start does not name the incarnation that gave it. The lease is on the clock of the
// former incarnation, so the next one grants the longest lease, counted from the order's arrival.
// The answer to a poll names the incarnation.

const (
	// MaxOrderDelay is the longest time for which an order may stay on its way after it was given up or
	// withdrawn, as the platform states it.
	MaxOrderDelay = 12 * time.Second
	// maxLeaseOrderDelay is for how long of that time the runs of a silent worker are waited for, as a later
	// incarnation may have been granted a lease. A longer wait would leave tasks of workers that are gone
	// without a run for longer than users accept.
	maxLeaseOrderDelay = 3 * time.Second
	// openStartRetention is how long a start without an answer is stopped at later incarnations. It
	// exceeds MaxOrderDelay, as it delays nothing.
	openStartRetention = 30 * time.Second
)

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
	task      jobs.TaskKey
	run       int
	givenUpAt time.Time
}

// expired reports whether the start is not stopped any more where it has not arrived.
func (s *openStart) expired(now time.Time) bool { return now.Sub(s.givenUpAt) > openStartRetention }

// openStop is a stop of an open start at another incarnation than its own. The acknowledged stop makes that
// one refuse the start.
type openStop struct {
	start  openStart
	sentAt time.Time
}

// expectCopies accounts for copies of a start that were given up by now.
func (e *Engine) expectCopies(n *node, key jobs.TaskKey, number int, now time.Time) {
	if n.entry.BornMS == 0 {
		return
	}
	if run := n.findRun(key, number); run != nil {
		run.copiesGivenUpAt = now
	}
	stray := e.strayOrdersTo(n)
	start := openStart{task: key, run: number, givenUpAt: now}
	stray.starts = append(stray.starts, start)
	for _, other := range e.otherIncarnations(n) {
		if other.openStartsStopped {
			e.stopOpenStart(other, start, now)
		}
	}
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
	if n.openStartsStopped {
		return
	}
	n.openStartsStopped = true
	for _, stray := range e.strayOrders[n.entry.Name] {
		if stray.bornMS == n.entry.BornMS {
			continue
		}
		for _, start := range stray.starts {
			e.stopOpenStart(n, start, now)
		}
	}
}

// stopOpenStart stops a start at another incarnation than its own until that one acknowledges it.
func (e *Engine) stopOpenStart(n *node, start openStart, now time.Time) {
	if start.expired(now) || n.findRun(start.task, start.run) != nil {
		return // a run that is recorded there is stopped by itself
	}
	n.openStops = append(n.openStops, openStop{start: start, sentAt: now})
	e.plan.Stops = append(e.plan.Stops, Stop{Task: start.task, Run: start.run, Worker: n.entry.ID})
	e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "open_start_stopped", Job: start.task.Job, Worker: n.entry.ID,
		Detail: start.task.String() + " run " + strconv.Itoa(start.run) + " given_up_ms_ago " + strconv.FormatInt(now.Sub(start.givenUpAt).Milliseconds(), 10)})
}

// retryOpenStops sends unacknowledged stops of open starts again.
func (e *Engine) retryOpenStops(n *node, now time.Time) {
	n.openStops = slices.DeleteFunc(n.openStops, func(stop openStop) bool { return stop.start.expired(now) })
	for index := range n.openStops {
		stop := &n.openStops[index]
		if now.Sub(stop.sentAt) > stopRetryInterval {
			stop.sentAt = now
			e.plan.Stops = append(e.plan.Stops, Stop{Task: stop.start.task, Run: stop.start.run, Worker: n.entry.ID})
		}
	}
}

// acknowledgeOpenStop records that an incarnation refuses an open start from now on.
func (n *node) acknowledgeOpenStop(key jobs.TaskKey, number int) {
	n.openStops = slices.DeleteFunc(n.openStops, func(stop openStop) bool {
		return stop.start.run == number && stop.start.task == key
	})
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
	return !run.copiesGivenUpAt.IsZero() && now.Before(e.withdrawnLeasesExpireAt(run.copiesGivenUpAt))
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

// expired drops starts that are not stopped any more, and reports whether nothing else is left.
func (s *strayOrders) expired(now time.Time) bool {
	s.starts = slices.DeleteFunc(s.starts, func(start openStart) bool { return start.expired(now) })
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
	return withdrawnAt.Add(maxLeaseOrderDelay + LeaseExpiry(e.limits.MaxLease))
}

// setLeasesExpireAt sets when the leases expire that orders to this incarnation have requested, or later if
// those to former ones count for longer.
func (n *node) setLeasesExpireAt(at time.Time) {
	n.leasesExpireAt = laterTime(at, n.strayLeasesExpireAt)
}
