// Package instance implements an instance that serves the product's own interface
// (subcommand serve). Its duties, one goroutine each, perform the I/O for the decisions
// that the pure packages make. Package batch implements an instance on the users' platform.
package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/adapters/fronthttp"
	"github.com/teaselcleat/teaselcleat/hlc"
	"github.com/teaselcleat/teaselcleat/ingress"
	"github.com/teaselcleat/teaselcleat/kernel"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/peers"
	"github.com/teaselcleat/teaselcleat/replica"
	"github.com/teaselcleat/teaselcleat/settings"
	"github.com/teaselcleat/teaselcleat/timeline"
	"github.com/teaselcleat/teaselcleat/upstream"
	"github.com/teaselcleat/teaselcleat/worker"
)

// instanceLostAfter is the time without a message after which an instance counts as lost. Other
// instances may then close its open claims.
const instanceLostAfter = 15 * time.Second

// Instance is one process that serves callers and operators. It implements service.Service.
type Instance struct {
	settings  *settings.Settings
	boot      int64
	identity  string
	log       *logrus.Entry
	events    *timeline.Recorder
	registry  metrics.Registry
	now       func() time.Time
	startedAt time.Time

	platformLog  logstream.Log
	instanceList membership.InstanceList
	runner       upstream.Runner
	workerClient worker.Client

	replica       *replica.Replica
	ledgerWriter  *logstream.Writer
	refusalWriter *logstream.Writer
	ledgerTailer  *logstream.Tailer
	targetsTailer *logstream.Tailer
	link          *peers.Link
	peerSync      *peerSync
	listPoller    *listPoller
	slots         *slotAllocator
	placer        *placer
	refusals      *refusalLog

	snapshotAgeMS atomic.Int64 // age of the snapshot of a peer that was restored at start; 0 if none was
	draining      atomic.Bool
	inFlight      atomic.Int64

	kernel       *kernel.Kernel
	httpListener net.Listener
	peerListener net.Listener
	gate         *ingress.Gate // of callers' connections
	server       *http.Server
}

// New builds an instance from validated settings and opens its two listeners. The
// adapters named in the settings must be registered.
func New(s *settings.Settings, log *logrus.Logger) (*Instance, error) {
	now := time.Now
	boot := now().UnixMilli()
	entry := log.WithField("instance", s.Name)
	i := &Instance{
		settings:  s,
		boot:      boot,
		identity:  s.Name + "/" + strconv.FormatInt(boot, 10),
		log:       entry,
		events:    timeline.NewRecorder(s.Name, hlc.New(now), s.MaxTimelineEvents),
		registry:  metrics.NewRegistry(),
		now:       now,
		startedAt: now(),
		kernel:    kernel.New(entry),
	}
	if err := i.openAdapters(); err != nil {
		return nil, err
	}
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.build()
	return i, nil
}

func (i *Instance) openAdapters() error {
	env := &kernel.Env{Settings: i.settings, Log: i.log, Timeline: i.events, Metrics: i.registry, Now: i.now}
	var err error
	if i.platformLog, err = kernel.Open[logstream.Log](env, kernel.PointLog, i.settings.Adapter); err != nil {
		return err
	}
	if i.instanceList, err = kernel.Open[membership.InstanceList](env, kernel.PointInstanceList, i.settings.Adapter); err != nil {
		return err
	}
	if i.runner, err = kernel.Open[upstream.Runner](env, kernel.PointRunner, i.settings.Adapter); err != nil {
		return err
	}
	i.workerClient, err = kernel.Open[worker.Client](env, kernel.PointWorker, i.settings.Adapter)
	return err
}

func (i *Instance) listen() error {
	var err error
	if i.httpListener, err = net.Listen("tcp", i.settings.HTTPAddress); err != nil {
		return eris.Wrap(err, "HTTP listener")
	}
	if i.peerListener, err = net.Listen("tcp", i.settings.PeerAddress); err != nil {
		i.httpListener.Close()
		return eris.Wrap(err, "peer listener")
	}
	return nil
}

func (i *Instance) build() {
	i.replica = replica.New(i.identity)
	i.ledgerWriter = logstream.NewWriter(i.platformLog, logstream.StreamLedger, logstream.ForegroundInterval, i.settings.PendingRecords, i.registry)
	i.refusalWriter = logstream.NewWriter(i.platformLog, logstream.StreamRefusals, logstream.BackgroundInterval, i.settings.PendingRecords, i.registry)
	i.ledgerTailer = logstream.NewTailer(i.platformLog, logstream.StreamLedger, i.replica.LedgerSink(), i.now)
	i.targetsTailer = logstream.NewTailer(i.platformLog, logstream.StreamTargets, i.replica.TargetsSink(), i.now)
	i.refusals = newRefusalLog(i.refusalWriter, i.identity)
	i.slots = newSlotAllocator(rand.Uint64())
	i.peerSync = newPeerSync(i)
	i.link = peers.New(i.settings.Name, i.boot, i.events.Clock(), i.peerSync.handleMessage, i.log, i.now)
	i.listPoller = newListPoller(i)
	i.placer = newPlacer(i)
	i.replica.Observe(i)
	i.buildServer()
	i.addDuties()
}

