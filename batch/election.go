package batch

import (
	"strings"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

const (
	// renewInterval is how often the leader renews its term.
	renewInterval = 300 * time.Millisecond
	// termTimeout is how long the leader may write nothing before another instance claims the
	// term: four renewals, or two while the store takes 0.3 s for each. Replacing a leader too
	// early loses no running task.
	termTimeout = 1100 * time.Millisecond
	// claimInterval is the pause between an instance's claims. It exceeds the duration of an
	// append to a slow store.
	claimInterval = 700 * time.Millisecond
	// maxClaimJitter spreads the instances' claims by their names, so that mostly one of them
	// writes.
	maxClaimJitter = 300 * time.Millisecond
	// sufficientCPUShare of a core is enough to schedule for 350 workers. An instance with less
	// claims up to maxLowCPUDelay later.
	sufficientCPUShare = 0.4
	maxLowCPUDelay     = 2 * time.Second
	// leaderGiveUpTimeout is how long after its last successful append a leader gives the term up,
	// whatever other instances have observed. It keeps its tasks running until then, because the
	// store may be unreachable for all instances.
	leaderGiveUpTimeout = 9 * time.Second
)

// election decides when an instance claims the term. It does no I/O: callers pass in the observed
// log state and the time.
type election struct {
	name       string // instance name
	identity   string // instance name and boot ID of this process
	claimDelay time.Duration
	term       jobs.Term
	changedAt  time.Time // when this instance observed the last change or renewal of the term
	claimedAt  time.Time
	claimEpoch int64     // epoch of the leader that requested a claim of its term
	vacantAt   time.Time // time since which the term is known to be vacant
}

func newElection(name, identity string, claimDelay time.Duration) *election {
	return &election{name: name, identity: identity, claimDelay: claimDelay}
}

// claimDelay returns how long an instance leaves a vacant term to others. Instances with little
// CPU wait longer, because scheduling needs most of it.
func claimDelay(hash uint64, cpuShare float64) time.Duration {
	delay := time.Duration(hash % uint64(maxClaimJitter))
	if cpuShare > 0 && cpuShare < sufficientCPUShare {
		delay += time.Duration((sufficientCPUShare - cpuShare) / sufficientCPUShare * float64(maxLowCPUDelay))
	}
	return delay
}

// observe records the newest term of the fold.
func (e *election) observe(term jobs.Term, now time.Time) {
	if term == e.term && !e.changedAt.IsZero() {
		return
	}
	stillOpen := term.Leader == "" && e.term.Leader == "" && term.Epoch == e.term.Epoch
	e.term = term
	e.changedAt = now
	if !stillOpen {
		e.vacantAt = time.Time{}
	}
}

// reset discards the observations of the leader: the store was unreachable, or this process was
// the leader meanwhile.
func (e *election) reset() { e.changedAt = time.Time{} }

// isLeader reports whether the log names this process as the leader.
func (e *election) isLeader() bool { return e.term.Leader == e.identity }

// shouldClaim reports whether to claim the next term now. It is called only while this process is
// not the leader. answeredAt is when the newest read of the log was answered: missing renewals
// after that may be due to the store and not to the leader.
func (e *election) shouldClaim(answeredAt, now time.Time) bool {
	if now.Sub(e.claimedAt) < claimInterval {
		return false
	}
	if !e.isVacant(answeredAt) {
		return false
	}
	if e.vacantAt.IsZero() {
		e.vacantAt = now
	}
	if !e.heldByFormerIncarnation() && !e.claimRequested() && now.Sub(e.vacantAt) < e.claimDelay {
		return false
	}
	e.claimedAt = now
	return true
}

// requestClaim records that the leader with the given epoch has lost the store and requested that
// this instance claim the next term.
func (e *election) requestClaim(epoch int64) { e.claimEpoch = epoch }

func (e *election) claimRequested() bool { return e.claimEpoch > 0 && e.claimEpoch == e.term.Epoch }

// isVacant reports whether the term has no active leader: it was handed over, or its leader was a
// former incarnation of this instance, has requested a claim or is silent.
func (e *election) isVacant(answeredAt time.Time) bool {
	return e.term.Leader == "" || e.claimRequested() || e.heldByFormerIncarnation() || answeredAt.Sub(e.changedAt) >= termTimeout
}

// heldByFormerIncarnation reports whether the leader was a former incarnation of this instance.
func (e *election) heldByFormerIncarnation() bool { return leaderName(e.term) == e.name }

// leaderName returns the name of the instance that leads in a term; empty if none does.
func leaderName(term jobs.Term) string {
	name, _, _ := strings.Cut(term.Leader, "/")
	return name
}

// formerLeases returns how long leases may last that were granted before the former term. It is
// not known if the former leader did not state it: it never renewed the term.
func formerLeases(previous, current jobs.Term) (left time.Duration, known bool) {
	if current.Epoch == 1 {
		return 0, true // no term was ever held before
	}
	if previous.Epoch != current.Epoch-1 || previous.FormerLeasesMS == 0 {
		return 0, false
	}
	return time.Duration(previous.FormerLeasesMS) * time.Millisecond, true
}

// formerLeaderState returns the state of the previous leader as far as the winner of a term knows
// it; previous is the newest term that the winner had observed. A former incarnation of the winner
// has exited. After a loss of all instances the former leader usually wins again, and waiting for a
// leader that may go on took 15.5 s instead of 8.5 s for each run at a worker that had left.
func formerLeaderState(previous, current jobs.Term, name string) placing.FormerLeaderState {
	switch {
	case previous.Epoch != current.Epoch-1:
		return placing.FormerLeaderUnknown
	case previous.Leader == "":
		return placing.FormerLeaderReleased
	case leaderName(previous) == name:
		return placing.FormerLeaderExited
	}
	return placing.FormerLeaderUnknown
}
