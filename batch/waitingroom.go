package batch

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// maxWaitingCalls and maxWaitingBytes bound the hand-ins that wait for the store. When it is back
	// they are appended in four groups, within some 20 ms, so their order is not kept.
	maxWaitingCalls = 4 * maxCommitGroup
	maxWaitingBytes = 2 << 20
	// waitRetryInterval is how often a waiting hand-in is tried, here and, unless that pauses, through
	// other instances.
	waitRetryInterval = 50 * time.Millisecond
	// waitedRetryAfter is returned to callers whose hand-in has waited: the wait spans the time that a
	// pause would.
	waitedRetryAfter = 100 * time.Millisecond
)

// waiter is a hand-in in the waiting room.
type waiter struct {
	priority  int
	deadline  time.Time // of the caller
	bytes     int
	displaced chan struct{} // closed when a more urgent one has taken its place
}

// isLessUrgentThan reports whether another hand-in goes first: by priority, then by time left.
func (w *waiter) isLessUrgentThan(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	return w.deadline.After(other.deadline)
}

// waitingRoom holds the hand-ins that wait for the store, bounded in number and size.
type waitingRoom struct {
	lock    sync.Mutex
	waiters map[*waiter]bool
	bytes   int
}

func newWaitingRoom() *waitingRoom { return &waitingRoom{waiters: map[*waiter]bool{}} }

// enter admits a hand-in. While the room is full, the least urgent ones have to leave for it; it is not
// admitted if it is the least urgent itself.
func (r *waitingRoom) enter(w *waiter) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.add(w)
	for len(r.waiters) > maxWaitingCalls || r.bytes > maxWaitingBytes {
		last := r.leastUrgent()
		r.remove(last)
		if last == w {
			return false
		}
		close(last.displaced)
	}
	return true
}

func (r *waitingRoom) leastUrgent() *waiter {
	var last *waiter
	for w := range r.waiters {
		if last == nil || w.isLessUrgentThan(last) {
			last = w
		}
	}
	return last
}

func (r *waitingRoom) add(w *waiter) {
	r.waiters[w] = true
	r.bytes += w.bytes
}

func (r *waitingRoom) remove(w *waiter) {
	if r.waiters[w] {
		delete(r.waiters, w)
		r.bytes -= w.bytes
	}
}

// leave removes a hand-in, which may have been displaced.
func (r *waitingRoom) leave(w *waiter) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.remove(w)
}

func (r *waitingRoom) size() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.waiters)
}

type statedDeadlineKey struct{}

// WithStatedDeadline marks that the deadline of ctx is the one that the caller has stated. Only then may
// the call wait for the store.
func WithStatedDeadline(ctx context.Context) context.Context {
	return context.WithValue(ctx, statedDeadlineKey{}, true)
}

func statedDeadline(ctx context.Context) (time.Time, bool) {
	deadline, ok := ctx.Deadline()
	return deadline, ok && ctx.Value(statedDeadlineKey{}) != nil
}

// handIn writes the record of a submission. While no part of the store answers, it waits as decideWait
// says. If it was not written it returns when the caller should retry.
func (i *Instance) handIn(ctx context.Context, submission *jobs.Submission, record jobs.Record) (retryAfter time.Duration, err error) {
	arrived := time.Now()
	err = i.writeRecord(ctx, record)
	if !errors.Is(err, ErrNotApplied) {
		return 0, err
	}
	deadline, stated := statedDeadline(ctx)
	if !stated {
		return i.retryDelay(submission.Queue.Priority), err
	}
	call := waitingCall{
		arrived:  arrived,
		timeLeft: deadline.Sub(arrived),
		waited:   time.Since(arrived),
		spread:   float64(xxhash.Sum64String(submission.ID)) / math.MaxUint64,
	}
	decision := decideWait(call, i.outageView())
	if decision.wait == 0 {
		return decision.retryAfter, err
	}
	w := &waiter{priority: submission.Queue.Priority, deadline: deadline, bytes: len(record.Value), displaced: make(chan struct{})}
	if !i.waiting.enter(w) {
		i.metrics.count("calls.waited.full")
		return storeDownRetryAfter, err
	}
	i.eventLog.write(i.log, "hand_in_waits", logrus.Fields{
		"job":       submission.ID,
		"wait_ms":   decision.wait.Milliseconds(),
		"outage_ms": i.work.sinceContact().Milliseconds(),
		"waiting":   i.waiting.size(),
	})
	defer i.leaveWaitingRoom(w)
	return i.writeWhileWaiting(ctx, w, call, decision, record)
}

// writeWhileWaiting tries to write the record of a hand-in in the waiting room until its wait is over.
func (i *Instance) writeWhileWaiting(ctx context.Context, w *waiter, call waitingCall, decision waitDecision, record jobs.Record) (retryAfter time.Duration, err error) {
	i.metrics.waiting.Update(int64(i.waiting.size()))
	err = ErrNotApplied
	for errors.Is(err, ErrNotApplied) && decision.wait > 0 {
		if !i.pauseInWaitingRoom(ctx, w, min(decision.wait, waitRetryInterval)) {
			return storeDownRetryAfter, err
		}
		err = i.tryWaitingRecord(ctx, record, call.waitLeft())
		call.waited = time.Since(call.arrived)
		decision = decideWait(call, i.outageView())
	}
	i.metrics.count("calls.waited." + waitResult(err))
	return decision.retryAfter, err
}

// tryWaitingRecord tries to write a record. Other instances are asked only if their answers come within the
// wait that is left.
func (i *Instance) tryWaitingRecord(ctx context.Context, record jobs.Record, waitLeft time.Duration) error {
	if waitLeft < maxPeerAttempts*peerProbeTimeout {
		return i.writeHere(ctx, record)
	}
	return i.writeRecord(ctx, record)
}

// waitResult names the end of a wait in metrics.
func waitResult(err error) string {
	switch {
	case err == nil:
		return "written"
	case errors.Is(err, ErrNotApplied):
		return "refused"
	}
	return "undecided"
}

// pauseInWaitingRoom waits and reports whether the hand-in may be tried again.
func (i *Instance) pauseInWaitingRoom(ctx context.Context, w *waiter, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.displaced:
		i.metrics.count("calls.waited.displaced")
	case <-ctx.Done():
	}
	return false
}

func (i *Instance) leaveWaitingRoom(w *waiter) {
	i.waiting.leave(w)
	i.metrics.waiting.Update(int64(i.waiting.size()))
}

func (i *Instance) outageView() outageView {
	age := i.work.sinceContact()
	return outageView{
		age:       age,
		remaining: i.outages.remaining(age),
		isolated:  i.peers.isIsolated(),
		draining:  i.draining.Load(),
	}
}
