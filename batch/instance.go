package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
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
	// standbyPause is the pause after a read of the work stream that brought
	// records, on instances that do not place: each read costs a call, and a
	// state may be this much older.
	standbyPause = 100 * time.Millisecond
	// holderPause is the same on the instance that places.
	holderPause = 15 * time.Millisecond
	// configPause follows a new configuration.
	configPause = 20 * time.Millisecond
)

// Instance is one process that serves jobs.
type Instance struct {
	settings Settings
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
	operator      *follower
	work          *follower
	fold          *workFold
	committer     *committer

	draining      atomic.Bool
	handOver      chan struct{} // closed when the term is to be given up
	claimed       jobs.Term     // the last claim of this process
	claimSequence int64
}

// New returns an instance that has not started.
func New(settings Settings, store Store, decoder Decoder, workers Workers, registry metrics.Registry, log *logrus.Entry) *Instance {
	boot := strconv.FormatUint(rand.Uint64(), 36)
	i := &Instance{
		settings: settings,
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
	i.committer = newCommitter(store)
	i.operator = i.newFollower(StreamOperator, i.applyConfig, func() time.Duration { return configPause })
	i.work = i.newFollower(StreamWork, i.fold.apply, i.workPause)
	i.kernel.AddDuty("configuration", i.operator.run)
	i.kernel.AddDuty("work", i.work.run)
	i.kernel.AddDuty("commit", i.committer.run)
	i.kernel.AddDuty("placing", i.placingDuty)
	return i
}

func (i *Instance) newFollower(stream Stream, apply func(Batch), gap func() time.Duration) *follower {
	return &follower{store: i.store, stream: stream, log: i.log, clock: i.clock, apply: apply, gap: gap}
}

func (i *Instance) workPause() time.Duration {
	if i.fold.watching {
		return holderPause
	}
	return standbyPause
}

func (i *Instance) limits() placing.Limits {
	return placing.Limits{
		Lease:        i.settings.Lease,
		StopWithin:   i.settings.StopWithin,
		GangWait:     i.settings.GangWait,
		Reclaim:      i.settings.Reclaim,
		KeepEnded:    i.settings.KeepEnded,
		Restore:      i.settings.Restore,
		RemoteFactor: i.settings.RemoteFactor,
		HolderGone:   holderGone,
	}
}

func (i *Instance) randomSequence() int64 { return rand.Int64N(1 << 40) }

// Start runs the duties and returns at once.
func (i *Instance) Start() {
	i.kernel.Start()
	i.log.WithField("holder", i.holder).Info("instance_started")
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
	return i.Config() != nil && i.work.inContact() && !i.draining.Load()
}

// Draining reports whether the instance is about to end.
func (i *Instance) Draining() bool { return i.draining.Load() }

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
	i.work.lock.Lock()
	defer i.work.lock.Unlock()
	return i.fold.table.Term()
}

func (i *Instance) refreshWork(ctx context.Context) {
	if err := i.work.refresh(ctx); err != nil && !errors.Is(err, context.Canceled) {
		i.log.WithField("error", err.Error()).Debug("refresh_failed")
	}
}
