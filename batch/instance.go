package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/kernel"
	"github.com/teaselcleat/teaselcleat/placing"
)

const (
	// nonLeaderReadInterval is the pause after a read that brought state changes, on instances
	// that are not the leader. Each read costs a call, and a request for a job's state has the log
	// read at once.
	nonLeaderReadInterval = 1200 * time.Millisecond
	// standbyReadInterval replaces nonLeaderReadInterval on standbys, which must notice a silent
	// leader, and standbyReadWait is the wait of their reads: silence is established only at the
	// end of a read.
	standbyReadInterval = 200 * time.Millisecond
	standbyReadWait     = 300 * time.Millisecond
	// minNonLeaderCallReadInterval and maxNonLeaderCallReadInterval bound the pause between reads of
	// callers' records on instances that are not the leader. The count of waiting jobs may be two
	// seconds old, and leave out jobs that need not be visible yet.
	minNonLeaderCallReadInterval = 1800 * time.Millisecond
	maxNonLeaderCallReadInterval = 3 * time.Second
	// leaderCallReadInterval is the pause between the leader's reads of callers' records, and
	// leaderOwnReadInterval between its reads of its own records, which only show whether an append
	// without an answer took effect.
	leaderCallReadInterval = 15 * time.Millisecond
	leaderOwnReadInterval  = 150 * time.Millisecond
	// standbyProgressReadInterval is the pause between a standby's reads of job progress. It leaves
	// little to read when the standby becomes the leader.
	standbyProgressReadInterval = time.Second
	// startupReadDelay is how long an instance that has just started leaves the store to the standbys:
	// claiming the term and reading progress and the worker list take that long.
	startupReadDelay = 300 * time.Millisecond
	// configReadInterval is the pause after a read that brought a new configuration.
	configReadInterval = 20 * time.Millisecond
)

// Instance is one scheduler process that serves jobs.
type Instance struct {
	settings Settings
	bounds   *bounds
	identity string // name and boot, as recorded in the term
	nameHash uint64
	log      *logrus.Entry
	clock    *Clock
	store    Store
	decoder  Decoder
	workers  Workers
	metrics  *instruments
	kernel   *kernel.Kernel

	config        atomic.Pointer[Config]
	configChanged atomic.Bool
	evacuations   evacuations
	operator      *follower
	work          *follower   // of the part with the term and the job states
	progress      *follower   // of the part with job progress; nil if it is the same part
	calls         []*follower // of the parts with callers' records
	fold          *workFold
	foldLock      sync.Mutex
	committers    []*committer // by part, starting at the first one for callers' records
	peers         *peers
	loadPacer     *loadPacer
	waiting       *waitingRoom  // hand-ins that wait for the store
	outages       outageLengths // of the store, as seen by this instance
	delegations   delegations   // sessions in which this instance is a delegate of the leader
	eventLog      *eventLog

	draining        atomic.Bool
	leading         atomic.Bool
	shardingStatus  atomic.Pointer[ShardingStatus]       // nil unless this instance is the leader
	speedsStatus    atomic.Pointer[placing.SpeedsStatus] // as shardingStatus
	readFailedAt    atomic.Int64                         // time on clock, in nanoseconds, of the newest failed read of any stream
	storeAnsweredAt atomic.Int64                         // time on clock, in nanoseconds, of the newest answer of the store
	claimEpoch      atomic.Int64                         // epoch of the leader that requested a claim of its term
	stalledAt       atomic.Int64                         // time on clock, in nanoseconds, when this instance, as leader, last failed to write progress
	handOver        chan struct{}                        // closed when the term is to be handed over
	lastClaim       jobs.Term                            // last term that this process claimed
	claimSequence   int64
	claimSentAt     time.Time // when lastClaim was sent first
}

