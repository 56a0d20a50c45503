package batch

import "github.com/rcrowley/go-metrics"

// sampleSize bounds the memory of a latency histogram.
const sampleSize = 256

// instruments holds the metrics of an instance. Times are in microseconds.
type instruments struct {
	registry       metrics.Registry
	leading        metrics.Gauge     // 1 on the leader
	stalled        metrics.Gauge     // 1 on the leader while it cannot write progress
	configVersion  metrics.Gauge     // version of the configuration in use
	appendTime     metrics.Histogram // appends of the leader
	submitTime     metrics.Histogram // from the arrival of a submission to its answer
	startTime      metrics.Histogram // start orders
	sessions       metrics.Gauge     // delegates of this leader
	ownWorkers     metrics.Gauge     // workers that the leader dispatches to itself
	movingWorkers  metrics.Gauge     // workers in transfer between instances
	evacuatedZones metrics.Gauge     // evacuated availability zones
	knownSpeeds    metrics.Gauge     // workers whose speed the leader has an estimate of
	unknownSpeeds  metrics.Gauge     // workers whose speed it does not know
	waiting        metrics.Gauge     // hand-ins that wait for the store
}

func newInstruments(registry metrics.Registry) *instruments {
	m := &instruments{
		registry:      registry,
		leading:       metrics.NewRegisteredGauge("term.leading", registry),
		stalled:       metrics.NewRegisteredGauge("term.stalled", registry),
		configVersion: metrics.NewRegisteredGauge("configuration.version", registry),
	}
	m.sessions = metrics.NewRegisteredGauge("sharing.sessions", registry)
	m.ownWorkers = metrics.NewRegisteredGauge("sharing.own_workers", registry)
	m.movingWorkers = metrics.NewRegisteredGauge("sharing.moving", registry)
	m.evacuatedZones = metrics.NewRegisteredGauge("zones.evacuated", registry)
	m.knownSpeeds = metrics.NewRegisteredGauge("speeds.known", registry)
	m.unknownSpeeds = metrics.NewRegisteredGauge("speeds.unknown", registry)
	m.waiting = metrics.NewRegisteredGauge("calls.waiting", registry)
	m.appendTime = m.histogram("store.append_us")
	m.submitTime = m.histogram("calls.submit_us")
	m.startTime = m.histogram("workers.start_us")
	return m
}

func (m *instruments) histogram(name string) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, m.registry, metrics.NewUniformSample(sampleSize))
}

func (m *instruments) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}
