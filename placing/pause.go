package placing

import "time"

const (
	// pauseFirst and pauseMost bound how long a task waits whose starts come to nothing,
	// from the second in a row on; the pause doubles. The first may be the worker's
	// doing, and the next worker takes it. Users expect a task whose turn has come to
	// run within three seconds if there is room.
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 2 * time.Second
	// pauseWithin is how soon after its start the end of a lasting task counts as a
	// start that came to nothing.
	pauseWithin = time.Second
)

// pausing is how long a task waits before it is placed again.
type pausing struct {
	fruitless int // starts in a row that came to nothing
	until     time.Time
}

// failed notes a start that came to nothing.
func (p *pausing) failed(now time.Time) {
	p.fruitless++
	if p.fruitless == 1 {
		return
	}
	pause := pauseFirst
	for range p.fruitless - 2 {
		pause = min(pauseMost, 2*pause)
	}
	p.until = now.Add(pause)
}

// startFailed has a task, or its whole gang, wait the longer the more starts came to
// nothing. Without it such a task is placed, written down and ordered again at once, as
// often as the log takes appends.
func (t *task) startFailed(now time.Time) {
	for _, member := range t.together() {
		member.pausing.failed(now)
	}
}

// lastingEnded takes the end of a lasting task: one that ended soon after its start is
// started again less and less often.
func (t *task) lastingEnded(run *run, now time.Time) {
	if run == nil || run.startedAt.IsZero() {
		return
	}
	if now.Sub(run.startedAt) < pauseWithin {
		t.startFailed(now)
		return
	}
	t.pausing = pausing{}
}
