package placing

import (
	"fmt"
	"time"
)

// summaryEvery is how often the engine says how full the workers are. One line
// a second is read easily and shows every burst, which last some seconds.
const summaryEvery = time.Second

// summarize notes what the workers have and what waits, by tier.
func (e *Engine) summarize(units []*unit, open *view, now time.Time) {
	if now.Sub(e.summedAt) < summaryEvery {
		return
	}
	e.summedAt = now
	var whole, usable, busy, stopping, evacuated int64
	for _, node := range e.nodeOrder {
		whole += node.entry.Capacity.Accelerators
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
	for _, node := range open.nodes {
		usable += node.entry.Capacity.Accelerators
	}
	var waiting [tierHopeless + 1]int64
	for _, unit := range units {
		waiting[unit.tier] += int64(len(unit.tasks)) * unit.step.need().Accelerators
	}
	e.plan.Notes = append(e.plan.Notes, Note{Event: "load", Detail: fmt.Sprintf(
		"accelerators %d usable %d evacuated %d busy %d stopping %d waiting_by_tier %v jobs %d", whole, usable, evacuated, busy, stopping, waiting, len(e.active))})
}
