package batch

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// evacuationWait is how long a read of the operators' stream may wait on the instance
	// that places. Its age bounds that of the known evacuations, without which nothing
	// starts.
	evacuationWait = 400 * time.Millisecond
	// startMargin is kept of the time in which an evacuation comes into force for the way
	// of a start.
	startMargin = time.Second
	// retryEvacuated is told while every availability zone is evacuated: nobody knows how
	// long, and urgent work has some seconds.
	retryEvacuated = 2 * time.Second
)

// evacuations are the availability zones whose workers get nothing new, as the operators'
// stream says. The stream's follower writes them under its lock; anyone reads them.
type evacuations struct {
	zones   map[string]bool
	current atomic.Pointer[[]string] // sorted; never changed once stored
	changed atomic.Bool              // since the placing duty last looked
}

// list returns the evacuated zones in order. It is not to be changed.
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

// reset forgets all before the newest records are read again: a request that was removed
// meanwhile may not be among the records that are still kept.
func (e *evacuations) reset() { e.zones = nil }

func (e *evacuations) set(zone string, evacuated bool) {
	if !evacuated {
		delete(e.zones, zone)
		return
	}
	if e.zones == nil {
		e.zones = map[string]bool{}
	}
	e.zones[zone] = true
}

// publish shows what was set to all, and returns what is new and what has ended.
func (e *evacuations) publish() (begun, ended []string) {
	before := e.list()
	now := slices.Sorted(maps.Keys(e.zones))
	e.current.Store(&now)
	for _, zone := range now {
		if !slices.Contains(before, zone) {
			begun = append(begun, zone)
		}
	}
	for _, zone := range before {
		if !slices.Contains(now, zone) {
			ended = append(ended, zone)
		}
	}
	if len(begun)+len(ended) > 0 {
		e.changed.Store(true)
	}
	return begun, ended
}

// applyEvacuations takes the operators' requests to leave availability zones alone.
func (i *Instance) applyEvacuations(batch Batch) {
	for _, record := range batch.Records {
		if zone, evacuated, ok := i.decoder.Evacuation(record); ok {
			i.evacuations.set(zone, evacuated)
		}
	}
	begun, ended := i.evacuations.publish()
	for _, zone := range begun {
		i.log.WithField("zone", zone).Info("zone_evacuated")
	}
	for _, zone := range ended {
		i.log.WithField("zone", zone).Info("zone_taken_back")
	}
	if len(begun)+len(ended) > 0 {
		i.metrics.evacuated.Update(int64(len(i.evacuations.list())))
		i.fold.wake()
	}
}

// nowhere reports whether every availability zone of the deployment is evacuated.
func (i *Instance) nowhere() bool {
	for _, zone := range i.settings.Zones {
		if !i.evacuations.contains(zone) {
			return false
		}
	}
	return len(i.settings.Zones) > 0
}

// refuseNowhere refuses urgent jobs while every zone is evacuated: they have to begin
// within seconds, and callers can do something else if they know at once. Other jobs have
// the time to wait.
func (i *Instance) refuseNowhere(priority int) (outcome Outcome, refused bool) {
	if priority > 0 || !i.nowhere() {
		return Outcome{}, false
	}
	return Outcome{Verdict: NotRun, Reason: "every availability zone is evacuated", RetryAfter: retryEvacuated}, true
}

// operatorWait is how long a read of the operators' stream may wait for a record.
func (i *Instance) operatorWait() time.Duration {
	if i.leading.Load() {
		return evacuationWait
	}
	return quietWait
}

// mayStartAt reports whether a start may be sent to a worker: not to one whose zone is
// evacuated, as far as this instance has read.
func (i *Instance) mayStartAt(zone string) bool { return !i.evacuations.contains(zone) }

// mayStartUnasked is the same where no grant of another instance bounds how long a start may
// have waited here, as in one that was frozen: nothing is sent if this instance has not read
// for so long that it could not know.
func (i *Instance) mayStartUnasked(zone string) bool {
	within := i.bounds.newest().Evacuate
	known := within <= 0 || i.clock.Now().Sub(i.operator.seenAt()) < within-startMargin
	return known && i.mayStartAt(zone)
}

// evacuate passes the evacuated zones on to the decisions.
func (l *leader) evacuate(now time.Time) {
	i := l.instance
	i.evacuations.changed.Store(false)
	zones := i.evacuations.list()
	l.engine.Evacuate(zones, now)
	l.log.WithFields(logrus.Fields{"zones": zones}).Info("evacuations_taken")
}
