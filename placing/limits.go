package placing

import "time"

// Limits are what the deployment states, and the instance passes on.
type Limits struct {
	Lease      time.Duration // longest lease of what runs on a worker
	StopWithin time.Duration // longest time a stop takes
	Reclaim    time.Duration // within which guaranteed urgent jobs begin
	KeepEnded  time.Duration // how long an ended job stays known
	// Evacuate is within what time nothing starts any more in an evacuated zone; 0 where
	// the platform states none.
	Evacuate time.Duration
	// HolderGone is when a holder of the term that lost the store gives up for
	// certain; leases it granted until then may run on.
	HolderGone time.Duration
	// HandedOver is the same of a holder that opened the term to others.
	HandedOver time.Duration
	// HolderEnded is the same of a holder whose process is known to have ended: others
	// may have driven workers for it, and go on for so long.
	HolderEnded time.Duration
}

// Former says what became of the former holder of the term.
type Former int

// Fates of a former holder.
const (
	FormerUnknown    Former = iota // it may go on for a while, cut off from the store
	FormerHandedOver               // it opened the term to others
	FormerEnded                    // its process has ended
)

// String is for logs.
func (f Former) String() string {
	switch f {
	case FormerHandedOver:
		return "handed_over"
	case FormerEnded:
		return "ended"
	}
	return "unknown"
}

func (l *Limits) formerLeaderTimeout(former Former) time.Duration {
	switch former {
	case FormerHandedOver:
		return l.HandedOver
	case FormerEnded:
		return l.HolderEnded
	}
	return l.HolderGone
}
