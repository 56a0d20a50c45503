package scheduler

import (
	"math"
	"sort"
)

// Parameters of the run time estimates.
const (
	maxSamples         = 64
	minSamples         = 5
	planQuantile       = 0.75 // for slack and reservations
	optimisticQuantile = 0.2  // for deciding that a target is missed
)

// history holds the newest run times of one class in one workspace and their ratios to the
// declared run times.
type history struct {
	runTimes     []float64
	ratios       []float64
	sorted       bool
	sortedTimes  []float64
	sortedRatios []float64
}

// estimator learns run times. Declared run times are hints: an estimate uses either the run
// times or their ratios to the declared ones, whichever vary less.
type estimator struct {
	histories map[classKey]*history
}

// classKey identifies a class in a workspace, for which run times are learned.
type classKey struct {
	workspace string
	class     string
}

func newEstimator() *estimator { return &estimator{histories: map[classKey]*history{}} }

// record adds the run time of a finished job.
func (e *estimator) record(job *job, runTime Time) {
	key := classKey{job.spec.Workspace, job.spec.Class}
	h := e.histories[key]
	if h == nil {
		h = &history{}
		e.histories[key] = h
	}
	h.runTimes = pushSample(h.runTimes, float64(runTime))
	if job.spec.DeclaredRunTime > 0 {
		h.ratios = pushSample(h.ratios, float64(runTime)/float64(job.spec.DeclaredRunTime))
	}
	h.sorted = false
}

func pushSample(samples []float64, value float64) []float64 {
	if len(samples) == maxSamples {
		copy(samples, samples[1:])
		samples = samples[:maxSamples-1]
	}
	return append(samples, value)
}

func (h *history) sort() {
	if h.sorted {
		return
	}
	h.sortedTimes = sortedCopy(h.sortedTimes, h.runTimes)
	h.sortedRatios = sortedCopy(h.sortedRatios, h.ratios)
	h.sorted = true
}

func sortedCopy(buf, samples []float64) []float64 {
	buf = append(buf[:0], samples...)
	sort.Float64s(buf)
	return buf
}

// quantile returns the q-quantile of sorted samples, rounded to the nearest sample.
func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// spread is the logarithm of the ratio between a high and a low quantile of the samples.
func spread(sorted []float64) float64 {
	low := max(quantile(sorted, 0.2), 1e-9)
	high := max(quantile(sorted, 0.8), 1e-9)
	return math.Log(high / low)
}

// estimate returns the total run time of a job at a quantile.
func (e *estimator) estimate(job *job, q float64) Time {
	h := e.histories[classKey{job.spec.Workspace, job.spec.Class}]
	if h == nil || len(h.runTimes) < minSamples {
		return defaultEstimate(job)
	}
	h.sort()
	if job.spec.DeclaredRunTime > 0 && len(h.sortedRatios) >= minSamples && spread(h.sortedRatios) < spread(h.sortedTimes) {
		return Time(quantile(h.sortedRatios, q) * float64(job.spec.DeclaredRunTime))
	}
	return Time(quantile(h.sortedTimes, q))
}

// defaultEstimate is used until there are minSamples run times: the declared run time, but at
// most half of the time that the target allows.
func defaultEstimate(job *job) Time {
	allowed := (job.spec.Deadline - job.spec.SubmitTime) / 2
	if job.spec.DeclaredRunTime <= 0 {
		return allowed
	}
	return min(job.spec.DeclaredRunTime, allowed)
}

// remainingTime estimates the remaining time of a run.
func (e *estimator) remainingTime(r *run, now Time) Time {
	elapsed := r.job.progress + now - r.started
	total := e.estimate(r.job, planQuantile)
	if total > elapsed {
		return total - elapsed
	}
	return elapsed/2 + Second
}

// overdueFactor is the multiple of its estimate after which a run is long overdue.
const overdueFactor = 2.5

// longOverdue reports whether a run has taken so long that its estimate is of no use.
func (e *estimator) longOverdue(r *run, now Time) bool {
	elapsed := r.job.progress + now - r.started
	return float64(elapsed) >= overdueFactor*float64(e.estimate(r.job, planQuantile))
}
