package placing

import (
	"fmt"
	"time"
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

// logSummary logs the capacity and usage of the workers and what waits, by tier.
func (e *Engine) logSummary(units []*unit, view *view, now time.Time) {
	if now.Sub(e.summarizedAt) < summaryInterval {
		return
	}
	e.summarizedAt = now
	var total, usable, busy, stopping, evacuated int64
	for _, node := range e.nodeOrder {
		total += node.entry.Capacity.Accelerators
		busy += node.used.Accelerators
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
		"accelerators %d usable %d evacuated %d busy %d stopping %d waiting_by_tier %v jobs %d unanswered_starts %d", total, usable, evacuated, busy, stopping, waiting, len(e.active), e.unansweredStarts())})
}
