package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/batch"
	"github.com/teaselcleat/teaselcleat/ingress"
	"github.com/teaselcleat/teaselcleat/logsink"
	"github.com/teaselcleat/teaselcleat/platform"
	"github.com/teaselcleat/teaselcleat/relay"
)

const (
	// frontGCPercent is the heap growth between garbage collections in percent. It is low
	// because peak memory is expensive for the users, and the heap has only a few
	// megabytes.
	frontGCPercent = 60
	// loadBalancerRemovalDelay is how long a stopping instance still accepts connections. The
	// platform's load balancer checks once a second and removes an instance after two failed
	// checks.
	loadBalancerRemovalDelay = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period that is left after the wait for calls,
	// to stop the relay and the instance and to close the servers, and answerReserve the part of the
	// wait that is left for the answers to calls that were ended; see planShutdown.
	shutdownReserve = 700 * time.Millisecond
	answerReserve   = 200 * time.Millisecond
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 32 << 10
)

// callTimeouts are those of a caller's connection.
var callTimeouts = ingress.Timeouts{Header: 5 * time.Second, Body: 5 * time.Second, Answer: 5 * time.Second, Idle: 30 * time.Second}

// probeLimits bound the connections for readiness, and those for the metrics.
var probeLimits = ingress.Limits{Connections: 64, Bytes: 1 << 20}

// runFront implements the subcommand front: it runs an instance on the users' platform,
// configured by the platform's settings file (platform.Settings). The settings file that
// package settings reads is for the subcommand serve.
func runFront(args []string, to output) int {
	flags := newFlags("front", to)
	path := flags.String("settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	metricsPort := flags.Int("metrics-port", 0, "port at which the platform reads the instance's metrics; 0 for none")
	if code, ok := parse(flags, args, 0, 0, to); !ok {
		return code
	}
	loaded, err := platform.ReadSettings(*path)
	if err != nil {
		fmt.Fprintln(to.err, err.Error())
		return ExitUsage
	}
	debug.SetGCPercent(frontGCPercent)
	setMemoryLimit(loaded.MemoryMB)
	sink := logsink.New()
	logContext, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		sink.Run(logContext, to.out)
		close(logDone)
	}()
	defer func() {
		stopLog()
		<-logDone
	}()
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logTimeFormat})
	entry := log.WithField("instance", loaded.Name)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	process := newFrontProcess(loaded, entry, *metricsPort)
	if err := process.start(); err != nil {
		return fail(to, "front", err)
	}
	process.pollSettings(*path, signals)
	process.stop()
	return ExitOK
}

// pollSettings adopts changes of the settings file until a signal requests a stop. It
// reads the file on SIGHUP and periodically, as the file may change without a signal.
func (p *frontProcess) pollSettings(path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	file := settingsFile{path: path}
	for {
		select {
		case <-ticker.C:
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
			p.log.Info("settings_signal")
		}
		p.applySettings(file.readIfChanged())
	}
}

// frontProcess is an instance with its HTTP servers.
type frontProcess struct {
	settings  *platform.Settings
	log       *logrus.Entry
	store     *platform.Store
	workers   *platform.Workers
	instance  *batch.Instance
	gate      *ingress.Gate // of the callers' connections
	front     *boundedServer
	ready     *boundedServer
	metrics   *boundedServer     // nil if metrics have no port of their own
	stopGate  context.CancelFunc // stops the reports of gate
	stopRelay context.CancelFunc // nil while no calls of other instances are served
	endCalls  context.CancelFunc // ends the contexts of all calls, which are then answered at once
}

func newFrontProcess(loaded *platform.Settings, log *logrus.Entry, metricsPort int) *frontProcess {
	registry := metrics.NewRegistry()
	store := platform.NewStore(loaded.StoreAddress)
	workers := platform.NewWorkers(loaded.AdviceAddress)
	instance := batch.New(loaded.Settings, store, platform.Decoder{}, workers, registry, log)
	log.Logger.AddHook(logPositionHook{instance})
	callsContext, endCalls := context.WithCancel(context.Background())
	process := &frontProcess{
		endCalls: endCalls,
		settings: loaded,
		log:      log,
		store:    store,
		workers:  workers,
		instance: instance,
		gate:     ingress.NewGate("front", callerLimits(loaded), registry),
	}
	process.front = newBoundedServer(process.gate, loaded.FrontAddress, platform.FrontHandler(instance))
	process.ready = newBoundedServer(ingress.NewGate("ready", probeLimits, registry), loaded.ReadyAddress, platform.ReadyHandler(instance, registry))
	process.front.BaseContext = func(net.Listener) context.Context { return callsContext }
	if metricsPort > 0 {
		address := net.JoinHostPort(loaded.IP, strconv.Itoa(metricsPort))
		process.metrics = newBoundedServer(ingress.NewGate("metrics", probeLimits, registry), address, platform.MetricsHandler(registry))
	}
	return process
}

