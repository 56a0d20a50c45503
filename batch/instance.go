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
)

const (
	// standbyPause is the pause after a read that brought progress, on instances
	// that do not place: each read costs a call, and who asks for a job's state
	// has the log read at once.
	standbyPause = 1200 * time.Millisecond
	// watchfulPause replaces it on the instances that watch the holder of the term, as
	// they must notice that it is silent, and watchfulWait the wait of their reads: its
	// silence is known as of the end of one.
	watchfulPause = 200 * time.Millisecond
	watchfulWait  = 300 * time.Millisecond
	// callsPause is the same for what callers wrote; the count of waiting jobs
	// may be two seconds old.
	callsPause = 1800 * time.Millisecond
	// holderPause is the same on the instance that places, of what callers wrote,
	// and ownPause of what it wrote itself, which it reads only to see whether an
	// append without an answer took effect.
	holderPause = 15 * time.Millisecond
	ownPause    = 150 * time.Millisecond
	// detailStandby is the same of the progress on those that would place next, so
	// that they have little left to read when they do.
	detailStandby = time.Second
	// yieldTime is how long an instance that has just started leaves the store to those that
	// would place: a claim, the progress and the list take that long.
	yieldTime = 300 * time.Millisecond
	// configPause follows a new configuration.
	configPause = 20 * time.Millisecond
)

// Instance is one process that serves jobs.
type Instance struct {
	settings Settings
	bounds   *bounds
	holder   string // name and boot, as in the term
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
	work          *follower   // of the part with the term and the states
	detail        *follower   // of the part with the progress; nil if it is the same
	calls         []*follower // of the parts that callers' records go to
	fold          *workFold
	foldLock      sync.Mutex
	committers    []*committer // by part, from the first for callers' records on
	helpers       *helpers
	keepings      keepings // sessions in which this instance drives workers for the holder
	chronicle     *chronicle

	draining      atomic.Bool
	leading       atomic.Bool
	sharing       atomic.Pointer[SharingStatus] // nil unless this instance places
	readLostAt    atomic.Int64                  // steady nanoseconds of the newest read, of any stream, without an answer
	asked         atomic.Int64                  // epoch of the holder that asked for its term to be claimed
	stalledAt     atomic.Int64                  // steady nanoseconds of when this instance, placing, last could not write progress
	handOver      chan struct{}                 // closed when the term is to be given up
	claimed       jobs.Term                     // the last claim of this process
	claimSequence int64
}

