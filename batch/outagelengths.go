package batch

import (
	"sync"
	"time"
)

const (
	// maxOutageLengths bounds the outages that are remembered.
	maxOutageLengths = 16
	// minOutageLength is the length from which a failure of the store counts as an outage.
	minOutageLength = 500 * time.Millisecond
	// minOutagesSeen is the number of outages from which something is concluded from them.
	minOutagesSeen = 3
)

// outageLengths learns how long outages of the store last, from those that this instance has seen.
type outageLengths struct {
	lock    sync.Mutex
	lengths []time.Duration // the newest last
}

// record remembers an outage that has ended.
func (o *outageLengths) record(length time.Duration) {
	if length < minOutageLength {
		return
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.lengths = append(o.lengths, length)
	o.lengths = o.lengths[max(0, len(o.lengths)-maxOutageLengths):]
}

// remaining returns how long an outage of a given age lasts at least, judged by the shortest one seen
// that was longer. It is 0 if nothing is known.
func (o *outageLengths) remaining(age time.Duration) time.Duration {
	o.lock.Lock()
	defer o.lock.Unlock()
	if len(o.lengths) < minOutagesSeen {
		return 0
	}
	var shortest time.Duration
	for _, length := range o.lengths {
		if left := length - age; left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}
