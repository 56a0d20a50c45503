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
func (c *delayCheck) trackIdlePools() {
	pools := c.engine.idlePools
	for _, n := range c.engine.nodeOrder {
		pool := n.entry.Pool
		last := pools[pool]
		switch {
		case last.sampledAt.Equal(c.now):
		case c.poolShareInUse(pool) >= idlePoolUse:
			pools[pool] = idlePool{since: time.Time{}, sampledAt: c.now}
		case last.since.IsZero() || c.now.Sub(last.sampledAt) > maxIdleSampleGap:
			pools[pool] = idlePool{since: c.now, sampledAt: c.now}
		default:
			pools[pool] = idlePool{since: last.since, sampledAt: c.now}
		}
	}
}

// shouldLog reports whether the reason that delays a unit is to be logged now.
func (c *delayCheck) shouldLog(unit *unit) bool {
	due := c.now.Sub(unit.step.readyAt) >= delayLogAfter && c.now.Sub(unit.step.delayLoggedAt) >= delayLogInterval
	return due && c.logged < maxDelayLogs
}

// overdue reports whether a unit has waited for longer than users expect in an idle pool with
// ample capacity, under this leader. It is independent of the rules that bound the delay.
func (c *delayCheck) overdue(unit *unit) bool {
	if !unit.expectedToRun() {
		return false
	}
	since := unit.step.readyAt
	for _, task := range unit.tasks {
		since = laterTime(since, task.lastRunEndedAt)
	}
	idle := c.engine.idlePools[unit.job.queue.Pool].since
	return !idle.IsZero() && c.now.Sub(laterTime(idle, since)) >= overdueAfter && c.hasAmpleCapacity(unit)
}

// logDelay logs the preferences that keep a unit from the given placements: as start_overdue if
// the unit is overdue, otherwise as start_held.
func (c *delayCheck) logDelay(unit *unit, placements []placement) {
	c.logged++
	unit.step.delayLoggedAt = c.now
	event := "start_held"
	if c.overdue(unit) {
		event = "start_overdue"
	}
	violated := unit.violatedPreferences(placements, c.headroom[unit.step.class()], c.now)
	c.engine.logEvent(event, unit.job, "", "step "+strconv.Itoa(unit.tasks[0].key.Step)+" tasks "+strconv.Itoa(len(unit.tasks))+
		" tier "+strconv.Itoa(int(unit.tier))+" waited_ms "+strconv.FormatInt(c.now.Sub(unit.step.readyAt).Milliseconds(), 10)+
		" for "+strings.Join(violated, ",")+" room_for "+strconv.Itoa(c.freeFitCount(unit))+
		" pool_used_percent "+strconv.Itoa(int(100*c.poolShareInUse(unit.job.queue.Pool))))
}