// New returns an instance that has not been started.
func New(settings Settings, store Store, decoder Decoder, workers Workers, registry metrics.Registry, log *logrus.Entry) *Instance {
	boot := strconv.FormatUint(rand.Uint64(), 36)
	i := &Instance{
		settings: settings,
		bounds:   newBounds(settings.Bounds),
		identity: settings.Name + "/" + boot,
		nameHash: xxhash.Sum64String(settings.Name),
		log:      log,
		clock:    NewClock(),
		store:    store,
		decoder:  decoder,
		workers:  workers,
		metrics:  newInstruments(registry),
		kernel:   kernel.New(log),
		handOver: make(chan struct{}),
	}
	i.fold = newWorkFold(i.clock, log)
	i.peers = newPeers(i.clock)
	i.waiting = newWaitingRoom()
	i.eventLog = newEventLog(i.clock)
	i.loadPacer = newLoadPacer(i.clock)
	i.operator = i.newFollower(StreamOperator, 0, &sync.Mutex{}, operatorStreamReadWait)
	i.operator.apply = i.applyOperatorBatch
	i.operator.reset = i.evacuations.reset
	i.operator.readWait = i.operatorReadWait
	i.operator.readTimeout = i.operatorReadTimeout
	i.operator.readInterval = func() time.Duration { return configReadInterval }
	i.work = i.newWorkFollower(statePart)
	if part := progressPart(settings.StoreParts); part != statePart {
		i.progress = i.newProgressFollower(part)
	}
	for part := 1; part <= callPartCount(settings.StoreParts); part++ {
		i.calls = append(i.calls, i.newCallFollower(part))
		i.committers = append(i.committers, i.newCommitter(part))
	}
	if len(i.committers) == 0 {
		i.committers = append(i.committers, i.newCommitter(statePart))
	}
	i.kernel.AddDuty("configuration", i.operator.run)
	i.kernel.AddDuty("work", i.work.run)
	if i.progress != nil {
		i.kernel.AddDuty("progress", i.progress.run)
	}
	for _, f := range i.calls {
		i.kernel.AddDuty("calls", f.run)
	}
	for _, committer := range i.committers {
		i.kernel.AddDuty("commit", committer.run)
	}
	i.kernel.AddDuty("placing", i.leaderDuty)
	i.kernel.AddDuty("register", i.registerAddress)
	return i
}

func (i *Instance) newFollower(stream Stream, part int, lock *sync.Mutex, readWait time.Duration) *follower {
	return &follower{
		store:     i.store,
		stream:    stream,
		part:      part,
		log:       i.log,
		clock:     i.clock,
		lock:      lock,
		wakeup:    make(chan struct{}, 1),
		readWait:  func() time.Duration { return readWait },
		onAnswer:  i.recordStoreAnswer,
		onFailure: func() { i.readFailedAt.Store(i.clock.Now().UnixNano()) },
		pacer:     i.loadPacer,
	}
}

// newWorkFollower follows one part of the work stream. All parts share one fold.
func (i *Instance) newWorkFollower(part int) *follower {
	f := i.newFollower(StreamWork, part, &i.foldLock, stateReadWait)
	if part == statePart {
		f.onRegained = i.outages.record
	}
	f.apply = func(batch Batch) { i.fold.apply(part, batch) }
	f.readInterval = func() time.Duration { return i.workReadInterval(part) }
	f.readWait = func() time.Duration { return i.workReadWait(part) }
	return f
}

// newCallFollower follows a part with callers' records. Instances that would not claim the term
// first read later: when all instances start at once, their full reads compete with the next
// leader's claim and reads.
func (i *Instance) newCallFollower(part int) *follower {
	f := i.newWorkFollower(part)
	if claimDelay(i.nameHash, i.settings.CPUShare) >= maxClaimJitter {
		f.startDelay = startupReadDelay
	}
	return f
}

// newProgressFollower follows job progress while this instance is the leader or a standby.
func (i *Instance) newProgressFollower(part int) *follower {
	f := i.newWorkFollower(part)
	f.readInterval = i.progressReadInterval
	f.readWait = func() time.Duration { return stateReadWait }
	f.active = func() bool { return i.leading.Load() || i.isStandby() }
	f.pacer = nil // a new leader, which places nothing before, does not yield to the others
	return f
}

func (i *Instance) progressReadInterval() time.Duration {
	if i.leading.Load() {
		return leaderOwnReadInterval
	}
	return standbyProgressReadInterval
}

// workReadWait returns how long a read of a part may wait for records. The leader waits briefly on
// every part, because a silent connection would hide new jobs from it.
func (i *Instance) workReadWait(part int) time.Duration {
	switch {
	case part == statePart && !i.leading.Load() && i.isStandby():
		return standbyReadWait
	case part == statePart:
		return stateReadWait
	case i.leading.Load():
		return leaderCallReadWait
	}
	return callReadWait
}

func (i *Instance) workReadInterval(part int) time.Duration {
	if i.leading.Load() && part == statePart {
		return leaderOwnReadInterval
	}
	if i.leading.Load() {
		return leaderCallReadInterval
	}
	if part != statePart {
		return i.nonLeaderCallReadInterval()
	}
	if i.isStandby() {
		return standbyReadInterval
	}
	return nonLeaderReadInterval
}

func (i *Instance) nonLeaderCallReadInterval() time.Duration {
	return max(minNonLeaderCallReadInterval, min(maxNonLeaderCallReadInterval, i.bounds.latest().VisibilityTimeout))
}

