package batch

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/placing"
)

// linkEnv holds the state that the links to workers share: the term that they act for, the limits
// of orders and the receiver of the answers.
type linkEnv struct {
	clock      *Clock
	log        *logrus.Entry
	workers    Workers
	epoch      int64 // fences orders
	bounds     *bounds
	startTime  metrics.Histogram
	orderSlots *orderSlots     // bounds the orders in flight
	timeout    adaptiveTimeout // of orders
	// report delivers an answer to the instance on whose behalf the orders are sent; it may block.
	report func(ctx context.Context, answer event)
	// hasGrant reports whether orders may be sent now; nil means always.
	hasGrant func() bool
	// leasesAllowed reports whether leases may be requested now.
	leasesAllowed func() bool
	// startsAllowed reports whether starts may be sent to an availability zone. It is checked before
	// each attempt, as a start may wait here while its zone is evacuated.
	startsAllowed func(zone string) bool
}

func (i *Instance) newLinkEnv(epoch int64, log *logrus.Entry) *linkEnv {
	return &linkEnv{
		clock:         i.clock,
		log:           log,
		workers:       i.workers,
		epoch:         epoch,
		bounds:        i.bounds,
		startTime:     i.metrics.startTime,
		orderSlots:    newOrderSlots(),
		timeout:       adaptiveTimeout{minimum: minOrderTimeout},
		leasesAllowed: func() bool { return true },
		startsAllowed: i.mayStartInZone,
	}
}

func (e *linkEnv) ordersAllowed() bool { return e.hasGrant == nil || e.hasGrant() }

// linkSet holds the links over which one instance dispatches to workers in a term. Its methods are called by one
// goroutine; each order runs in a goroutine of its own.
type linkSet struct {
	env   *linkEnv
	ctx   context.Context // ends with all links
	wg    *sync.WaitGroup // the links and their orders
	links map[string]*link
}

func newLinkSet(ctx context.Context, env *linkEnv, wg *sync.WaitGroup) *linkSet {
	return &linkSet{env: env, ctx: ctx, wg: wg, links: map[string]*link{}}
}

// addWorker opens a link to a worker, or updates the entry of the existing one.
func (s *linkSet) addWorker(entry placing.WorkerEntry) {
	if l := s.links[entry.ID]; l != nil {
		l.setEntry(entry)
		return
	}
	l := newLink(s.env, entry)
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.links[entry.ID] = l
	s.spawn(l, l.run)
}

// spawn runs a goroutine of a link. Its context ends with the link.
func (s *linkSet) spawn(l *link, run func(context.Context)) {
	s.wg.Add(1)
	l.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer l.wg.Done()
		run(l.ctx)
	}()
}

// removeWorker closes the link to a worker that need not be reached anymore.
func (s *linkSet) removeWorker(worker string) {
	if l := s.links[worker]; l != nil {
		l.cancel()
		delete(s.links, worker)
		s.env.workers.Forget(l.worker())
	}
}

// release closes the link to a worker that another instance will dispatch to. It calls done once
// nothing is in flight from here, with the time at which all leases there have expired unless
// another instance renews them; zero if none was ever granted.
func (s *linkSet) release(worker string, done func(expiry time.Time)) {
	l := s.links[worker]
	s.removeWorker(worker)
	if l == nil {
		done(time.Time{})
		return
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		l.wg.Wait()
		done(l.leaseExpiry())
	}()
}

// start sends a start, unless it is withdrawn before. maybeSent means that another instance may
// have sent it already.
func (s *linkSet) start(order placing.Start, maybeSent bool) {
	l := s.links[order.Worker]
	if l == nil {
		result := placing.StartRefused
		if maybeSent {
			result = placing.StartUnknown
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.env.report(s.ctx, startReply{worker: order.Worker, task: order.Task, run: order.Run, result: result})
		}()
		return
	}
	withdrawn := l.registerStart(order)
	s.spawn(l, func(ctx context.Context) { l.startRun(ctx, order, maybeSent, withdrawn) })
}

// stop sends a stop. It withdraws the start of the same run if that still waits.
func (s *linkSet) stop(order placing.Stop) {
	if l := s.links[order.Worker]; l != nil {
		l.withdrawStart(startKey{task: order.Task, run: order.Run})
		s.spawn(l, func(ctx context.Context) { l.stop(ctx, order) })
	}
}

func (s *linkSet) pace(order placing.Pace) {
	if l := s.links[order.Worker]; l != nil {
		s.spawn(l, func(ctx context.Context) { l.pace(ctx, order) })
	}
}

// acknowledge lets a worker forget its ends up to number.
func (s *linkSet) acknowledge(worker string, number int64) {
	if l := s.links[worker]; l != nil {
		l.acknowledge(number)
	}
}
