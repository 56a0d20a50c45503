package placing

import "time"

// Limits holds the time limits that the deployment states.
type Limits struct {
	Lease      time.Duration // longest lease of what runs on a worker
	StopWithin time.Duration // longest time a stop takes
	Reclaim    time.Duration // within which guaranteed urgent jobs begin
	KeepEnded  time.Duration // retention time of ended jobs
	// Evacuate is the time after which nothing starts any more in an evacuated zone; 0 where
	// the platform states none.
	Evacuate time.Duration
	// HolderGone is when a former leader that lost the store has certainly given up;
	// leases that it granted until then may still be in use.
	HolderGone time.Duration
	// HandedOver is the same for a former leader that released the term.
	HandedOver time.Duration
	// HolderEnded is the same for a former leader whose process has ended: its delegates
	// may go on for so long.
	HolderEnded time.Duration
}

// Former says how the former leader lost the term.
type Former int

// States of a former leader.
const (
	FormerUnknown    Former = iota // it may go on for a while, cut off from the store
	FormerHandedOver               // it released the term
	FormerEnded                    // its process has ended
)

// String returns the name used in logs.
func (f Former) String() string {
	switch f {
	case FormerHandedOver:
		return "handed_over"
	case FormerEnded:
		return "ended"
	}
	return "unknown"
}

// formerLeaderTimeout returns how long a former leader may go on granting leases.
func (l *Limits) formerLeaderTimeout(former Former) time.Duration {
	switch former {
	case FormerHandedOver:
		return l.HandedOver
	case FormerEnded:
		return l.HolderEnded
	}
	return l.HolderGone
}
