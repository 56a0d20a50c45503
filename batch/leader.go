package batch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/ring"
)

const (
	// eventRing bounds the answers that wait for the placing duty; a worker has
	// a hold and a few orders under way at a time.
	eventRing = 1024
	// leadTick is how often the placing duty looks at the time when nothing
	// happens: due times and lapses are exact to it.
	leadTick = 50 * time.Millisecond
	// prepareTimeout bounds what comes before the first decision: an append and
	// the reading of all progress. A holder that cannot do it in that time leaves the
	// term to another.
	prepareTimeout = 2500 * time.Millisecond
	// handOverGrace is how long a holder that is to stop goes on while the term is
	// open to others: longer than a claim takes while the store is slow, and less than
	// the process serves after it was told to stop.
	handOverGrace = 2 * time.Second
)

// event is an answer or a change that the placing duty takes in.
type event interface {
	apply(l *leader, now time.Time)
}

// leader is the duty of the instance that holds the term.
type leader struct {
	instance *Instance
	log      *logrus.Entry
	clock    *Clock
	engine   *placing.Engine
	epoch    int64
	events   *ring.Ring[event]
	drivers  *drivers
	writer   *fencedWriter
	deposed  bool
	openedAt time.Time                      // when the term was opened to others; zero before
	entries  map[string]placing.WorkerEntry // by the worker's name; guarded by the list follower's lock
	// pools are those that a configuration or a job has named: entries of any other
	// name no worker to use. A pool that is not routed to any more may still have
	// work of jobs that were accepted before.
	pools   map[string]bool
	listed  *follower
	running sync.WaitGroup
	ctx     context.Context // ends with the term
}

// lead holds the term until it is lost or ctx ends.
func (i *Instance) lead(ctx context.Context, term jobs.Term, sequence int64, former placing.Former) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &leader{
		instance: i,
		log:      i.log.WithField("epoch", term.Epoch),
		clock:    i.clock,
		engine:   placing.New(i.limits(), term.Epoch, i.clock.WallMS),
		epoch:    term.Epoch,
		events:   ring.New[event](eventRing),
		entries:  map[string]placing.WorkerEntry{},
		pools:    map[string]bool{},
		ctx:      ctx,
	}
	l.drivers = newDrivers(l)
	l.writer = newFencedWriter(l, term, sequence)
	i.keepings.supersede(term.Epoch)
	l.log.WithField("former", former.String()).Info("term_won")
	i.leading.Store(true)
	i.rouse()
	defer i.leading.Store(false)
	defer l.running.Wait()
	defer cancel()
	l.listed = l.newList()
	l.start(ctx, l.listed.run)
	if err := l.prepare(ctx); err != nil {
		l.log.WithField("error", err.Error()).Warn("term_given_up")
		return
	}
	i.metrics.leading.Update(1)
	defer i.metrics.leading.Update(0)
	defer i.metrics.stalled.Update(0)
	defer i.sharing.Store(nil)
	l.load(former)
	l.start(ctx, l.complete)
	l.start(ctx, l.writer.run)
	l.start(ctx, l.seekSuccessor)
	l.loop(ctx)
	l.log.Info("term_over")
}

func (l *leader) start(ctx context.Context, run func(context.Context)) {
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		run(ctx)
	}()
}

// prepare keeps former holders from writing progress, and then reads all of it.
// What callers wrote is read meanwhile, as each call takes long while the store is slow.
func (l *leader) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	caught := make(chan struct{})
	go func() {
		defer close(caught)
		l.instance.catchUp(ctx)
	}()
	defer func() { <-caught }()
	if err := l.writer.fence(ctx); err != nil {
		return err
	}
	if detail := l.instance.detail; detail != nil {
		return detail.catchUp(ctx)
	}
	return nil
}

// load gives the engine the fold as it is, and from then on what changes.
func (l *leader) load(former placing.Former) {
	i := l.instance
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	i.fold.watching.Store(true)
	clear(i.fold.dirty)
	l.configure()
	l.evacuate(l.clock.Now())
	all := i.fold.table.All()
	for _, job := range all {
		l.pools[job.Submission.Queue.Pool] = true
	}
	l.engine.Load(all, former, l.clock.Now())
}

// catchUp reads once what callers have written, so that the engine mostly
// begins with all jobs.
func (i *Instance) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	if err := i.refreshCalls(ctx); err != nil {
		i.log.WithField("error", err.Error()).Info("calls_behind")
	}
}

// complete reads what callers wrote until that succeeded after the term was
// won: from then on the engine knows every job that was ever placed.
func (l *leader) complete(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.instance.refreshCalls(ctx); err == nil {
			l.events.Put(ctx, callsComplete{})
			return
		}
		logstream.Sleep(ctx, retryFirst)
	}
}

// callsComplete says that all submissions of former terms were read.
type callsComplete struct{}

func (callsComplete) apply(l *leader, _ time.Time) {
	l.takeChanges()
	l.engine.Complete()
}

