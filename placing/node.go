package placing

import (
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// ClockDrift is the share by which a worker's clock may be slow, and its leases last
	// longer, as the platform states it.
	ClockDrift = 0.02
	// leaseMargin covers the error of the estimate of the worker's clock and the delivery
	// of an order.
	leaseMargin = 400 * time.Millisecond
	// maxEndWait is how long after their leases have expired the runs of a silent worker stay open
	// while the worker is listed, or may be. Nothing runs there any more, but the worker is alive and may
	// have ends as done that it could not report. An entry outlives its worker by a few seconds.
	maxEndWait = 6 * time.Second
)

// LeaseExpiry returns the time after which a lease of some length has certainly
// expired, counted from sending the order that requested it.
func LeaseExpiry(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+ClockDrift)) + leaseMargin
}

// node is the engine's record of one incarnation of a worker.
type node struct {
	entry                  WorkerEntry
	listed                 bool
	reported               bool      // it has answered a poll of this term
	answering              bool      // its last poll was answered
	silentAt               time.Time // since when polls are not answered; zero while they are
	leasesExpireAt         time.Time // when all leases there expire, unless renewed
	laterLeasesExpireAt    time.Time // when leases of orders expire that a later incarnation may have carried out
	strayLeasesExpireAt    time.Time // when leases of orders to other incarnations have expired that this one may have carried out
	strayAcksArriveUntil   time.Time // until when acknowledgements for other incarnations may arrive here
	sentAcks               sentAcks
	openStartsStopped      bool           // starts for other incarnations were stopped here
	openStops              []openStop     // not acknowledged yet
	runs                   []*run         // that may be there
	used                   jobs.Resources // by runs
	at                     int            // index in the view of the present pass
	unknownRuns            int            // runs there that this engine does not know
	lastEnd                int64          // highest number of an end that was handled
	deferredEnd            int64          // number of the first end that waits for its job to be known, as logged last
	fullUntil              time.Time      // until when it gets nothing new after it refused a start for lack of capacity
	leaveAt                time.Time      // when it may be gone, while leaving
	evacuated              bool           // its availability zone gets nothing new
	health                 health
	recentlyRestartedUntil time.Time // end of its time as recently restarted; zero or past if it is not
	isolatedRuns           int       // runs there of suspect tasks
	paceControl            paceControl
	speed                  speedEstimate
	recordedSpeed          float64 // factor of speed as last recorded or loaded; 0 for none
	shares                 nodeShares
}

// addRun adds a run that may be there.
func (n *node) addRun(run *run) {
	n.shares.valid = false
	n.runs = append(n.runs, run)
	n.used = n.used.Add(run.need())
	if run.task.losses.suspect() {
		run.isolated = true
		n.isolatedRuns++
	}
}

// need returns the resources that the run occupies. Cores of fillers do not count, as
// they use only what others leave.
func (r *run) need() jobs.Resources {
	need := r.task.step.spec.Need
	if r.task.step.spec.Filler {
		need.MilliCores = 0
	}
	return need
}

func (n *node) removeRun(run *run) {
	for index, candidate := range n.runs {
		if candidate == run {
			n.shares.valid = false
			n.runs = append(n.runs[:index], n.runs[index+1:]...)
			n.used = n.used.Sub(run.need())
			run.endIsolation()
			return
		}
	}
}

// recordedName returns the worker's name and incarnation as stored in the log. Instances
// of a version without incarnations read the name alone.
func (n *node) recordedName() (name string, bornMS int64) {
	if n.entry.Name == "" {
		return n.entry.ID, 0
	}
	return n.entry.Name, n.entry.BornMS
}

// findRun returns the run of a task with a number, or nil.
func (n *node) findRun(key jobs.TaskKey, number int) *run {
	for _, run := range n.runs {
		if run.number == number && run.task.key == key {
			return run
		}
	}
	return nil
}

// ensureNode returns the node of a worker's incarnation and creates it if needed.
// leasesExpireAt is when leases that a former leader granted there have expired.
func (e *Engine) ensureNode(entry WorkerEntry, leasesExpireAt time.Time) *node {
	n := e.nodes[entry.ID]
	if n == nil {
		n = &node{entry: WorkerEntry{ID: entry.ID, Name: entry.Name, BornMS: entry.BornMS}, leasesExpireAt: leasesExpireAt}
		e.nodes[entry.ID] = n
		e.inheritSpeed(n)
		if entry.Name != "" {
			e.incarnations[entry.Name] = append(e.incarnations[entry.Name], n)
			e.expectStrayOrders(n)
		}
		e.nodeOrder = append(e.nodeOrder, n)
		sort.Slice(e.nodeOrder, func(a, b int) bool { return e.nodeOrder[a].entry.ID < e.nodeOrder[b].entry.ID })
	}
	return n
}

