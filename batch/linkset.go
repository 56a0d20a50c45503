package batch

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/placing"
)

// linkHost is what links to workers share: the term that they act for, and where
// their answers go.
type linkHost struct {
	clock     *Clock
	log       *logrus.Entry
	workers   Workers
	epoch     int64 // fences orders
	bounds    *bounds
	startTime metrics.Histogram
	orders    chan struct{} // one for each order under way
	patience  patience      // with orders
	// report brings an answer to whom the links are driven for; it may wait.
	report func(ctx context.Context, answer event)
	// granted reports whether orders may be given now; nil for always.
	granted func() bool
	// mayStartAt reports whether starts may be sent to an availability zone. It is asked
	// before each try, as a start may wait here while its zone is evacuated.
	mayStartAt func(zone string) bool
}

func (i *Instance) newLinkHost(epoch int64, log *logrus.Entry) *linkHost {
	return &linkHost{
		clock:      i.clock,
		log:        log,
		workers:    i.workers,
		epoch:      epoch,
		bounds:     i.bounds,
		startTime:  i.metrics.startTime,
		orders:     make(chan struct{}, orderSlots),
		patience:   patience{least: orderTimeout},
		mayStartAt: i.mayStartAt,
	}
}

func (h *linkHost) mayOrder() bool { return h.granted == nil || h.granted() }

// linkSet is the links that one instance drives for a term. Its methods are
// called by one goroutine; orders are carried out by goroutines of their own.
type linkSet struct {
	host    *linkHost
	ctx     context.Context // ends with all links
	running *sync.WaitGroup // of the links and of their orders
	links   map[string]*link
}

func newLinkSet(ctx context.Context, host *linkHost, running *sync.WaitGroup) *linkSet {
	return &linkSet{host: host, ctx: ctx, running: running, links: map[string]*link{}}
}

// watch opens a link to a worker, or tells the one there is of a new entry.
func (s *linkSet) watch(entry placing.WorkerEntry) {
	if known := s.links[entry.ID]; known != nil {
		known.setEntry(entry)
		return
	}
	made := newLink(s.host, entry)
	made.ctx, made.cancel = context.WithCancel(s.ctx)
	s.links[entry.ID] = made
	s.spawn(made, made.run)
}

// spawn runs a goroutine of a link, which ends with it.
func (s *linkSet) spawn(of *link, run func(context.Context)) {
	s.running.Add(1)
	of.running.Add(1)
	go func() {
		defer s.running.Done()
		defer of.running.Done()
		run(of.ctx)
	}()
}

// forget closes the link to a worker that need not be reached any more.
func (s *linkSet) forget(worker string) {
	if known := s.links[worker]; known != nil {
		known.cancel()
		delete(s.links, worker)
		s.host.workers.Forget(known.worker())
	}
}

// release closes the link to a worker that another instance is to drive, and
// calls released once nothing is under way from here: with the moment when all
// has lapsed there unless somebody renews it, zero if nothing was ever granted.
func (s *linkSet) release(worker string, released func(lapseAt time.Time)) {
	known := s.links[worker]
	s.forget(worker)
	if known == nil {
		released(time.Time{})
		return
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		known.running.Wait()
		released(known.lapse())
	}()
}

// start has a start sent, unless it is withdrawn before. open says that it may
// have been sent before, by another instance.
func (s *linkSet) start(order placing.Start, open bool) {
	link := s.links[order.Worker]
	if link == nil {
		result := placing.StartRefused
		if open {
			result = placing.StartUnknown
		}
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			s.host.report(s.ctx, startAnswered{worker: order.Worker, task: order.Task, run: order.Run, result: result})
		}()
		return
	}
	withdrawn := link.starting(order)
	s.spawn(link, func(ctx context.Context) { link.startRun(ctx, order, open, withdrawn) })
}

// stop has a stop sent. The start of the same run, if it still waits, is
// withdrawn.
func (s *linkSet) stop(order placing.Stop) {
	if link := s.links[order.Worker]; link != nil {
		link.withdraw(startKey{task: order.Task, run: order.Run})
		s.spawn(link, func(ctx context.Context) { link.stop(ctx, order) })
	}
}

func (s *linkSet) pace(order placing.Pace) {
	if link := s.links[order.Worker]; link != nil {
		s.spawn(link, func(ctx context.Context) { link.pace(ctx, order) })
	}
}

// acknowledge lets a worker forget its ends up to a number.
func (s *linkSet) acknowledge(worker string, number int64) {
	if link := s.links[worker]; link != nil {
		link.acknowledge(number)
	}
}
