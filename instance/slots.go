package instance

import (
	"context"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/balancer"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/upstream"
)

const dispatchInterval = 10 * time.Millisecond

// slotAllocator guards the balancer by a lock and assigns runner slots to waiting
// requests.
type slotAllocator struct {
	mu             sync.Mutex
	balancer       *balancer.Balancer
	budget         *balancer.RetryBudget
	waiters        map[balancer.WaiterID]chan balancer.AcquireResult
	lastWaiter     balancer.WaiterID
	leavingRunners []membership.Member // runners found to be leaving that peers were not notified of yet
}

func newSlotAllocator(seed uint64) *slotAllocator {
	return &slotAllocator{balancer: balancer.New(seed), budget: balancer.NewRetryBudget(), waiters: map[balancer.WaiterID]chan balancer.AcquireResult{}}
}

// run assigns slots periodically, because no event reports that a runner's failure
// backoff is over.
func (a *slotAllocator) run(ctx context.Context) {
	for logstream.Sleep(ctx, dispatchInterval) {
		a.mu.Lock()
		if a.balancer.QueueLength() > 0 {
			a.dispatchWaiting(time.Now())
		}
		a.mu.Unlock()
	}
}

func (a *slotAllocator) dispatchWaiting(now time.Time) {
	for _, result := range a.balancer.Dispatch(now) {
		if waiter, ok := a.waiters[result.Waiter]; ok {
			delete(a.waiters, result.Waiter)
			waiter <- result
		}
	}
}

func (a *slotAllocator) updateRunners(list []membership.Member, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balancer.UpdateRunners(list)
	a.dispatchWaiting(now)
}

func (a *slotAllocator) markLeaving(runner string, boot int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balancer.MarkLeaving(runner, boot)
}

// takeLeaving returns and clears the runners found to be leaving.
func (a *slotAllocator) takeLeaving() []membership.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	runners := a.leavingRunners
	a.leavingRunners = nil
	return runners
}

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	id      balancer.WaiterID
	results chan balancer.AcquireResult
}

// acquire requests a slot. It returns a slot or a refusal, or a waiter to pass to await.
func (a *slotAllocator) acquire(class string, deadline time.Time, exclude []string) (result balancer.AcquireResult, w *slotWaiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastWaiter++
	result, decided := a.balancer.Acquire(a.lastWaiter, class, deadline, exclude, time.Now())
	if decided {
		return result, nil
	}
	w = &slotWaiter{id: a.lastWaiter, results: make(chan balancer.AcquireResult, 1)}
	a.waiters[w.id] = w.results
	return result, w
}

// await waits for a slot or a refusal. If ctx ends first, ok is false and no slot is
// held.
func (a *slotAllocator) await(ctx context.Context, w *slotWaiter) (result balancer.AcquireResult, ok bool) {
	select {
	case result = <-w.results:
		return result, true
	case <-ctx.Done():
		a.cancelWait(w.id, w.results)
		return balancer.AcquireResult{}, false
	}
}

// cancelWait removes a waiting request, and releases a slot assigned in the meantime.
func (a *slotAllocator) cancelWait(id balancer.WaiterID, results chan balancer.AcquireResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, id)
	if a.balancer.Cancel(id) {
		return
	}
	select {
	case result := <-results:
		if result.Runner != "" {
			a.balancer.Release(result.Runner, "", balancer.ResultAbandoned, 0, -1, time.Now())
		}
	default:
	}
}

// releaseUnused releases a slot that was assigned after its request had ended.
func (a *slotAllocator) releaseUnused(runner string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.balancer.Release(runner, "", balancer.ResultAbandoned, 0, -1, now)
	a.dispatchWaiting(now)
}

func (a *slotAllocator) runnerAddress(runner string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, _ := a.balancer.Runner(runner)
	return entry.Address
}

// release returns a slot to the runner after an attempt and reports whether the retry budget allows
// a retry. Only failed attempts are charged to the budget.
func (a *slotAllocator) release(runner, class string, result upstream.Result, took time.Duration, failed bool) (retryAllowed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if result.Load == balancer.ResultLeaving {
		if entry, ok := a.balancer.Runner(runner); ok && a.balancer.MarkLeaving(runner, entry.Boot) {
			a.leavingRunners = append(a.leavingRunners, entry)
		}
	}
	now := time.Now()
	a.balancer.Release(runner, class, result.Load, took, result.Busy, now)
	a.dispatchWaiting(now)
	return failed && a.budget.TrySpend()
}

func (a *slotAllocator) countRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.AddRequest()
}
