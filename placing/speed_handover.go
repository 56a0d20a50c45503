package placing

import (
	"fmt"
	"math"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Speeds are kept with the term's state, so that a new leader does not place urgent gangs on slow
// workers until it has seen tasks on all workers again. They are recorded only where workers differ.
const (
	// speedsRecordInterval bounds how often the speeds are recorded. What was learned in that time is
	// lost with the leader; a step of batch work that tells speeds runs for longer.
	speedsRecordInterval = 2 * time.Second
	// minChangedSpeeds is the share of the workers whose estimate has to change for a new record.
	// With fewer changes the former record serves the next leader as well.
	minChangedSpeeds = 1.0 / 16
	// minSpeedChange is the change of an estimate that counts: a gang that takes a twentieth longer is
	// hardly ever late for that.
	minSpeedChange = 0.05
	// inheritedShare is the share of a former leader's samples that count: a worker may have changed
	// since, and what this leader sees itself is to outweigh it within four runs.
	inheritedShare = 0.5
)

// speedsHandover is what the engine has inherited and recorded of the speeds of workers.
type speedsHandover struct {
	inherited  map[uint64]speedEstimate // by incarnation; bounded by the record
	recordedAt time.Time                // when they were last recorded or loaded
}

// LoadSpeeds takes over the speeds that a former leader has recorded; nil means none. Estimates of
// incarnations that are never listed have no effect. It is called before LoadJobs.
func (e *Engine) LoadSpeeds(speeds *jobs.Speeds, now time.Time) {
	e.speedsHandover.recordedAt = now
	if speeds == nil || len(speeds.Workers) == 0 {
		return
	}
	e.speedsHandover.inherited = make(map[uint64]speedEstimate, len(speeds.Workers))
	for _, worker := range speeds.Workers {
		count := max(1, math.Floor(inheritedShare*min(maxSpeedSamples, float64(worker.Samples))))
		e.speedsHandover.inherited[worker.Incarnation] = speedEstimate{logSum: count * worker.LogSpeed, count: count}
	}
	e.speedVariance = speedVariance{variance: speeds.Variance, pairs: minSpeedPairs, significant: speeds.Variance > speedVarianceOff}
	e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "speeds_loaded",
		Detail: fmt.Sprintf("workers %d variance %.4f significant %t", len(speeds.Workers), speeds.Variance, e.speedVariance.significant)})
}

// inheritSpeed gives a new node the estimate that a former leader had of its incarnation.
func (e *Engine) inheritSpeed(n *node) {
	if len(e.speedsHandover.inherited) == 0 {
		return
	}
	n.speed = e.speedsHandover.inherited[jobs.IncarnationHash(n.entry.ID)]
	n.recordedSpeed = n.speed.factor()
}

// recordSpeeds adds the record of the workers' speeds to a group of progress if one is due. So it
// costs no call to the store, and is fenced and resolved as the group is. A full group gets none.
func (e *Engine) recordSpeeds(now time.Time) {
	full := len(e.changedJobs) > 0
	if full || !e.speedVariance.significant || now.Sub(e.speedsHandover.recordedAt) < speedsRecordInterval {
		return
	}
	e.speedsHandover.recordedAt = now // counting the changes costs a pass over the workers too
	if e.speedsChanged() {
		e.plan.Records = append(e.plan.Records, e.speedsRecord())
	}
}

// speedsRecord returns the record of the estimates that there are now.
func (e *Engine) speedsRecord() jobs.Record {
	speeds := &jobs.Speeds{Variance: e.speedVariance.variance}
	for _, n := range e.nodeOrder {
		n.recordedSpeed = n.speed.factor()
		if n.speed.count == 0 {
			continue
		}
		speeds.Workers = append(speeds.Workers, jobs.WorkerSpeed{
			Incarnation: jobs.IncarnationHash(n.entry.ID), LogSpeed: n.speed.logSum / n.speed.count, Samples: int(n.speed.count)})
	}
	return jobs.SpeedsRecord(speeds)
}

// speedsChanged reports whether the speeds differ enough from those that were last recorded.
func (e *Engine) speedsChanged() bool {
	changed := 0
	for _, n := range e.nodeOrder {
		if n.speed.count > 0 && math.Abs(n.speed.factor()-n.recordedSpeed) >= minSpeedChange*n.recordedSpeed {
			changed++
		}
	}
	return changed > 0 && float64(changed) >= minChangedSpeeds*float64(len(e.nodeOrder))
}

// SpeedsStatus tells how much is known of the speeds of workers, for operators.
type SpeedsStatus struct {
	Significant bool `json:"significant"` // workers differ, so that their speeds count
	Known       int  `json:"known"`       // workers with an estimate
	Unknown     int  `json:"unknown"`
}

// SpeedsStatus returns how much is known of the speeds of the listed workers.
func (e *Engine) SpeedsStatus() SpeedsStatus {
	status := SpeedsStatus{Significant: e.speedVariance.significant}
	for _, n := range e.nodeOrder {
		switch {
		case !n.listed:
		case n.speed.count > 0:
			status.Known++
		default:
			status.Unknown++
		}
	}
	return status
}
