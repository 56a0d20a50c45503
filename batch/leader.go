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
	// eventQueueSize bounds the events that wait for the leader's loop. A worker has a hold (a poll) and
	// a few orders in flight at a time.
	eventQueueSize = 1024
	// tickInterval is how often the loop runs when nothing happens. It limits the precision of due
	// times and expiries.
	tickInterval = 50 * time.Millisecond
	// prepareTimeout bounds the work before the first scheduling pass: an append and the reading of
	// all progress. A leader that cannot finish in that time gives the term up.
	prepareTimeout = 2500 * time.Millisecond
	// handOverTimeout is how long a leader that is about to stop continues while the term is open
	// to others. It is longer than a claim takes while the store is slow, and shorter than the time
	// for which the process serves after the signal to stop.
	handOverTimeout = 2 * time.Second
)

// event is an answer or a change that the leader's loop applies.
type event interface {
	apply(l *leader, now time.Time)
}

// leader runs the duties of the instance that holds the term.
type leader struct {
	instance     *Instance
	log          *logrus.Entry
	clock        *Clock
	engine       *placing.Engine
	epoch        int64
	events       *ring.Ring[event]
	dispatchers  *dispatchers
	writer       *fencedWriter
	shortTerms   int // consecutive ones before this one
	leases       leaseState
	termLost     bool
	termOpenedAt time.Time                      // when the term was opened to others; zero before
	entries      map[string]placing.WorkerEntry // by worker name; guarded by the lock of workerList
	// pools holds the pools named by a configuration or by a job. Workers of any other pool are
	// ignored. A pool that is no longer routed to may still have work of jobs accepted before.
	pools             map[string]bool
	speedsPublishedAt time.Time // see publishSpeeds
	workerList        *follower
	wg                sync.WaitGroup
	ctx               context.Context // ends with the term
}

// lead leads the term until it is lost or ctx ends. previous is the newest term that was observed before.
func (i *Instance) lead(ctx context.Context, term jobs.Term, sequence int64, previous jobs.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &leader{
		instance:   i,
		log:        i.log.WithField("epoch", term.Epoch),
		clock:      i.clock,
		engine:     placing.New(i.limits(), term.Epoch, i.clock.WallMS),
		epoch:      term.Epoch,
		shortTerms: term.ShortTerms,
		events:     ring.New[event](eventQueueSize),
		entries:    map[string]placing.WorkerEntry{},
		pools:      map[string]bool{},
		ctx:        ctx,
	}
	l.dispatchers = newDispatchers(l)
	l.writer = newFencedWriter(l, term, sequence, i.claimSentAt)
	i.delegations.fenceBefore(term.Epoch)
	former := l.applyFormerLeases(previous, term)
	l.log.WithField("former", former.String()).WithField("short_terms", term.ShortTerms).Info("term_won")
	i.leading.Store(true)
	i.wakeFollowers()
	defer i.leading.Store(false)
	defer l.wg.Wait()
	defer cancel()
	l.workerList = l.newWorkerListFollower()
	l.spawn(ctx, l.workerList.run)
	if err := l.prepare(ctx); err != nil {
		l.log.WithField("error", err.Error()).Warn("term_given_up")
		return
	}
	i.metrics.leading.Update(1)
	defer i.metrics.leading.Update(0)
	defer i.metrics.stalled.Update(0)
	defer i.shardingStatus.Store(nil)
	defer i.withdrawSpeeds()
	l.loadEngine(former)
	l.spawn(ctx, l.awaitAllCalls)
	l.spawn(ctx, l.writer.run)
	l.spawn(ctx, l.findSuccessor)
	l.loop(ctx)
	l.log.Info("term_over")
}

func (l *leader) spawn(ctx context.Context, run func(context.Context)) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		run(ctx)
	}()
}

// prepare fences the progress writes of former leaders and then reads all progress. It reads
// callers' records concurrently, as each call takes long while the store is slow.
func (l *leader) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.instance.catchUpCalls(ctx)
	}()
	defer func() { <-done }()
	if err := l.writer.fenceProgress(ctx); err != nil {
		return err
	}
	if progress := l.instance.progress; progress != nil {
		return progress.catchUp(ctx)
	}
	return nil
}