// headerTimeout and maxHeaderBytes bound the header of a request.
const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 32 << 10
)

func (i *Instance) buildServer() {
	limits := ingress.LimitsFor(i.settings.MemoryMB<<20, i.settings.MaxFDs, i.settings.MaxBodyBytes)
	i.gate = ingress.NewGate("front", limits, i.registry)
	timeouts := ingress.Timeouts{
		Header: headerTimeout,
		Body:   i.settings.BodyTimeout,
		Answer: i.settings.AnswerTimeout,
		Idle:   i.settings.IdleTimeout,
	}
	i.server = i.gate.NewServer(fronthttp.Handler(i, i.registry), timeouts, maxHeaderBytes)
}

func (i *Instance) addDuties() {
	i.kernel.AddDuty("peer_listener", func(ctx context.Context) { i.link.Serve(ctx, i.peerListener) })
	i.kernel.AddDuty("roster", i.listPoller.run)
	i.kernel.AddDuty("ledger_writer", i.ledgerWriter.Run)
	i.kernel.AddDuty("refusal_writer", i.refusalWriter.Run)
	i.kernel.AddDuty("streams", i.readStreams)
	i.kernel.AddDuty("dispatcher", i.slots.run)
	i.kernel.AddDuty("bridge", i.peerSync.run)
	i.kernel.AddDuty("placer", i.placer.run)
	i.kernel.AddDuty("ingress", func(ctx context.Context) { i.gate.Report(ctx, i.log) })
	i.kernel.AddDuty("keeper", newMaintainer(i).run)
	i.kernel.AddDrainer("requests", i.drainRequests)
	i.kernel.AddDrainer("placer", i.placer.drain)
	i.kernel.AddDrainer("ledger_writer", i.ledgerWriter.Flush)
	i.kernel.AddDrainer("refusal_writer", i.refusalWriter.Flush)
}

// Start runs the duties and serves HTTP. It returns at once.
func (i *Instance) Start() {
	i.kernel.Start()
	go func() {
		if err := i.server.Serve(i.gate.Listen(i.httpListener)); err != nil && !eris.Is(err, http.ErrServerClosed) {
			i.log.WithField("error", err.Error()).Error("http_server_ended")
		}
	}()
	i.log.WithField("http", i.HTTPAddress()).WithField("peer", i.PeerAddress()).WithField("boot", i.boot).Info("instance_started")
}

// HTTPAddress returns the address of the HTTP listener.
func (i *Instance) HTTPAddress() string { return i.httpListener.Addr().String() }

// PeerAddress returns the address of the listener for peers.
func (i *Instance) PeerAddress() string { return i.peerListener.Addr().String() }

// Stop drains and stops the instance. It reports whether all work in progress ended
// within the drain timeout of the settings.
func (i *Instance) Stop() bool {
	i.draining.Store(true)
	i.log.Info("draining")
	i.events.Add("draining", i.settings.Name, "", "")
	clean := i.kernel.Drain(i.settings.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := i.server.Shutdown(ctx); err != nil {
		i.server.Close()
	}
	i.kernel.Stop()
	i.log.WithField("clean", clean).Info("stopped")
	return clean
}

// Kill stops the instance without draining, as a crash would. Tests and the dev
// command use it.
func (i *Instance) Kill() {
	i.server.Close()
	i.kernel.Stop()
}

// drainRequests waits until no request is in progress. Meanwhile the instance still
// accepts connections, as the load balancer may not have removed it yet, and refuses
// new requests as not run.
func (i *Instance) drainRequests(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for i.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// ready reports whether the folded state is usable: the streams are read to the end,
// or the state was restored from a peer during an outage of the log.
func (i *Instance) ready() bool {
	if i.replica.HasGap() {
		return false
	}
	return i.snapshotAgeMS.Load() > 0 || (i.ledgerTailer.CaughtUp() && i.targetsTailer.CaughtUp())
}

// logAvailable reports whether appends are acknowledged and reads are recent enough
// for appended records to be read back.
func (i *Instance) logAvailable() bool {
	tailer := i.ledgerTailer
	return i.ledgerWriter.Available() && tailer.CaughtUp() && !tailer.Failing() && tailer.Staleness() < staleAfter
}

// staleAfter is the time since the last successful read after which the fold counts as
// stale. A long poll of an idle stream returns sooner, so an idle stream is not stale.
const staleAfter = 4 * time.Second
