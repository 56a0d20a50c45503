package batch

import (
	"sync"
	"time"
)

const (
	// minCallTimeout is the shortest timeout of a call to the store. A call usually takes 4 ms, but a
	// store that has just become slow takes 0.3 s for each append to a part, and retries would only
	// lengthen its queue.
	minCallTimeout = 600 * time.Millisecond
	// maxCallTimeout is the longest timeout; the store refuses calls when 2 s of work are queued.
	maxCallTimeout = 2 * time.Second
	// timeoutFactor is the ratio of the timeout to the usual latency. It keeps a slow store from
	// being sent the same work again and again.
	timeoutFactor = 4
	// latencyWeight is the weight of the newest sample in the moving average of the latency.
	latencyWeight = 0.3
)

// adaptiveTimeout derives the timeout of calls from the latency of earlier ones. Each unanswered
// call doubles the timeout, as the store may have become slow.
type adaptiveTimeout struct {
	minimum               time.Duration // of a call; 0 for minCallTimeout
	lock                  sync.Mutex
	latency               time.Duration
	consecutiveUnanswered int // unanswered calls since the last answer
}

// current returns the timeout of the next call.
func (t *adaptiveTimeout) current() time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	minimum := t.minimum
	if minimum == 0 {
		minimum = minCallTimeout
	}
	timeout := max(minimum, timeoutFactor*t.latency)
	for range t.consecutiveUnanswered {
		timeout = min(maxCallTimeout, 2*timeout)
	}
	return min(maxCallTimeout, timeout)
}

// observe records the latency of an answer.
func (t *adaptiveTimeout) observe(latency time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
	t.consecutiveUnanswered = 0
}

// currentIgnoringUnanswered returns the timeout without regard to unanswered calls, for calls to
// many servers, because some of them may never answer.
func (t *adaptiveTimeout) currentIgnoringUnanswered() time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	return min(maxCallTimeout, max(t.minimum, timeoutFactor*t.latency))
}

// recordUnanswered records that no answer arrived in time.
func (t *adaptiveTimeout) recordUnanswered() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.consecutiveUnanswered++
}
