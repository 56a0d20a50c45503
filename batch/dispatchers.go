package batch

import (
	"context"
	"time"

	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/relay"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
	"github.com/teaselcleat/teaselcleat/sharing"
)

const (
	// minSessionBackoff is how long no session with an instance is opened after one ended or could
	// not be opened. The backoff doubles up to maxSessionBackoff, and starts over with
	// minSessionBackoff if the next session ends maxSessionBackoff or more after the last backoff.
	minSessionBackoff = 3 * time.Second
	maxSessionBackoff = 30 * time.Second
	// sessionOpenWait is how long a worker waits for sessions that are being opened before an open
	// one takes it. Opening takes milliseconds; instances that are not reached by then may belong
	// to a lost availability zone.
	sessionOpenWait = 100 * time.Millisecond
	// capacityWait replaces sessionOpenWait while all open sessions have full shards: other
	// instances are starting, as after a loss of all instances.
	capacityWait = time.Second
	// avoidDuration is how long a worker is not assigned to an instance that it did not answer. It
	// may answer another instance if only the network path is cut.
	avoidDuration = 8 * time.Second
	// idleAssignInterval is the interval between assignment passes while nothing changes.
	idleAssignInterval = 500 * time.Millisecond
)

// workerEvent is an answer or a report about one worker: the answer to a poll (holdReply) or the
// lack of one (holdFailure), to a start, a stop, a speed limit (paceReply) or a release of the worker
// by its dispatcher, or the news of another incarnation.
type workerEvent interface {
	event
	workerID() string
}

func (h holdReply) workerID() string         { return h.worker }
func (f holdFailure) workerID() string       { return f.worker }
func (c incarnationChange) workerID() string { return c.worker }
func (r release) workerID() string           { return r.worker }
func (s startReply) workerID() string        { return s.worker }
func (s stopReply) workerID() string         { return s.worker }
func (p paceReply) workerID() string         { return p.pace.Worker }

// dispatcher dispatches the leader's orders to workers. It is the leader's own set of links, or a
// session with a delegate.
type dispatcher interface {
	addWorker(entry placing.WorkerEntry)
	removeWorker(worker string)
	start(order placing.Start, maybeSent bool) // maybeSent: another dispatcher may have sent it; Start.Open in messages
	stop(order placing.Stop)
	pace(order placing.Pace)
	acknowledge(worker string, number int64)
}

// workerAssignment is the leader's record of which instance dispatches to a worker.
type workerAssignment struct {
	entry         placing.WorkerEntry
	instance      string // name of the dispatching instance; ownInstance for the leader
	state         assignmentState
	avoidInstance string // instance that the worker did not answer; avoided until avoidUntil

	unassignedSince time.Time // time since which the worker has had no dispatcher
	avoidUntil      time.Time
	minExpiry       time.Time                  // no lease there counts as expired before, as an earlier dispatcher may have renewed it
	pendingStarts   map[startKey]placing.Start // starts not answered yet, sent or not
}

// assignmentState is the state of a worker's assignment; only an assigned worker gets orders.
type assignmentState int

const (
	unassigned assignmentState = iota // waits for sessions to open
	assigned                          // to instance
	releasing                         // a release has been requested from instance
)

// ownInstance stands for the leader's own instance.
const ownInstance = ""

// dispatchers routes the leader's orders to workers: over its own links or, in large deployments,
// through delegates that each dispatch to a shard of the workers. A delegate sends orders only
// while it has a grant, which each message of the leader renews. The leader's loop calls the methods.
type dispatchers struct {
	leader         *leader
	ownLinks       *linkSet
	workers        map[string]*workerAssignment
	sessions       map[string]*session // current open sessions by instance
	opening        map[string]time.Time
	backoffs       map[string]sessionBackoff
	dial           func(ctx context.Context, address string, request *relaypb.Keep) (*relay.Stream, error)
	shardingSwitch sharing.Switch
	sharded        bool
	changed        bool // sessions or workers have changed since the last assignment pass
	hasUnassigned  bool // workers had no dispatcher after the last assignment pass
	assignedAt     time.Time
}

// sessionBackoff is the time during which no session with an instance is opened.
type sessionBackoff struct {
	until time.Time
	delay time.Duration
}

