package batch

import "github.com/rcrowley/go-metrics"

// sampleSize bounds the memory of a latency histogram.
const sampleSize = 256

// instruments are the metrics of an instance. Times are in microseconds.
type instruments struct {
	registry      metrics.Registry
	leading       metrics.Gauge     // 1 on the instance that places
	stalled       metrics.Gauge     // 1 on the instance that places while it cannot write progress
	configVersion metrics.Gauge     // version in force here
	appendTime    metrics.Histogram // of the holder's appends
	submitTime    metrics.Histogram // from a submission's arrival to its answer
	startTime     metrics.Histogram // of orders to start
	sessions      metrics.Gauge     // instances that keep workers for this one
	ownWorkers    metrics.Gauge     // workers that the holder drives itself
	moving        metrics.Gauge     // workers that are being handed over
	evacuated     metrics.Gauge     // availability zones that get nothing new
}

func newInstruments(registry metrics.Registry) *instruments {
	made := &instruments{
		registry:      registry,
		leading:       metrics.NewRegisteredGauge("term.leading", registry),
		stalled:       metrics.NewRegisteredGauge("term.stalled", registry),
		configVersion: metrics.NewRegisteredGauge("configuration.version", registry),
	}
	made.sessions = metrics.NewRegisteredGauge("sharing.sessions", registry)
	made.ownWorkers = metrics.NewRegisteredGauge("sharing.own_workers", registry)
	made.moving = metrics.NewRegisteredGauge("sharing.moving", registry)
	made.evacuated = metrics.NewRegisteredGauge("zones.evacuated", registry)
	made.appendTime = made.histogram("store.append_us")
	made.submitTime = made.histogram("calls.submit_us")
	made.startTime = made.histogram("workers.start_us")
	return made
}

func (m *instruments) histogram(name string) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, m.registry, metrics.NewUniformSample(sampleSize))
}

func (m *instruments) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}
