package batch

import "time"

const (
	// maxWaitShare is the share of a caller's time for which a hand-in may wait for the store. The
	// rest is left for further tries at other instances: with two fifths for each, four tries span
	// nine tenths of the time.
	maxWaitShare = 0.4
	// minWait is the shortest wait that is worth a try after it. An append takes some 10 ms.
	minWait = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which refused callers are told to return
	// when it is learned from earlier outages.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// waitingCall is a hand-in that could not be written, as far as the decision to wait depends on it.
type waitingCall struct {
	arrived  time.Time
	timeLeft time.Duration // of the caller, when the hand-in arrived
	waited   time.Duration // since then
	spread   float64       // of the call among others, from 0 to 1
}

// waitLeft returns how long the call may still wait; it is negative if it has waited for too long.
func (c waitingCall) waitLeft() time.Duration {
	return time.Duration(maxWaitShare*float64(c.timeLeft)) - c.waited
}

// outageView is what an instance knows of the outage that a hand-in meets.
type outageView struct {
	age       time.Duration // since the store last answered
	remaining time.Duration // expected, by earlier outages; 0 if unknown
	isolated  bool          // no other instance is reached either
	draining  bool
}

// waitDecision is the decision on a hand-in that could not be written.
type waitDecision struct {
	wait       time.Duration // how long it may still wait; 0 for refuse now
	retryAfter time.Duration // when a refused caller should return
}

// decideWait decides whether a hand-in that certainly was not written waits for the store. What is
// known not to be served within its wait is refused at once.
func decideWait(call waitingCall, outage outageView) waitDecision {
	if outage.isolated || outage.draining {
		return waitDecision{retryAfter: isolatedRetryAfter}
	}
	wait := call.waitLeft()
	switch {
	case outage.remaining > max(0, wait):
		return waitDecision{retryAfter: spreadRetryAfter(max(minRetryAfter, outage.remaining), call.spread)}
	case wait < minWait && call.waited < minWait:
		return waitDecision{retryAfter: storeDownRetryAfter}
	case wait < minWait:
		return waitDecision{retryAfter: waitedRetryAfter}
	}
	return waitDecision{wait: wait}
}

// spreadRetryAfter returns a time up to a quarter longer, so that refused callers do not return together.
func spreadRetryAfter(earliest time.Duration, spread float64) time.Duration {
	return min(maxRetryAfter, earliest+time.Duration(spread*float64(earliest)/4))
}