// loadEngine loads the state of all jobs into the engine, and starts the tracking of changes.
func (l *leader) loadEngine(former placing.FormerLeaderState) {
	i := l.instance
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	i.fold.trackDirty.Store(true)
	clear(i.fold.dirty)
	l.configure()
	l.passEvacuations(l.clock.Now())
	all := i.fold.table.All()
	for _, job := range all {
		l.pools[job.Submission.Queue.Pool] = true
	}
	l.engine.LoadUnreached(i.fold.table.Unreached())
	l.engine.LoadSpeeds(i.fold.table.Speeds(), l.clock.Now())
	l.engine.LoadJobs(all, former, l.clock.Now())
	l.writer.setFormerLeases(l.engine.FormerLeasesExpireAt())
}

// applyFormerLeases passes on how long leases of earlier leaders may last, and returns the state of the
// former one. A leader that handed the term over or ended knows of no other that goes on, cut
// off from the store, unless it says so.
func (l *leader) applyFormerLeases(previous, term jobs.Term) placing.FormerLeaderState {
	left, known := formerLeases(previous, term)
	if !known {
		return placing.FormerLeaderUnknown
	}
	l.engine.SetFormerLeases(l.clock.Now().Add(left))
	if end, known := l.instance.formerLeaderEnd(term.Epoch); known {
		l.engine.SetFormerLeaderEnd(end)
	}
	return formerLeaderState(previous, term, l.instance.settings.Name)
}

// catchUpCalls reads callers' records once, so that the engine mostly starts with all jobs.
func (i *Instance) catchUpCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := i.refreshCalls(ctx); err != nil {
		i.log.WithField("error", err.Error()).Info("calls_behind")
	}
}

// awaitAllCalls reads callers' records until a read succeeds after the term was won. From then on
// the engine knows every job that was ever placed.
func (l *leader) awaitAllCalls(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.instance.refreshCalls(ctx); err == nil {
			l.events.Put(ctx, callsCompleteEvent{})
			return
		}
		logstream.Sleep(ctx, minRetryBackoff)
	}
}

// callsCompleteEvent signals that all submissions of former terms have been read.
type callsCompleteEvent struct{}

func (callsCompleteEvent) apply(l *leader, _ time.Time) {
	l.applyChanges()
	l.engine.MarkJobsComplete()
}

// configure passes the newest configuration to the engine.
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
	l.engine.Configure(queues, config.Guarantees, config.UncheckedPools)
	l.offer(listChangedEvent{})
}

// offer enqueues an event without blocking. If the queue is full the event is dropped, so it
// has to be one that is repeated.
func (l *leader) offer(e event) { l.events.Offer(e) }

// loop applies events and executes the plans of the engine until the term is lost or ctx ends.
func (l *leader) loop(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	defer l.stopTracking()
	handOver := l.instance.handOver
	for ctx.Err() == nil && !l.termLost {
		select {
		case <-ctx.Done():
			return
		case <-handOver:
			handOver = nil
			l.openTerm()
		case next := <-l.events.Items():
			next.apply(l, l.clock.Now())
		case <-l.instance.fold.signal:
		case <-timer.C:
		}
		l.drainEvents()
		l.dispatchers.assignWorkers(l.clock.Now())
		l.applyChanges()
		if !l.holdsTerm() {
			return
		}
		l.updateLeases(l.clock.Now())
		l.engine.SetListReadAt(l.workerList.lastContact())
		l.engine.SetListIncomplete(l.listIncomplete(l.clock.Now()))
		l.engine.SetEvacuationsReadAt(l.instance.operator.lastContact())
		l.engine.SetLimits(l.limits())
		l.engine.SetStartLimit(l.dispatchers.startLimit())
		plan := l.engine.Decide(l.clock.Now())
		l.execute(ctx, plan)
		l.writer.renewIfDue(l.clock.Now())
		l.publishSpeeds(l.clock.Now())
		timer.Reset(nextTimeout(plan))
	}
}

// nextTimeout returns the delay until the next scheduling pass if no event arrives before.
func nextTimeout(plan placing.Plan) time.Duration {
	if plan.RecheckAfter > 0 {
		return min(tickInterval, plan.RecheckAfter)
	}
	return tickInterval
}

