package placing

import (
	"maps"
	"slices"
	"time"
)

// zoneLag is the longest that a holder takes to read of an evacuation.
const zoneLag = time.Second

// changeZone evacuates one of the two zones, or takes it back; both may be evacuated. The
// holder reads of it some time later, its successor before it decides anything.
func (w *world) changeZone() {
	w.disturb()
	zone := w.workers[w.random.IntN(len(w.workers))].entry.Zone
	if w.closed[zone] {
		delete(w.closed, zone)
	} else {
		w.closed[zone] = true
	}
	reader := w.holder
	w.later(time.Duration(w.random.Int64N(int64(zoneLag))), func() {
		w.disturb()
		w.tellZones(reader)
	})
}

// openZones takes all zones back.
func (w *world) openZones() {
	w.disturb()
	w.closed = map[string]bool{}
	w.tellZones(w.holder)
}

// tellZones has a holder read which zones are evacuated.
func (w *world) tellZones(h *holder) {
	if h == nil {
		return
	}
	h.closed = maps.Clone(w.closed)
	h.engine.Evacuate(slices.Sorted(maps.Keys(w.closed)), w.now)
}

// checkZone holds that nothing is ordered in a zone from the moment that its evacuation is
// known.
func (w *world) checkZone(h *holder, start Start) {
	if worker := w.find(start.Worker); h.closed[worker.entry.Zone] {
		w.fault("%s run %d is ordered on %s, whose zone is evacuated", start.Task, start.Run, start.Worker)
	}
}
