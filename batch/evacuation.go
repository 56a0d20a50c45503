package batch

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// evacuationReadWait is how long a read of the operator stream may wait on the leader. It
	// bounds the age of the evacuations read last; nothing starts while that age is too high.
	evacuationReadWait = 400 * time.Millisecond
	// evacuationStartMargin is the part of Bounds.EvacuationTimeout reserved for the transmission
	// of a start.
	evacuationStartMargin = time.Second
	// evacuatedRetryAfter is returned to callers while every availability zone is evacuated: the
	// duration is unknown, and urgent work has some seconds.
	evacuatedRetryAfter = 2 * time.Second
)

// evacuations holds the availability zones whose workers get no new work, as read from the
// operator stream. The stream's follower writes it under its lock; any goroutine may read it.
type evacuations struct {
	pending map[string]bool
	current atomic.Pointer[[]string] // sorted and immutable
	changed atomic.Bool              // since the leader last applied them
}

// list returns the evacuated zones in order. The caller must not modify the result.
func (e *evacuations) list() []string {
	if zones := e.current.Load(); zones != nil {
		return *zones
	}
	return nil
}

func (e *evacuations) contains(zone string) bool {
	_, found := slices.BinarySearch(e.list(), zone)
	return found
}

// reset clears the pending zones before the newest records are read again: the removal of a
// request may no longer be among the retained records.
func (e *evacuations) reset() { e.pending = nil }

func (e *evacuations) set(zone string, evacuated bool) {
	if !evacuated {
		delete(e.pending, zone)
		return
	}
	if e.pending == nil {
		e.pending = map[string]bool{}
	}
	e.pending[zone] = true
}

// publish makes the pending zones visible to readers and returns the zones that were added and
// removed.
func (e *evacuations) publish() (added, removed []string) {
	previous := e.list()
	current := slices.Sorted(maps.Keys(e.pending))
	e.current.Store(&current)
	for _, zone := range current {
		if !slices.Contains(previous, zone) {
			added = append(added, zone)
		}
	}
	for _, zone := range previous {
		if !slices.Contains(current, zone) {
			removed = append(removed, zone)
		}
	}
	if len(added)+len(removed) > 0 {
		e.changed.Store(true)
	}
	return added, removed
}

// applyEvacuations applies operators' requests to evacuate availability zones.
func (i *Instance) applyEvacuations(batch Batch) {
	for _, record := range batch.Records {
		if zone, evacuated, ok := i.decoder.Evacuation(record); ok {
			i.evacuations.set(zone, evacuated)
		}
	}
	added, removed := i.evacuations.publish()
	for _, zone := range added {
		i.log.WithField("zone", zone).Info("zone_evacuated")
	}
	for _, zone := range removed {
		i.log.WithField("zone", zone).Info("zone_taken_back")
	}
	if len(added)+len(removed) > 0 {
		i.metrics.evacuatedZones.Update(int64(len(i.evacuations.list())))
		i.fold.wake()
	}
}

// allZonesEvacuated reports whether every availability zone of the deployment is evacuated.
func (i *Instance) allZonesEvacuated() bool {
	for _, zone := range i.settings.Zones {
		if !i.evacuations.contains(zone) {
			return false
		}
	}
	return len(i.settings.Zones) > 0
}

// refuseIfAllEvacuated refuses urgent jobs while every zone is evacuated: they have to start
// within seconds, and an immediate refusal lets callers use an alternative. Other jobs can wait.
func (i *Instance) refuseIfAllEvacuated(priority int) (outcome Outcome, refused bool) {
	if priority > 0 || !i.allZonesEvacuated() {
		return Outcome{}, false
	}
	return Outcome{Verdict: NotRun, Reason: "every availability zone is evacuated", RetryAfter: evacuatedRetryAfter}, true
}

// configReadShare is the share of the time in which a configuration takes effect after which a read of
// the operator stream is given up, however late answers have been: a read that was sent just before a
// silent outage ends is not answered, and the next one has to be in time.
const configReadShare = 0.8

// operatorReadTimeout returns when a read of the operator stream is given up; 0 if the deployment states no
// time in which a configuration takes effect.
func (i *Instance) operatorReadTimeout() time.Duration {
	return time.Duration(configReadShare * float64(i.bounds.latest().ConfigTimeout))
}

// operatorReadWait returns how long a read of the operator stream may wait for a record.
func (i *Instance) operatorReadWait() time.Duration {
	if i.leading.Load() {
		return evacuationReadWait
	}
	return max(operatorStreamReadWait, i.bounds.latest().ConfigTimeout/2)
}

// mayStartInZone reports whether a start may be sent to a worker in a zone: the zone must not be
// evacuated according to the records read here.
func (i *Instance) mayStartInZone(zone string) bool { return !i.evacuations.contains(zone) }

// mayStartWithoutGrant is mayStartInZone for the leader, which needs no grant: nothing else bounds
// how long a start may have waited here, for example while the process was frozen. It allows no
// start if the operator stream was last read too long ago.
func (i *Instance) mayStartWithoutGrant(zone string) bool {
	timeout := i.bounds.latest().EvacuationTimeout
	fresh := timeout <= 0 || i.clock.Now().Sub(i.operator.lastContact()) < timeout-evacuationStartMargin
	return fresh && i.mayStartInZone(zone)
}

// passEvacuations passes the evacuated zones to the scheduling engine.
func (l *leader) passEvacuations(now time.Time) {
	i := l.instance
	i.evacuations.changed.Store(false)
	zones := i.evacuations.list()
	l.engine.SetEvacuatedZones(zones, now)
	l.log.WithFields(logrus.Fields{"zones": zones}).Info("evacuations_taken")
}