// New returns an instance that has not started.
func New(settings Settings, store Store, decoder Decoder, workers Workers, registry metrics.Registry, log *logrus.Entry) *Instance {
	boot := strconv.FormatUint(rand.Uint64(), 36)
	i := &Instance{
		settings: settings,
		bounds:   newBounds(settings.Bounds),
		holder:   settings.Name + "/" + boot,
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
	i.fold = newWorkFold(log)
	i.helpers = newHelpers(i.clock)
	i.chronicle = newChronicle(i.clock)
	i.operator = i.newFollower(StreamOperator, 0, &sync.Mutex{}, quietWait)
	i.operator.apply = i.applyOperator
	i.operator.reset = i.evacuations.reset
	i.operator.wait = i.operatorWait
	i.operator.gap = func() time.Duration { return configPause }
	i.work = i.newWorkFollower(statePart)
	if part := detailPart(settings.StoreParts); part != statePart {
		i.detail = i.newDetailFollower(part)
	}
	for part := 1; part <= callPartsOf(settings.StoreParts); part++ {
		i.calls = append(i.calls, i.newCallFollower(part))
		i.committers = append(i.committers, i.newCommitter(part))
	}
	if len(i.committers) == 0 {
		i.committers = append(i.committers, i.newCommitter(statePart))
	}
	i.kernel.AddDuty("configuration", i.operator.run)
	i.kernel.AddDuty("work", i.work.run)
	if i.detail != nil {
		i.kernel.AddDuty("progress", i.detail.run)
	}
	for _, calls := range i.calls {
		i.kernel.AddDuty("calls", calls.run)
	}
	for _, committer := range i.committers {
		i.kernel.AddDuty("commit", committer.run)
	}
	i.kernel.AddDuty("placing", i.placingDuty)
	i.kernel.AddDuty("register", i.register)
	return i
}

func (i *Instance) newFollower(stream Stream, part int, lock *sync.Mutex, wait time.Duration) *follower {
	return &follower{
		store:  i.store,
		stream: stream,
		part:   part,
		log:    i.log,
		clock:  i.clock,
		lock:   lock,
		roused: make(chan struct{}, 1),
		wait:   func() time.Duration { return wait },
		onLost: func() { i.readLostAt.Store(i.clock.Now().UnixNano()) },
	}
}

// newWorkFollower follows one part of the work stream; all share one fold.
func (i *Instance) newWorkFollower(part int) *follower {
	made := i.newFollower(StreamWork, part, &i.foldLock, progressWait)
	made.apply = func(batch Batch) { i.fold.apply(part, batch) }
	made.gap = func() time.Duration { return i.workPause(part) }
	made.wait = func() time.Duration { return i.workWait(part) }
	return made
}

// newCallFollower follows a part with what callers wrote. Instances that would not claim the
// term first leave the store to those that would: where all start at once, what they read
// whole competes with what the next holder needs, its own claim first.
func (i *Instance) newCallFollower(part int) *follower {
	made := i.newWorkFollower(part)
	if claimRank(i.nameHash, i.settings.CPUShare) >= claimSpread {
		made.yields = yieldTime
	}
	return made
}

// newDetailFollower follows the progress of jobs, while this instance places or
// is one of those that would claim a vacant term first.
func (i *Instance) newDetailFollower(part int) *follower {
	made := i.newWorkFollower(part)
	made.gap = i.detailPause
	made.wait = func() time.Duration { return progressWait }
	made.wanted = func() bool { return i.leading.Load() || i.watchful() }
	return made
}

func (i *Instance) detailPause() time.Duration {
	if i.leading.Load() {
		return ownPause
	}
	return detailStandby
}

// workWait is how long a read of a part may wait for records. The holder of the
// term waits shortly everywhere, as a connection that has gone silent would hide
// new jobs from it.
func (i *Instance) workWait(part int) time.Duration {
	switch {
	case part == statePart && !i.leading.Load() && i.watchful():
		return watchfulWait
	case part == statePart:
		return progressWait
	case i.leading.Load():
		return holderWait
	}
	return callsWait
}

func (i *Instance) workPause(part int) time.Duration {
	if i.leading.Load() && part == statePart {
		return ownPause
	}
	if i.leading.Load() {
		return holderPause
	}
	if part != statePart {
		return callsPause
	}
	if i.watchful() {
		return watchfulPause
	}
	return standbyPause
}

func (i *Instance) randomSequence() int64 { return rand.Int64N(1 << 40) }

// Start runs the duties and returns at once.
func (i *Instance) Start() {
	i.kernel.Start()
	i.log.WithField("holder", i.holder).Info("instance_started")
	if i.settings.NotServed != "" {
		i.log.WithField("reason", i.settings.NotServed).Error("jobs_not_served")
	}
}

// Drain says that the instance is to end: it is not ready any more and gives
// the term up, but still serves callers.
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

// Config is the newest configuration, or nil before the first was read. It
// never goes back to an older version.
func (i *Instance) Config() *Config { return i.config.Load() }

// Ready reports whether callers should be sent here.
func (i *Instance) Ready() bool {
	return i.settings.NotServed == "" && i.Config() != nil && i.loaded() && i.work.inContact() && !i.draining.Load()
}

// LogPosition is how far this instance has read the part of the log with the
// term and the states. Whatever it does knows of all before it, so positions
// order what several instances do where clocks differ.
func (i *Instance) LogPosition() int64 { return i.work.at.Load() }

// Draining reports whether the instance is about to end.
func (i *Instance) Draining() bool { return i.draining.Load() }

// applyOperator takes what the operators wrote.
func (i *Instance) applyOperator(batch Batch) {
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

// loaded reports whether the whole fold was read once.
func (i *Instance) loaded() bool {
	for _, calls := range i.calls {
		if !calls.isLoaded() {
			return false
		}
	}
	return i.work.isLoaded()
}

// refreshTerm reads what the last claim brought.
func (i *Instance) refreshTerm(ctx context.Context) {
	if err := i.work.refresh(ctx, 0); err != nil && !errors.Is(err, context.Canceled) {
		i.log.WithField("error", err.Error()).Debug("refresh_failed")
	}
}

// refreshCalls reads all that callers have written by now, at any instance.
func (i *Instance) refreshCalls(ctx context.Context) error {
	if len(i.calls) == 0 {
		return i.work.refresh(ctx, 0)
	}
	results := make(chan error, len(i.calls))
	for _, calls := range i.calls {
		go func() { results <- calls.refresh(ctx, 0) }()
	}
	var failed error
	for range i.calls {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}

func (i *Instance) newCommitter(part int) *committer {
	made := newCommitter(i.store, i.clock, part)
	made.readBack = func(ctx context.Context, records []jobs.Record) (bool, error) { return i.inLog(ctx, part, records) }
	return made
}

// committer is the one that appends a caller's record.
func (i *Instance) committer(record jobs.Record) *committer {
	part := partOf(record.Subject(), i.settings.StoreParts)
	return i.committers[max(0, part-1)]
}

// follower is the one of a part of the work stream.
func (i *Instance) follower(part int) *follower {
	if part == statePart {
		return i.work
	}
	return i.calls[part-1]
}

// rouse has the followers of what the holder needs go on at its pace.
func (i *Instance) rouse() {
	i.work.rouse()
	for _, calls := range i.calls {
		calls.rouse()
	}
}

// inLog reports whether callers' records are in a part of the log, as read now.
func (i *Instance) inLog(ctx context.Context, part int, records []jobs.Record) (bool, error) {
	if err := i.follower(part).refresh(ctx, 0); err != nil {
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
