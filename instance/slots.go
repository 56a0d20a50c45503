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

const grantInterval = 10 * time.Millisecond

// slotAllocator guards the balancer by a lock and hands runner slots to waiting
// requests.
type slotAllocator struct {
	mu             sync.Mutex
	balancer       *balancer.Balancer
	budget         *balancer.RetryBudget
	waiters        map[balancer.WaiterID]chan balancer.AcquireResult
	lastWaiter     balancer.WaiterID
	leavingRunners []membership.Member // runners found to be leaving, of which peers are not yet notified
}

func newSlotAllocator(seed uint64) *slotAllocator {
	return &slotAllocator{balancer: balancer.New(seed), budget: balancer.NewRetryBudget(), waiters: map[balancer.WaiterID]chan balancer.AcquireResult{}}
}

// run grants slots periodically, as a runner may become usable by passage of time alone.
func (a *slotAllocator) run(ctx context.Context) {
	for logstream.Sleep(ctx, grantInterval) {
		a.mu.Lock()
		if a.balancer.QueueLength() > 0 {
			a.grantSlots(time.Now())
		}
		a.mu.Unlock()
	}
}

func (a *slotAllocator) grantSlots(now time.Time) {
	for _, grant := range a.balancer.Dispatch(now) {
		if waiter, ok := a.waiters[grant.Waiter]; ok {
			delete(a.waiters, grant.Waiter)
			waiter <- grant
		}
	}
}

func (a *slotAllocator) updateRunners(list []membership.Member, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balancer.UpdateRunners(list)
	a.grantSlots(now)
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

// ticket identifies a request that waits for a slot.
type ticket struct {
	id     balancer.WaiterID
	grants chan balancer.AcquireResult
}

// acquire requests a slot. It returns a grant or a refusal, or a ticket to wait with.
func (a *slotAllocator) acquire(class string, deadline time.Time, exclude []string) (grant balancer.AcquireResult, t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastWaiter++
	grant, decided := a.balancer.Acquire(a.lastWaiter, class, deadline, exclude, time.Now())
	if decided {
		return grant, nil
	}
	t = &ticket{id: a.lastWaiter, grants: make(chan balancer.AcquireResult, 1)}
	a.waiters[t.id] = t.grants
	return grant, t
}

// await waits for a slot or a refusal. If ctx ends first, ok is false and no slot is
// held.
func (a *slotAllocator) await(ctx context.Context, t *ticket) (grant balancer.AcquireResult, ok bool) {
	select {
	case grant = <-t.grants:
		return grant, true
	case <-ctx.Done():
		a.cancelWait(t.id, t.grants)
		return balancer.AcquireResult{}, false
	}
}

// cancelWait withdraws a waiting request and returns a slot granted in the meantime.
func (a *slotAllocator) cancelWait(id balancer.WaiterID, waiter chan balancer.AcquireResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, id)
	if a.balancer.Cancel(id) {
		return
	}
	select {
	case grant := <-waiter:
		if grant.Runner != "" {
			a.balancer.Release(grant.Runner, "", balancer.ResultAbandoned, 0, -1, time.Now())
		}
	default:
	}
}

// releaseUnused returns a slot that was granted too late to be used.
func (a *slotAllocator) releaseUnused(runner string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.balancer.Release(runner, "", balancer.ResultAbandoned, 0, -1, now)
	a.grantSlots(now)
}

func (a *slotAllocator) runnerAddress(runner string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, _ := a.balancer.Runner(runner)
	return entry.Address
}

// release returns a slot after an attempt and reports whether the budget allows a
// retry. Only failed attempts are charged to the budget.
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
	a.grantSlots(now)
	return failed && a.budget.TrySpend()
}

func (a *slotAllocator) countRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.AddRequest()
}
