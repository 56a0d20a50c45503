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
	// sessionRest is how long an instance whose session ended is left alone; the
	// rest doubles up to sessionRestMost while its sessions do not last as long.
	sessionRest     = 3 * time.Second
	sessionRestMost = 30 * time.Second
	// openPatience is how long a worker waits for sessions that are being opened before
	// those that are open take it: opening takes milliseconds, and what is not reached then
	// may be a whole availability zone that is lost.
	openPatience = 100 * time.Millisecond
	// roomPatience is the same while those that are open have their full shares already:
	// others are starting, as after a loss of all instances.
	roomPatience = time.Second
	// avoidFor is how long a worker is kept away from an instance from which it did
	// not answer; it may answer another one, if only the way is cut.
	avoidFor = 8 * time.Second
	// shareLook is how often the division is looked at while nothing changes.
	shareLook = 500 * time.Millisecond
)

// workerEvent is an answer or a report about one worker.
type workerEvent interface {
	event
	about() string // the worker
}

func (h holdAnswered) about() string  { return h.worker }
func (u unreachable) about() string   { return u.worker }
func (r reborn) about() string        { return r.worker }
func (r released) about() string      { return r.worker }
func (s startAnswered) about() string { return s.worker }
func (s stopAnswered) about() string  { return s.worker }
func (p paceAnswered) about() string  { return p.pace.Worker }

// driver carries out what the holder of the term asks of workers: a set of links of
// its own, or a session with an instance that keeps them.
type driver interface {
	watch(entry placing.WorkerEntry)
	forget(worker string)
	start(order placing.Start, open bool) // open: it may have been sent before, by another
	stop(order placing.Stop)
	pace(order placing.Pace)
	acknowledge(worker string, number int64)
}

// driven is one worker as the holder of the term reaches it.
type driven struct {
	entry  placing.WorkerEntry
	keeper string // instance that drives it; ownKeeper for this one
	state  drivenState
	avoid  string // instance from which it did not answer, until avoidUntil

	alone      time.Time // since when it has had no driver
	avoidUntil time.Time
	floor      time.Time                  // nothing there has lapsed before, whatever who drives it now says
	starts     map[startKey]placing.Start // sent and not answered
}

// drivenState says who may give orders to a worker.
type drivenState int

const (
	drivenByNone  drivenState = iota // it waits for sessions to open
	drivenByOne                      // by keeper
	drivenLeaving                    // keeper has been told to leave it
)

// ownKeeper stands for this instance.
const ownKeeper = ""

// drivers is how the holder of the term reaches the workers: over links of its
// own or, where there are many workers, through instances that each keep a share
// of them. Its methods are called by the holder's loop.
type drivers struct {
	leader   *leader
	own      *linkSet
	workers  map[string]*driven
	sessions map[string]*session // open and current, by instance
	opening  map[string]time.Time
	resting  map[string]rest
	dial     func(ctx context.Context, address string, keep *relaypb.Keep) (*relay.Stream, error)
	sharing  sharing.Switch
	shared   bool
	changed  bool // sessions or workers are not as at the last division
	waiting  bool // workers had no driver at the last look
	lookedAt time.Time
}

// rest is how long an instance is not asked to keep workers.
type rest struct {
	until  time.Time
	length time.Duration
}

func newDrivers(l *leader) *drivers {
	host := l.instance.newLinkHost(l.epoch, l.log)
	host.report = func(ctx context.Context, answer event) { l.events.Put(ctx, ownAnswer{answer: answer}) }
	host.mayStartAt = l.instance.mayStartUnasked
	return &drivers{
		leader:   l,
		own:      newLinkSet(l.ctx, host, &l.running),
		workers:  map[string]*driven{},
		sessions: map[string]*session{},
		opening:  map[string]time.Time{},
		resting:  map[string]rest{},
		dial:     relay.Open,
	}
}

// ownAnswer is what a link of this instance brings.
type ownAnswer struct {
	answer event
}

func (o ownAnswer) apply(l *leader, now time.Time) {
	if about, ok := o.answer.(workerEvent); ok && !l.drivers.drives(ownKeeper, about.about()) {
		return
	}
	o.answer.apply(l, now)
}

// drives reports whether an instance drives a worker, so that its word counts. One
// that has been told to leave it is heard until it has: its last word is that.
func (d *drivers) drives(keeper, worker string) bool {
	known := d.workers[worker]
	return known != nil && known.state != drivenByNone && known.keeper == keeper
}

// current reports whether a session is the one that counts.
func (d *drivers) current(s *session) bool { return d.sessions[s.name] == s }

// list takes the workers as they are listed now.
func (d *drivers) list(entries []placing.WorkerEntry, now time.Time) {
	for _, entry := range entries {
		known := d.workers[entry.ID]
		if known == nil {
			d.workers[entry.ID] = &driven{entry: entry, alone: now, starts: map[startKey]placing.Start{}}
			d.changed = true
			continue
		}
		moved := known.entry.Address != entry.Address
		known.entry = entry
		if to := d.driverOf(known); to != nil && (moved || known.keeper == ownKeeper) {
			to.watch(entry)
		}
	}
}

// driverOf is who may give orders to a worker now; nil if nobody may.
func (d *drivers) driverOf(known *driven) driver {
	if known == nil || known.state != drivenByOne {
		return nil
	}
	if known.keeper == ownKeeper {
		return d.own
	}
	return d.sessions[known.keeper] // it is there: when it ends, its workers have no driver
}

