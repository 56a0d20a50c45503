package placing

import (
	"strconv"
	"strings"
	"time"
)

// maxIdleSampleGap is the longest time between two samples over which a pool still counts as
// idle throughout.
const maxIdleSampleGap = time.Second

// idlePool records since when a pool has been idle and when it was last sampled.
type idlePool struct{ since, sampledAt time.Time }

// trackIdlePools records since when pools have been idle.
func (h *delayCheck) trackIdlePools() {
	pools := h.engine.idlePools
	for _, n := range h.engine.nodeOrder {
		pool := n.entry.Pool
		last := pools[pool]
		switch {
		case last.sampledAt.Equal(h.now):
		case h.shareInUse(pool) >= idlePoolUse:
			pools[pool] = idlePool{since: time.Time{}, sampledAt: h.now}
		case last.since.IsZero() || h.now.Sub(last.sampledAt) > maxIdleSampleGap:
			pools[pool] = idlePool{since: h.now, sampledAt: h.now}
		default:
			pools[pool] = idlePool{since: last.since, sampledAt: h.now}
		}
	}
}

// shouldLog reports whether the reason that delays a unit is to be logged now.
func (h *delayCheck) shouldLog(unit *unit) bool {
	due := h.now.Sub(unit.step.readyAt) >= delayLogAfter && h.now.Sub(unit.step.delayLoggedAt) >= delayLogInterval
	return due && h.logged < maxDelayLogs
}

// overdue reports whether a unit has waited for longer than users expect in an idle pool with
// ample capacity, under this leader. It is independent of the rules that bound the delay.
func (h *delayCheck) overdue(unit *unit) bool {
	if !unit.expectedToRun() {
		return false
	}
	since := unit.step.readyAt
	for _, task := range unit.tasks {
		since = laterTime(since, task.lastRunEndedAt)
	}
	idle := h.engine.idlePools[unit.job.queue.Pool].since
	return !idle.IsZero() && h.now.Sub(laterTime(idle, since)) >= overdueAfter && h.hasAmpleCapacity(unit)
}

// logDelay logs the preferences that keep a unit from the given placements.
func (h *delayCheck) logDelay(unit *unit, placements []placement) {
	h.logged++
	unit.step.delayLoggedAt = h.now
	event := "start_held"
	if h.overdue(unit) {
		event = "start_overdue"
	}
	against := unit.violatedPreferences(placements, h.headroom[unit.step.class()], h.now)
	h.engine.logEvent(event, unit.job, "", "step "+strconv.Itoa(unit.tasks[0].key.Step)+" tasks "+strconv.Itoa(len(unit.tasks))+
		" tier "+strconv.Itoa(int(unit.tier))+" waited_ms "+strconv.FormatInt(h.now.Sub(unit.step.readyAt).Milliseconds(), 10)+
		" for "+strings.Join(against, ",")+" room_for "+strconv.Itoa(h.fitCount(unit))+
		" pool_used_percent "+strconv.Itoa(int(100*h.shareInUse(unit.job.queue.Pool))))
}