// UpdateWorkers sets the workers that the platform lists now, and returns the entries of those that
// may be polled: they are not outdated, and the worker is not stated as unreached. Workers that are
// not listed any more get nothing new; their runs go on while they answer.
func (e *Engine) UpdateWorkers(entries []WorkerEntry, now time.Time) []WorkerEntry {
	for _, n := range e.nodeOrder {
		n.listed = false
	}
	clear(e.unreached.returned)
	present := make([]WorkerEntry, 0, len(entries))
	for _, entry := range entries {
		if e.outdated(&entry) || !e.unreached.reach(entry.referenceName()) {
			continue
		}
		present = append(present, entry)
		// A run of a job that is read later may have a lease of a former leader there.
		n := e.ensureNode(entry, laterTime(now, e.formerLeasesExpireAt))
		if entry.Leaving && !n.entry.Leaving {
			n.leaveAt = now.Add(entry.MinRemaining)
			e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "worker_leaving", Worker: entry.ID, Detail: "remaining " + entry.MinRemaining.String()})
		}
		e.logResize(n, entry)
		n.entry = entry
		n.listed = true
		e.updateEvacuated(n, now)
		n.recentlyRestartedUntil = e.recentlyRestarted[entry.Address]
	}
	e.expireMisdirected()
	e.removeNodes(now)
	e.updateUnreached()
	e.expireAnswers(now)
	e.expireStrayOrders(now)
	return present
}

// removeNodes removes nodes that are not listed and have neither runs nor starts to be stopped. Until all
// jobs are known, a run that a node has reported may turn out to be one of theirs.
func (e *Engine) removeNodes(now time.Time) {
	remaining := e.nodeOrder[:0]
	for _, n := range e.nodeOrder {
		if n.listed || len(n.runs) > 0 || len(n.openStops) > 0 || n.unknownRuns > 0 && !e.jobsComplete {
			remaining = append(remaining, n)
			continue
		}
		e.withdrawOrders(n, now)
		delete(e.nodes, n.entry.ID)
		e.removeIncarnation(n)
		delete(e.pendingAcks, n)
		delete(e.acksInFlight, n)
		e.plan.RemovedWorkers = append(e.plan.RemovedWorkers, n.entry.ID)
	}
	clear(e.nodeOrder[len(remaining):])
	e.nodeOrder = remaining
}

// WorkerUnreachable reports that a poll was not answered. leasesExpireAt is when all leases
// there expire if none is renewed.
func (e *Engine) WorkerUnreachable(worker string, leasesExpireAt, now time.Time) {
	n := e.nodes[worker]
	if n == nil {
		return
	}
	// An expired lease may be reported as one that expires now.
	renewed := n.answering || leasesExpireAt.After(laterTime(n.leasesExpireAt, now).Add(leaseMargin))
	e.markSilent(n, now)
	expired := !n.leasesExpireAt.IsZero() && !now.Before(n.leasesExpireAt)
	if !leasesExpireAt.IsZero() && (renewed || !expired) {
		n.setLeasesExpireAt(leasesExpireAt)
	}
	if renewed {
		e.recordLeaseOrder(n, now) // the poll, or an earlier one, requested a lease
	}
}

// runsOver reports whether the runs of a silent worker are over and their ends cannot be read. A worker
// that is absent from a list that may be incomplete may be alive.
func (e *Engine) runsOver(n *node, now time.Time) bool {
	if n.answering || n.leasesExpireAt.IsZero() || now.Before(n.leasesExpireAt) {
		return false
	}
	gone := !n.listed && !e.listIncomplete
	return gone || !now.Before(n.leasesExpireAt.Add(maxEndWait))
}

// expireLeases gives up runs on workers whose leases have expired. A run that a later incarnation may
// have started is given up once the leases there have expired, too.
func (e *Engine) expireLeases(now time.Time) {
	unlisted := false
	for _, n := range e.nodeOrder {
		if len(n.runs) == 0 || !e.runsOver(n, now) {
			continue
		}
		var expired []*run
		for _, run := range n.runs {
			if !e.mayRunInLaterIncarnation(run, now) {
				expired = append(expired, run)
			}
		}
		if len(expired) == 0 {
			continue
		}
		e.loseRuns(n, expired, "lease lapsed", now)
		unlisted = unlisted || !n.listed
	}
	if unlisted {
		e.removeNodes(now)
	}
}