// drainEvents applies the queued events without waiting for more.
func (l *leader) drainEvents() {
	for range eventQueueSize {
		next, ok := l.events.TryTake()
		if !ok {
			return
		}
		next.apply(l, l.clock.Now())
	}
}

// applyChanges passes changed jobs, the configuration and the evacuations to the engine, and gives
// the term up if a later one was recorded.
func (l *leader) applyChanges() {
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
		l.engine.ApplyJob(job, now)
	}
	clear(i.fold.dirty)
	if i.fold.table.Term().Epoch > l.epoch {
		l.loseTerm("a later term was recorded")
	}
	if i.configChanged.Swap(false) {
		l.configure()
	}
	if i.evacuations.changed.Load() {
		l.passEvacuations(now)
	}
}

// holdsTerm reports whether this instance may continue to lead. While the store is unreachable it
// continues for leaderGiveUpTimeout, as the store may be down for all instances. Workers that have
// served a later leader refuse its orders meanwhile.
func (l *leader) holdsTerm() bool {
	if l.termLost {
		return false
	}
	now := l.clock.Now()
	if now.Sub(l.writer.lastConfirmed()) > leaderGiveUpTimeout {
		l.loseTerm("the store is out of reach")
	}
	if !l.termOpenedAt.IsZero() && now.Sub(l.termOpenedAt) > handOverTimeout {
		l.loseTerm("the term was handed over")
	}
	return !l.termLost
}

func (l *leader) loseTerm(reason string) {
	if !l.termLost {
		l.log.WithField("reason", reason).Warn("term_lost")
	}
	l.termLost = true
}

// stopTracking ends the tracking of changed jobs, which loadEngine started.
func (l *leader) stopTracking() {
	i := l.instance
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	i.fold.trackDirty.Store(false)
	clear(i.fold.dirty)
}

// execute carries out a plan of the engine.
func (l *leader) execute(ctx context.Context, plan placing.Plan) {
	for _, logEvent := range plan.LogEvents {
		l.logDecision(logEvent)
	}
	l.writer.queueStates(plan.StartedStates)
	if len(plan.Records) > 0 {
		l.writer.enqueue(plan.Records, plan.States)
	}
	if len(plan.EarlyStates) > 0 {
		l.writer.enqueueEarly(plan.EarlyStates)
	}
	for _, stop := range plan.Stops {
		l.dispatchers.stop(stop)
	}
	for _, order := range plan.Starts {
		l.dispatchers.start(order)
	}
	for _, pace := range plan.Paces {
		l.dispatchers.pace(pace)
	}
	if plan.AdviceRequest != nil {
		l.spawn(ctx, func(ctx context.Context) { l.requestAdvice(ctx, *plan.AdviceRequest) })
	}
	for worker, number := range plan.Acks {
		l.dispatchers.acknowledge(worker, number)
	}
	for _, worker := range plan.RemovedWorkers {
		l.dispatchers.removeWorker(worker)
	}
	if plan.RelistWorkers {
		l.offer(listChangedEvent{})
	}
	if len(plan.ExpiredJobs) > 0 {
		l.spawn(ctx, func(ctx context.Context) { l.expireJobs(ctx, plan.ExpiredJobs) })
	}
}

func (l *leader) logDecision(logEvent placing.LogEvent) {
	fields := logrus.Fields{}
	if logEvent.Job != "" {
		fields["job"] = logEvent.Job
	}
	if logEvent.Worker != "" {
		fields["worker"] = logEvent.Worker
	}
	if logEvent.Detail != "" {
		fields["detail"] = logEvent.Detail
	}
	l.instance.eventLog.write(l.log, logEvent.Event, fields)
	l.instance.metrics.count("decisions." + logEvent.Event)
}

// openTerm makes further renewals name no leader, so that another instance claims the term at
// once. This leader continues until then. The others take over as from a lost leader, protected
// by the fences of the store and of the workers.
func (l *leader) openTerm() {
	l.termOpenedAt = l.clock.Now()
	l.writer.openTerm()
	l.log.Info("term_opened")
}
