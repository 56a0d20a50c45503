package placing

import (
	"fmt"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// summaryInterval is the time between two log lines on how full the workers are. One line a
// second is easy to read and shows every burst, as bursts last some seconds.
const summaryInterval = time.Second

// unansweredStarts returns the number of runs whose start was ordered and is not answered yet.
func (e *Engine) unansweredStarts() int {
	count := 0
	for _, node := range e.nodeOrder {
		for _, run := range node.runs {
			if run.phase == phaseOrdered {
				count++
			}
		}
	}
	return count
}

// logSummary logs the capacity and usage of the workers and what waits, by tier, and what runs and
// waits by class of work.
func (e *Engine) logSummary(units []*unit, view *view, now time.Time) {
	if now.Sub(e.summarizedAt) < summaryInterval {
		return
	}
	e.summarizedAt = now
	var total, used jobs.Resources
	var usable, stopping, evacuated int64
	for _, node := range e.nodeOrder {
		total = total.Add(node.entry.Capacity)
		used = used.Add(node.used)
		if node.evacuated {
			evacuated += node.entry.Capacity.Accelerators
		}
		for _, run := range node.runs {
			if !run.stopSentAt.IsZero() {
				stopping += run.need().Accelerators
			}
		}
	}
	for _, node := range view.nodes {
		usable += node.entry.Capacity.Accelerators
	}
	var waiting [tierBestEffort + 1]int64
	for _, unit := range units {
		waiting[unit.tier] += int64(len(unit.tasks)) * unit.step.need().Accelerators
	}
	e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "load", Detail: fmt.Sprintf(
		"accelerators %d usable %d evacuated %d busy %d stopping %d waiting_by_tier %v jobs %d %s unanswered_starts %d cores_in_use %.2f memory_in_use %.2f %s",
		total.Accelerators, usable, evacuated, used.Accelerators, stopping, waiting, len(e.active), e.openSummary(), e.unansweredStarts(),
		ratio(used.MilliCores, total.MilliCores), ratio(used.MemoryMB, total.MemoryMB), e.classSummary(units, view))})
}

// classSummary describes running and waiting work by class, in workers' worth of the resource that it
// uses most of.
func (e *Engine) classSummary(units []*unit, view *view) string {
	var sum load
	for _, load := range e.loads(units, view) {
		for class := range classes {
			sum.running[class] += load.running[class]
			sum.waiting[class] += load.waiting[class]
		}
	}
	return fmt.Sprintf("running urgent %.1f gangs %.1f tasks %.1f waiting urgent %.1f gangs %.1f tasks %.1f",
		sum.running[classUrgent], sum.running[classGang], sum.running[classTask],
		sum.waiting[classUrgent], sum.waiting[classGang], sum.waiting[classTask])
}
