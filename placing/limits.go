package placing

import "time"

// Limits holds the time limits that the deployment states.
type Limits struct {
	MaxLease          time.Duration // longest lease of what runs on a worker
	MaxStopTime       time.Duration // longest time a stop takes
	ReclaimTimeout    time.Duration // within which guaranteed urgent jobs begin
	EndedJobRetention time.Duration // retention time of ended jobs
	// MaxOpenBytes bounds the memory of the tasks of occurrences that are due and not done; 0 for no
	// bound. Further occurrences wait until some are done.
	MaxOpenBytes int64
	// EvacuationTimeout is the time after which nothing starts any more in an evacuated zone; 0 where
	// the platform states none.
	EvacuationTimeout time.Duration
	// LostLeaderTimeout is when a former leader that lost the store has certainly given up;
	// leases that it granted until then may still be in use.
	LostLeaderTimeout time.Duration
	// ReleasedTermTimeout is the same for a former leader that released the term.
	ReleasedTermTimeout time.Duration
	// ExitedLeaderTimeout is the same for a former leader whose process has ended: its delegates
	// may go on for so long.
	ExitedLeaderTimeout time.Duration
}

// FormerLeaderState says how the former leader lost the term.
type FormerLeaderState int

// States of a former leader.
const (
	FormerLeaderUnknown  FormerLeaderState = iota // it may go on for a while, cut off from the store
	FormerLeaderReleased                          // it released the term
	FormerLeaderExited                            // its process has ended
)

// String returns the name used in logs.
func (f FormerLeaderState) String() string {
	switch f {
	case FormerLeaderReleased:
		return "handed_over"
	case FormerLeaderExited:
		return "ended"
	}
	return "unknown"
}

// formerLeaderTimeout returns how long a former leader may go on granting leases.
func (l *Limits) formerLeaderTimeout(former FormerLeaderState) time.Duration {
	switch former {
	case FormerLeaderReleased:
		return l.ReleasedTermTimeout
	case FormerLeaderExited:
		return l.ExitedLeaderTimeout
	}
	return l.LostLeaderTimeout
}

// SetFormerLeases sets until when leases may last that were granted before the former leader's term. It
// is called before LoadJobs.
func (e *Engine) SetFormerLeases(expireAt time.Time) { e.formerLeasesExpireAt = expireAt }

// SetFormerLeaderEnd sets by when the former leader has requested its last lease, if that is known to be
// earlier than its state tells. It is called before LoadJobs.
func (e *Engine) SetFormerLeaderEnd(at time.Time) { e.formerLeaderEnd = at }

// FormerLeasesExpireAt returns when all leases have expired that were granted before this term.
func (e *Engine) FormerLeasesExpireAt() time.Time { return e.formerLeasesExpireAt }