// forget drops a worker that need not be reached any more.
func (d *drivers) forget(worker string) {
	known := d.workers[worker]
	if known == nil {
		return
	}
	if to := d.driverOf(known); to != nil {
		to.forget(worker)
	}
	if s := d.sessions[known.keeper]; s != nil && known.state != drivenByNone {
		s.workers--
	}
	delete(d.workers, worker)
}

// start has a start sent. It is remembered until it is answered, so that who
// drives the worker next sends it again.
func (d *drivers) start(order placing.Start) {
	known := d.workers[order.Worker]
	if known == nil {
		d.leader.engine.StartAnswered(order.Worker, order.Task, order.Run, placing.StartRefused, d.leader.clock.Now())
		return
	}
	known.starts[startKey{task: order.Task, run: order.Run}] = order
	if to := d.driverOf(known); to != nil {
		to.start(order, false)
	}
}

// answered says that a start need not be sent again.
func (d *drivers) answered(worker string, key startKey) {
	if known := d.workers[worker]; known != nil {
		delete(known.starts, key)
	}
}

// stop has a stop sent; one that meets no driver comes again from the engine. The
// start of that run is not sent any more.
func (d *drivers) stop(order placing.Stop) {
	d.answered(order.Worker, startKey{task: order.Task, run: order.Run})
	if to := d.driverOf(d.workers[order.Worker]); to != nil {
		to.stop(order)
	}
}

func (d *drivers) pace(order placing.Pace) {
	if to := d.driverOf(d.workers[order.Worker]); to != nil {
		to.pace(order)
	}
}

func (d *drivers) acknowledge(worker string, number int64) {
	if to := d.driverOf(d.workers[worker]); to != nil {
		to.acknowledge(worker, number)
	}
}

// lapse is when all has lapsed at a worker, given what who drives it says: one
// that drove it before may have renewed later.
func (d *drivers) lapse(worker string, lapseAt time.Time) time.Time {
	known := d.workers[worker]
	if known == nil || lapseAt.IsZero() || lapseAt.After(known.floor) {
		return lapseAt
	}
	return known.floor
}

// silent notes that a worker does not answer who drives it: it is given to another
// instance once, as the way there may be all that is cut.
func (d *drivers) silent(worker string, now time.Time) {
	known := d.workers[worker]
	if known == nil || known.keeper == ownKeeper || known.state != drivenByOne || now.Before(known.avoidUntil) {
		return
	}
	known.avoid = known.keeper
	known.avoidUntil = now.Add(avoidFor)
	d.changed = true
}

// ended gives the workers of a session that has ended to others. What was ordered
// through it may have been carried out, and the instance may go on renewing leases
// until its grant is over.
func (d *drivers) ended(s *session, reason string, now time.Time) {
	s.cancel()
	if !d.current(s) {
		d.failed(s.name, reason, now)
		return
	}
	delete(d.sessions, s.name)
	d.leader.log.WithField("keeper", s.name).WithField("workers", s.workers).WithField("reason", reason).Warn("keeper_lost")
	d.leader.instance.metrics.count("sharing.keeper_lost")
	d.restFor(s.name, now)
	floor := now.Add(keepGrant + placing.LeaseLapse(d.leader.instance.bounds.grantedLease(now)))
	for id, known := range d.workers {
		if known.keeper != s.name || known.state == drivenByNone {
			continue
		}
		known.state = drivenByNone
		known.alone = now
		known.floor = floor
		d.leader.engine.Unreachable(id, floor, now)
	}
}

// failed notes that no session was opened.
func (d *drivers) failed(name, reason string, now time.Time) {
	d.leader.log.WithField("keeper", name).WithField("reason", reason).Info("keeper_not_won")
	d.restFor(name, now)
}

func (d *drivers) restFor(name string, now time.Time) {
	delete(d.opening, name)
	last := d.resting[name]
	length := sessionRest
	if now.Sub(last.until) < sessionRestMost {
		length = min(sessionRestMost, max(sessionRest, 2*last.length))
	}
	d.resting[name] = rest{until: now.Add(length), length: length}
	d.changed = true
}

// opened takes a session that an instance has accepted.
func (d *drivers) opened(s *session) {
	delete(d.opening, s.name)
	d.sessions[s.name] = s
	d.leader.log.WithField("keeper", s.name).Info("keeper_won")
	d.changed = true
}

// drain gives the workers of an instance that is about to stop to others.
func (d *drivers) drain(s *session) {
	if !s.draining {
		s.draining = true
		d.changed = true
		d.leader.log.WithField("keeper", s.name).WithField("workers", s.workers).Info("keeper_draining")
	}
}

// released says that an instance does not drive a worker any more and has nothing
// under way there.
type released struct {
	worker  string
	lapseAt time.Time // when all has lapsed there unless somebody renews it
}

func (r released) apply(l *leader, now time.Time) { l.drivers.released(r.worker, r.lapseAt, now) }

func (d *drivers) released(worker string, lapseAt, now time.Time) {
	known := d.workers[worker]
	if known == nil || known.state != drivenLeaving {
		return
	}
	if s := d.sessions[known.keeper]; s != nil {
		s.workers--
	}
	known.state = drivenByNone
	known.alone = now
	if lapseAt.After(known.floor) {
		known.floor = lapseAt
	}
	d.changed = true
}
