package scheduler

import (
	"math"
	"sort"
)

// Constants of the run time estimates.
const (
	sampleWindow  = 64
	minSamples    = 5
	planQuantile  = 0.75 // for slack and reservations
	luckyQuantile = 0.2  // for calling a target hopeless
)

// history is what was seen of one class in one workspace: the newest run times
// and their ratios to what was declared.
type history struct {
	spans  []float64
	ratios []float64
	sorted bool
	byTime []float64
	byRate []float64
}

// estimator learns run times. Declared times are hints: whichever of the plain
// run time and its ratio to the declared one has been steadier is used.
type estimator struct {
	known map[groupName]*history
}

// groupName is the unit in which run times are learned.
type groupName struct {
	workspace string
	class     string
}

func newEstimator() *estimator { return &estimator{known: map[groupName]*history{}} }

// learn takes in a finished run.
func (e *estimator) learn(job *job, took Time) {
	name := groupName{job.spec.Workspace, job.spec.Class}
	h := e.known[name]
	if h == nil {
		h = &history{}
		e.known[name] = h
	}
	h.spans = pushSample(h.spans, float64(took))
	if job.spec.Declared > 0 {
		h.ratios = pushSample(h.ratios, float64(took)/float64(job.spec.Declared))
	}
	h.sorted = false
}

func pushSample(samples []float64, value float64) []float64 {
	if len(samples) == sampleWindow {
		copy(samples, samples[1:])
		samples = samples[:sampleWindow-1]
	}
	return append(samples, value)
}

func (h *history) sort() {
	if h.sorted {
		return
	}
	h.byTime = sortedCopy(h.byTime, h.spans)
	h.byRate = sortedCopy(h.byRate, h.ratios)
	h.sorted = true
}

func sortedCopy(into, samples []float64) []float64 {
	into = append(into[:0], samples...)
	sort.Float64s(into)
	return into
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// spread is how unsteady samples are, on a logarithmic scale.
func spread(sorted []float64) float64 {
	low := max(quantile(sorted, 0.2), 1e-9)
	high := max(quantile(sorted, 0.8), 1e-9)
	return math.Log(high / low)
}

// estimate returns the whole run time at a quantile.
func (e *estimator) estimate(job *job, q float64) Time {
	h := e.known[groupName{job.spec.Workspace, job.spec.Class}]
	if h == nil || len(h.spans) < minSamples {
		return unseenEstimate(job)
	}
	h.sort()
	if job.spec.Declared > 0 && len(h.byRate) >= minSamples && spread(h.byRate) < spread(h.byTime) {
		return Time(quantile(h.byRate, q) * float64(job.spec.Declared))
	}
	return Time(quantile(h.byTime, q))
}

// unseenEstimate serves until enough runs were seen: what was declared, but at
// most half of what the target allows.
func unseenEstimate(job *job) Time {
	allowed := (job.spec.Deadline - job.spec.Submit) / 2
	if job.spec.Declared <= 0 {
		return allowed
	}
	return min(job.spec.Declared, allowed)
}

// remaining estimates how long a run will still take.
func (e *estimator) remaining(r *run, now Time) Time {
	elapsed := r.job.progress + now - r.started
	whole := e.estimate(r.job, planQuantile)
	if whole > elapsed {
		return whole - elapsed
	}
	return elapsed/2 + Second
}

// overdueFactor times its estimate a run has taken when nothing more is expected of it.
const overdueFactor = 2.5

// longOverdue reports whether a run has taken so long that its estimate says nothing.
func (e *estimator) longOverdue(r *run, now Time) bool {
	took := r.job.progress + now - r.started
	return float64(took) >= overdueFactor*float64(e.estimate(r.job, planQuantile))
}
