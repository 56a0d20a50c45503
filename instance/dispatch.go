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

const dispatchEvery = 10 * time.Millisecond

// dispatcher holds the balancer's lock and wakes waiting requests.
type dispatcher struct {
	mu       sync.Mutex
	balancer *balancer.Balancer
	budget   *balancer.Budget
	waiters  map[balancer.Waiter]chan balancer.Grant
	next     balancer.Waiter
	leaving  []membership.Listed // runners newly known to be leaving, to be told to peers
}

func newDispatcher(seed uint64) *dispatcher {
	return &dispatcher{balancer: balancer.New(seed), budget: balancer.NewBudget(), waiters: map[balancer.Waiter]chan balancer.Grant{}}
}

// run serves waiting requests when a runner becomes usable by time alone.
func (d *dispatcher) run(ctx context.Context) {
	for logstream.Sleep(ctx, dispatchEvery) {
		d.mu.Lock()
		if d.balancer.Waiting() > 0 {
			d.grant(time.Now())
		}
		d.mu.Unlock()
	}
}

func (d *dispatcher) grant(now time.Time) {
	for _, granted := range d.balancer.Dispatch(now) {
		if waiter, ok := d.waiters[granted.Waiter]; ok {
			delete(d.waiters, granted.Waiter)
			waiter <- granted
		}
	}
}

func (d *dispatcher) update(list []membership.Listed, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Update(list)
	d.grant(now)
}

func (d *dispatcher) markLeaving(runner string, boot int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.MarkLeaving(runner, boot)
}

// takeLeaving returns the runners newly seen to be leaving.
func (d *dispatcher) takeLeaving() []membership.Listed {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := d.leaving
	d.leaving = nil
	return taken
}

// ticket is a request's place in the queue for slots.
type ticket struct {
	id     balancer.Waiter
	waiter chan balancer.Grant
}

// ask asks for a slot. It returns a grant or a refusal, or a ticket to wait with.
func (d *dispatcher) ask(class string, deadline time.Time, exclude []string) (granted balancer.Grant, queued *ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	granted, decided := d.balancer.Acquire(d.next, class, deadline, exclude, time.Now())
	if decided {
		return granted, nil
	}
	queued = &ticket{id: d.next, waiter: make(chan balancer.Grant, 1)}
	d.waiters[queued.id] = queued.waiter
	return granted, queued
}

// await waits for a slot or a refusal. If ctx ends first, ok is false and no
// slot is held.
func (d *dispatcher) await(ctx context.Context, queued *ticket) (granted balancer.Grant, ok bool) {
	select {
	case granted = <-queued.waiter:
		return granted, true
	case <-ctx.Done():
		d.giveUp(queued.id, queued.waiter)
		return balancer.Grant{}, false
	}
}

// giveUp withdraws a waiting request, returning a slot that was granted meanwhile.
func (d *dispatcher) giveUp(id balancer.Waiter, waiter chan balancer.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, id)
	if d.balancer.Cancel(id) {
		return
	}
	select {
	case granted := <-waiter:
		if granted.Runner != "" {
			d.balancer.Done(granted.Runner, "", balancer.ResultAbandoned, 0, -1, time.Now())
		}
	default:
	}
}

// unused returns a slot that was granted too late.
func (d *dispatcher) unused(runner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.balancer.Done(runner, "", balancer.ResultAbandoned, 0, -1, now)
	d.grant(now)
}

func (d *dispatcher) address(runner string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed, _ := d.balancer.Runner(runner)
	return listed.Address
}

// done returns a slot and says whether a retry would be within the budget. The
// budget is charged only for a failed attempt.
func (d *dispatcher) done(runner, class string, result upstream.Result, took time.Duration, failed bool) (retryAllowed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if result.Load == balancer.ResultLeaving {
		if listed, ok := d.balancer.Runner(runner); ok && d.balancer.MarkLeaving(runner, listed.Boot) {
			d.leaving = append(d.leaving, listed)
		}
	}
	now := time.Now()
	d.balancer.Done(runner, class, result.Load, took, result.Busy, now)
	d.grant(now)
	return failed && d.budget.Spend()
}

func (d *dispatcher) countRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Request()
}