func newDispatchers(l *leader) *dispatchers {
	env := l.instance.newLinkEnv(l.epoch, l.log)
	env.report = func(ctx context.Context, e event) { l.events.Put(ctx, ownLinkEvent{event: e}) }
	env.startsAllowed = l.instance.mayStartWithoutGrant
	env.leasesAllowed = l.leasesAllowed
	return &dispatchers{
		leader:   l,
		ownLinks: newLinkSet(l.ctx, env, &l.wg),
		workers:  map[string]*workerAssignment{},
		sessions: map[string]*session{},
		opening:  map[string]time.Time{},
		backoffs: map[string]sessionBackoff{},
		dial:     relay.OpenDelegation,
	}
}

// ownLinkEvent is an event from one of the leader's own links.
type ownLinkEvent struct {
	event event
}

func (o ownLinkEvent) apply(l *leader, now time.Time) {
	if we, ok := o.event.(workerEvent); ok && !l.dispatchers.dispatchesTo(ownInstance, we.workerID()) {
		return
	}
	o.event.apply(l, now)
}

// dispatchesTo reports whether an instance dispatches to a worker, so that its reports count. While
// a release of the worker is requested, the instance counts until it has confirmed the release.
func (d *dispatchers) dispatchesTo(instance, worker string) bool {
	w := d.workers[worker]
	return w != nil && w.state != unassigned && w.instance == instance
}

// isCurrent reports whether a session is the current one of its instance.
func (d *dispatchers) isCurrent(s *session) bool { return d.sessions[s.name] == s }

// updateWorkers applies the current list of workers.
func (d *dispatchers) updateWorkers(entries []placing.WorkerEntry, now time.Time) {
	for _, entry := range entries {
		w := d.workers[entry.ID]
		if w == nil {
			d.workers[entry.ID] = &workerAssignment{entry: entry, unassignedSince: now, pendingStarts: map[startKey]placing.Start{}}
			d.changed = true
			continue
		}
		moved := w.entry.Address != entry.Address
		w.entry = entry
		if target := d.dispatcherOf(w); target != nil && (moved || w.instance == ownInstance) {
			target.addWorker(entry)
		}
	}
}

// dispatcherOf returns the dispatcher that may give orders to a worker now; nil if there is none.
func (d *dispatchers) dispatcherOf(w *workerAssignment) dispatcher {
	if w == nil || w.state != assigned {
		return nil
	}
	if w.instance == ownInstance {
		return d.ownLinks
	}
	return d.sessions[w.instance] // present, because a session's workers are unassigned when it ends
}

// removeWorker drops a worker that need not be reached anymore.
func (d *dispatchers) removeWorker(worker string) {
	w := d.workers[worker]
	if w == nil {
		return
	}
	if target := d.dispatcherOf(w); target != nil {
		target.removeWorker(worker)
	}
	if s := d.sessions[w.instance]; s != nil && w.state != unassigned {
		s.workers--
	}
	delete(d.workers, worker)
}

// start sends a start. The order is stored until it is answered, so that the worker's next
// dispatcher sends it again.
func (d *dispatchers) start(order placing.Start) {
	w := d.workers[order.Worker]
	if w == nil {
		d.leader.engine.StartAnswered(order.Worker, order.Task, order.Run, placing.StartRefused, d.leader.clock.Now())
		return
	}
	w.pendingStarts[startKey{task: order.Task, run: order.Run}] = order
	if target := d.dispatcherOf(w); target != nil {
		target.start(order, false)
	}
}

// startLimit returns how many more starts can be sent soon. Delegates have links of their own, so
// there is no limit with them.
func (d *dispatchers) startLimit() int {
	if len(d.sessions) > 0 {
		return placing.UnlimitedStarts
	}
	return d.ownLinks.env.orderSlots.startLimit()
}

// clearStart records that a start need not be sent again.
func (d *dispatchers) clearStart(worker string, key startKey) {
	if w := d.workers[worker]; w != nil {
		delete(w.pendingStarts, key)
	}
}

// stop sends a stop. A stop of a worker without a dispatcher is repeated by the engine later. The
// start of that run is not sent anymore.
func (d *dispatchers) stop(order placing.Stop) {
	d.clearStart(order.Worker, startKey{task: order.Task, run: order.Run})
	if target := d.dispatcherOf(d.workers[order.Worker]); target != nil {
		target.stop(order)
	}
}

func (d *dispatchers) pace(order placing.Pace) {
	if target := d.dispatcherOf(d.workers[order.Worker]); target != nil {
		target.pace(order)
	}
}

