package placing

import "math"

// UnlimitedStarts stands for no limit of starts.
const UnlimitedStarts = math.MaxInt

// SetStartLimit sets how many more starts can be sent soon. Other work than urgent work is placed
// only up to this limit: what waits to be sent would use capacity that gangs of a higher rank need.
func (e *Engine) SetStartLimit(limit int) { e.startLimit = limit }

// allowedStarts returns how many tasks of a unit may be placed now.
func (e *Engine) allowedStarts(unit *unit) int {
	if unit.urgent() {
		return UnlimitedStarts
	}
	return max(0, e.startLimit-len(e.pendingRuns)-len(e.recordingRuns))
}

// limitStarts drops the placements of a unit that exceed the limit of starts; a gang is placed as a whole.
func (e *Engine) limitStarts(unit *unit, placements []placement) []placement {
	allowed := e.allowedStarts(unit)
	if unit.step.spec.Gang || len(placements) <= allowed {
		return placements
	}
	return placements[:allowed]
}