// callerLimits returns the limits of callers' connections.
func callerLimits(loaded *platform.Settings) ingress.Limits {
	return ingress.LimitsFor(loaded.MemoryMB<<20, int(loaded.MaxFDs), platform.DefaultMaxBodyBytes)
}

// boundedServer is an HTTP server with the gate of its connections.
type boundedServer struct {
	*http.Server
	gate *ingress.Gate
}

func newBoundedServer(gate *ingress.Gate, address string, handler http.Handler) *boundedServer {
	server := gate.NewServer(handler, callTimeouts, maxHeaderBytes)
	server.Addr = address
	return &boundedServer{Server: server, gate: gate}
}

// logPositionField is the log field with the position up to which the instance has read
// the platform's log.
const logPositionField = "log_at"

// logPositionHook adds logPositionField to every log line.
type logPositionHook struct {
	instance *batch.Instance
}

// Levels implements logrus.Hook.
func (logPositionHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h logPositionHook) Fire(entry *logrus.Entry) error {
	entry.Data[logPositionField] = h.instance.LogOffset()
	return nil
}

func (p *frontProcess) start() error {
	for _, server := range []*boundedServer{p.front, p.ready} {
		listener, err := listen(server.Addr)
		if err != nil {
			return err
		}
		go p.serve(server, listener)
	}
	p.serveMetrics()
	reports, stopReports := context.WithCancel(context.Background())
	p.stopGate = stopReports
	go p.gate.Report(reports, p.log)
	// The field terms holds the parts of the platform's contract that are in force.
	p.log.WithField("terms", strings.Join(p.settings.Contracts, ",")).Info("settings_read")
	p.logUnsupportedDuties()
	p.instance.Start()
	return p.serveRelay()
}

// logUnsupportedDuties logs an error with the duties of machine management that the
// deployment requests. None is implemented; the instance starts without them.
func (p *frontProcess) logUnsupportedDuties() {
	if len(p.settings.Duties) > 0 {
		p.log.WithField("duties", strings.Join(p.settings.Duties, ",")).Error("duties_not_served")
	}
}

func (p *frontProcess) serve(server *boundedServer, listener net.Listener) {
	if err := server.Serve(server.gate.Listen(listener)); err != http.ErrServerClosed {
		p.log.WithField("error", err.Error()).Error("server_ended")
	}
}

// serveMetrics serves the metrics on a port of their own. If the port is taken, the
// instance runs without it.
func (p *frontProcess) serveMetrics() {
	if p.metrics == nil {
		return
	}
	listener, err := listen(p.metrics.Addr)
	if err != nil {
		p.log.WithField("error", err.Error()).Error("metrics_not_shown")
		return
	}
	go p.serve(p.metrics, listener)
}

// serveRelay serves the calls of other instances.
func (p *frontProcess) serveRelay() error {
	if p.settings.RelayAddress == "" {
		return nil
	}
	listener, err := listen(p.settings.RelayAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.stopRelay = cancel
	go relay.Serve(ctx, listener, p.instance.HandleRelayedCall, p.instance.ServeDelegation)
	return nil
}

// shutdownTimes are the parts of the grace period in which a process stops.
type shutdownTimes struct {
	accept   time.Duration // still accepts connections
	finish   time.Duration // then lets calls finish
	endCalls time.Duration // part of finish after which calls are ended and answered at once
}

// planShutdown divides the grace period. Half of it, less a reserve, is for calls to finish.
func planShutdown(grace time.Duration) shutdownTimes {
	finish := grace/2 - min(shutdownReserve, grace/4)
	return shutdownTimes{
		accept:   min(loadBalancerRemovalDelay, grace/2),
		finish:   finish,
		endCalls: finish - min(answerReserve, finish/2),
	}
}

// stop drains the instance, waits until the load balancer sends no more connections, lets
// calls finish and stops within the grace period.
func (p *frontProcess) stop() {
	p.instance.Drain()
	times := planShutdown(p.settings.GracePeriod)
	time.Sleep(times.accept)
	if err := finishCalls(p.front.Server, p.endCalls, times); err != nil {
		p.log.WithField("error", err.Error()).Warn("calls_cut")
	}
	if p.stopRelay != nil {
		p.stopRelay()
	}
	p.instance.Stop()
	p.stopGate()
	p.ready.Close()
	if p.metrics != nil {
		p.metrics.Close()
	}
}

// finishCalls closes the listener and waits for the calls in progress. Those that take longer are ended
// in time for a complete answer: a caller cannot tell a cut connection from a job that runs.
func finishCalls(server *http.Server, endCalls context.CancelFunc, times shutdownTimes) error {
	ctx, cancel := context.WithTimeout(context.Background(), times.finish)
	defer cancel()
	timer := time.AfterFunc(times.endCalls, endCalls)
	defer timer.Stop()
	defer endCalls()
	return server.Shutdown(ctx)
}