func (d *dispatchers) acknowledge(worker string, number int64) {
	if target := d.dispatcherOf(d.workers[worker]); target != nil {
		target.acknowledge(worker, number)
	}
}

// effectiveExpiry returns when all leases at a worker have expired, given the time that its current
// dispatcher reports: a previous dispatcher may have renewed later.
func (d *dispatchers) effectiveExpiry(worker string, expiry time.Time) time.Time {
	w := d.workers[worker]
	if w == nil || expiry.After(w.minExpiry) {
		return expiry
	}
	return w.minExpiry
}

// recordSilence records that a worker does not answer its delegate. The next assignment pass moves
// it to another instance, because only the network path between them may be cut. That happens at
// most once per avoidDuration.
func (d *dispatchers) recordSilence(worker string, now time.Time) {
	w := d.workers[worker]
	if w == nil || w.instance == ownInstance || w.state != assigned || now.Before(w.avoidUntil) {
		return
	}
	w.avoidInstance = w.instance
	w.avoidUntil = now.Add(avoidDuration)
	d.changed = true
}

// endSession ends a session, which may not have opened yet, and reassigns its workers. Orders sent
// through it may have been executed, and the delegate may renew leases until its grant expires. The
// log and the metric call the delegate a keeper.
func (d *dispatchers) endSession(s *session, reason string, now time.Time) {
	s.cancel()
	if !d.isCurrent(s) {
		d.openFailed(s.name, reason, now)
		return
	}
	delete(d.sessions, s.name)
	d.leader.log.WithField("keeper", s.name).WithField("workers", s.workers).WithField("reason", reason).Warn("keeper_lost")
	d.leader.instance.metrics.count("sharing.keeper_lost")
	d.backOff(s.name, now)
	minExpiry := now.Add(grantDuration + placing.LeaseExpiry(d.leader.instance.bounds.maxGrantedLease(now)))
	for id, w := range d.workers {
		if w.instance != s.name || w.state == unassigned {
			continue
		}
		w.state = unassigned
		w.unassignedSince = now
		w.minExpiry = minExpiry
		d.leader.engine.AckUnanswered(id, now)
		d.leader.engine.WorkerUnreachable(id, minExpiry, now)
	}
}

// openFailed records that a session could not be opened.
func (d *dispatchers) openFailed(name, reason string, now time.Time) {
	d.leader.log.WithField("keeper", name).WithField("reason", reason).Info("keeper_not_won")
	d.backOff(name, now)
}

func (d *dispatchers) backOff(name string, now time.Time) {
	delete(d.opening, name)
	previous := d.backoffs[name]
	delay := minSessionBackoff
	if now.Sub(previous.until) < maxSessionBackoff {
		delay = min(maxSessionBackoff, max(minSessionBackoff, 2*previous.delay))
	}
	d.backoffs[name] = sessionBackoff{until: now.Add(delay), delay: delay}
	d.changed = true
}

// addSession adds a session that an instance has accepted.
func (d *dispatchers) addSession(s *session) {
	delete(d.opening, s.name)
	d.sessions[s.name] = s
	d.leader.log.WithField("keeper", s.name).Info("keeper_won")
	d.changed = true
}

// drainSession moves the workers of an instance that is about to stop to others.
func (d *dispatchers) drainSession(s *session) {
	if !s.draining {
		s.draining = true
		d.changed = true
		d.leader.log.WithField("keeper", s.name).WithField("workers", s.workers).Info("keeper_draining")
	}
}

// release is the answer to a release order: an instance no longer dispatches to a worker and has
// no calls to it in flight.
type release struct {
	worker string
	expiry time.Time // when all leases there expire unless renewed
}

func (r release) apply(l *leader, now time.Time) { l.dispatchers.unassign(r.worker, r.expiry, now) }

// unassign records that an instance has released a worker.
func (d *dispatchers) unassign(worker string, expiry, now time.Time) {
	w := d.workers[worker]
	if w == nil || w.state != releasing {
		return
	}
	if s := d.sessions[w.instance]; s != nil {
		s.workers--
	}
	w.state = unassigned
	w.unassignedSince = now
	if expiry.After(w.minExpiry) {
		w.minExpiry = expiry
	}
	d.leader.engine.AckUnanswered(worker, now) // a cancelled poll may have carried one
	d.changed = true
}