func (i *Instance) randomSequence() int64 { return rand.Int64N(1 << 40) }

// Start runs the duties and returns at once. The log field "holder" is the name under which this
// instance would hold the term.
func (i *Instance) Start() {
	i.kernel.Start()
	i.log.WithField("holder", i.identity).Info("instance_started")
	if i.settings.NotServedReason != "" {
		i.log.WithField("reason", i.settings.NotServedReason).Error("jobs_not_served")
	}
}

// Drain prepares the instance to stop: it is no longer ready and hands the term over, but still
// serves callers.
func (i *Instance) Drain() {
	if i.draining.Swap(true) {
		return
	}
	i.log.Info("draining")
	close(i.handOver)
}

// Stop ends all duties.
func (i *Instance) Stop() {
	i.kernel.Stop()
	i.log.Info("instance_stopped")
}

// Config returns the newest configuration, or nil before the first was read. It never goes back to
// an older version.
func (i *Instance) Config() *Config { return i.config.Load() }

// Ready reports whether callers should be routed to this instance.
func (i *Instance) Ready() bool {
	return i.settings.NotServedReason == "" && i.Config() != nil && i.isLoaded() && i.work.isReachable() && !i.draining.Load()
}

// LogOffset returns the offset up to which this instance has read the part of the log with the
// term and the job states. Every action of the instance reflects all records before it, so offsets
// order the actions of several instances whose clocks differ.
func (i *Instance) LogOffset() int64 { return i.work.publishedOffset.Load() }

// Draining reports whether the instance is about to stop.
func (i *Instance) Draining() bool { return i.draining.Load() }

// applyOperatorBatch applies operators' records.
func (i *Instance) applyOperatorBatch(batch Batch) {
	i.applyEvacuations(batch)
	i.applyConfig(batch)
}

func (i *Instance) applyConfig(batch Batch) {
	for _, record := range batch.Records {
		config, ok, err := i.decoder.Config(record)
		if err != nil {
			i.log.WithField("error", err.Error()).Error("configuration_unreadable")
			continue
		}
		current := i.Config()
		if !ok || (current != nil && config.Version <= current.Version) {
			continue
		}
		i.config.Store(config)
		i.configChanged.Store(true)
		i.metrics.configVersion.Update(config.Version)
		i.log.WithField("version", config.Version).WithField("queues", len(config.Queues)).Info("configuration_taken")
	}
}

func (i *Instance) term() jobs.Term {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	return i.fold.table.Term()
}

// isLoaded reports whether every followed part has been read completely once.
func (i *Instance) isLoaded() bool {
	for _, f := range i.calls {
		if !f.isLoaded() {
			return false
		}
	}
	return i.work.isLoaded()
}

// refreshTerm reads the outcome of the last claim.
func (i *Instance) refreshTerm(ctx context.Context) {
	if err := i.work.refresh(ctx, 0); err != nil && !errors.Is(err, context.Canceled) {
		i.log.WithField("error", err.Error()).Debug("refresh_failed")
	}
}

// refreshCalls reads all callers' records written by now at any instance.
func (i *Instance) refreshCalls(ctx context.Context) error {
	if len(i.calls) == 0 {
		return i.work.refresh(ctx, 0)
	}
	results := make(chan error, len(i.calls))
	for _, f := range i.calls {
		go func() { results <- f.refresh(ctx, 0) }()
	}
	var lastErr error
	for range i.calls {
		if err := <-results; err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func (i *Instance) newCommitter(part int) *committer {
	c := newCommitter(i.store, i.clock, part)
	c.onAnswer = i.recordStoreAnswer
	c.readBack = func(ctx context.Context, records []jobs.Record) (bool, error) { return i.inLog(ctx, part, records) }
	return c
}

// committerOf returns the committer that appends to a part.
func (i *Instance) committerOf(part int) *committer { return i.committers[max(0, part-1)] }

// followerOf returns the follower of a part of the work stream.
func (i *Instance) followerOf(part int) *follower {
	if part == statePart {
		return i.work
	}
	return i.calls[part-1]
}

// wakeFollowers makes the followers continue at once at the leader's read intervals.
func (i *Instance) wakeFollowers() {
	i.work.wake()
	for _, f := range i.calls {
		f.wake()
	}
}

// inLog reads a part of the log and reports whether it contains all of the records.
func (i *Instance) inLog(ctx context.Context, part int, records []jobs.Record) (bool, error) {
	if err := i.followerOf(part).refresh(ctx, 0); err != nil {
		return false, err
	}
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	for _, record := range records {
		if !i.fold.table.Contains(record) {
			return false, nil
		}
	}
	return true, nil
}