func (l *leader) configure() {
	config := l.instance.Config()
	if config == nil {
		return
	}
	queues := make([]jobs.Queue, 0, len(config.Queues))
	for index := range config.Queues {
		queues = append(queues, config.Queues[index].Queue)
		l.pools[config.Queues[index].Pool] = true
	}
	for _, pool := range config.Pools {
		l.pools[pool] = true
	}
	l.engine.Configure(queues, config.Guarantees, config.Unguarded)
	l.offer(listChanged{})
}

// offer hands an event to the loop without waiting; events that may be offered
// so come again.
func (l *leader) offer(e event) { l.events.Offer(e) }

func (l *leader) loop(ctx context.Context) {
	timer := time.NewTimer(leadTick)
	defer timer.Stop()
	defer l.unwatch()
	handOver := l.instance.handOver
	for ctx.Err() == nil && !l.deposed {
		select {
		case <-ctx.Done():
			return
		case <-handOver:
			handOver = nil
			l.open()
		case next := <-l.events.Items():
			next.apply(l, l.clock.Now())
		case <-l.instance.fold.signal:
		case <-timer.C:
		}
		l.drainEvents()
		l.drivers.divide(l.clock.Now())
		l.takeChanges()
		if !l.termStands() {
			return
		}
		l.engine.ListSeen(l.listed.seenAt())
		l.engine.EvacuationsSeen(l.instance.operator.seenAt())
		l.engine.SetLimits(l.instance.limits())
		plan := l.engine.Decide(l.clock.Now())
		l.carryOut(ctx, plan)
		l.writer.renewIfDue(l.clock.Now())
		timer.Reset(untilNext(plan))
	}
}

// untilNext is when to decide again if nothing happens before.
func untilNext(plan placing.Plan) time.Duration {
	if plan.Again > 0 {
		return min(leadTick, plan.Again)
	}
	return leadTick
}

func (l *leader) drainEvents() {
	for range eventRing {
		next, ok := l.events.TryTake()
		if !ok {
			return
		}
		next.apply(l, l.clock.Now())
	}
}

// takeChanges passes on what other instances wrote.
func (l *leader) takeChanges() {
	i := l.instance
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	now := l.clock.Now()
	for id := range i.fold.dirty {
		job := i.fold.table.Job(id)
		if job == nil {
			continue
		}
		l.pools[job.Submission.Queue.Pool] = true
		l.engine.Learn(job, now)
	}
	clear(i.fold.dirty)
	if i.fold.table.Term().Epoch > l.epoch {
		l.depose("a later term is on record")
	}
	if i.configChanged.Swap(false) {
		l.configure()
	}
	if i.evacuations.changed.Load() {
		l.evacuate(now)
	}
}

// termStands reports whether this instance may go on. Without the store it
// does for some time, as the store may be away for everybody; workers that have
// met a later holder refuse it meanwhile.
func (l *leader) termStands() bool {
	if l.deposed {
		return false
	}
	now := l.clock.Now()
	if now.Sub(l.writer.confirmed()) > holderGone {
		l.depose("the store is out of reach")
	}
	if !l.openedAt.IsZero() && now.Sub(l.openedAt) > handOverGrace {
		l.depose("it was handed over")
	}
	return !l.deposed
}

func (l *leader) depose(why string) {
	if !l.deposed {
		l.log.WithField("reason", why).Warn("term_lost")
	}
	l.deposed = true
}

func (l *leader) unwatch() {
	i := l.instance
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	i.fold.watching.Store(false)
	clear(i.fold.dirty)
}

// carryOut starts what a plan asks for.
func (l *leader) carryOut(ctx context.Context, plan placing.Plan) {
	for _, note := range plan.Notes {
		l.logNote(note)
	}
	if len(plan.Records) > 0 {
		l.writer.offer(plan.Records, plan.States)
	}
	if len(plan.EarlyStates) > 0 {
		l.writer.offerEarly(plan.EarlyStates)
	}
	for _, stop := range plan.Stops {
		l.drivers.stop(stop)
	}
	for _, order := range plan.Starts {
		l.drivers.start(order)
	}
	for _, pace := range plan.Paces {
		l.drivers.pace(pace)
	}
	if plan.Ask != nil {
		l.start(ctx, func(ctx context.Context) { l.advise(ctx, *plan.Ask) })
	}
	for worker, number := range plan.Acks {
		l.drivers.acknowledge(worker, number)
	}
	for _, worker := range plan.Forget {
		l.drivers.forget(worker)
	}
	if len(plan.Expired) > 0 {
		l.start(ctx, func(ctx context.Context) { l.expire(ctx, plan.Expired) })
	}
}

func (l *leader) logNote(note placing.Note) {
	fields := logrus.Fields{}
	if note.Job != "" {
		fields["job"] = note.Job
	}
	if note.Worker != "" {
		fields["worker"] = note.Worker
	}
	if note.Detail != "" {
		fields["detail"] = note.Detail
	}
	l.instance.chronicle.write(l.log, note.Event, fields)
	l.instance.metrics.count("decisions." + note.Event)
}

// open has the term renewed without a holder from now on, so that another
// instance claims it at once. This one goes on until then, as the others take
// over from a holder that is lost: by the store's and the workers' fences.
func (l *leader) open() {
	l.openedAt = l.clock.Now()
	l.writer.open()
	l.log.Info("term_opened")
}
