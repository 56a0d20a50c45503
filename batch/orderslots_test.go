package batch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/placing"
)

// serialWorkers answers orders one after the other, as over a full link. It records which were sent.
type serialWorkers struct {
	scriptedWorkers
	lock        sync.Mutex
	orderTime   time.Duration // that the link takes for an order; 0 for a free link
	linkFree    time.Time
	inFlight    int
	maxInFlight int
	sent        []int // run numbers of starts, negative of stops
}

func (w *serialWorkers) send(ctx context.Context, run int) error {
	w.lock.Lock()
	w.sent = append(w.sent, run)
	w.inFlight++
	w.maxInFlight = max(w.maxInFlight, w.inFlight)
	if now := time.Now(); w.linkFree.Before(now) {
		w.linkFree = now
	}
	w.linkFree = w.linkFree.Add(w.orderTime)
	answered := time.NewTimer(time.Until(w.linkFree) + time.Millisecond)
	w.lock.Unlock()
	defer answered.Stop()
	defer func() {
		w.lock.Lock()
		defer w.lock.Unlock()
		w.inFlight--
	}()
	select {
	case <-answered.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *serialWorkers) Start(ctx context.Context, _ placing.WorkerEntry, order StartOrder) (int64, error) {
	return 0, w.send(ctx, order.Run)
}

func (w *serialWorkers) Stop(ctx context.Context, _ placing.WorkerEntry, order StopOrder) (int64, error) {
	return 0, w.send(ctx, -order.Run)
}

// serialLinks returns links to one worker behind a link that takes orderTime for an order.
func serialLinks(ctx context.Context, orderTime time.Duration) (*linkSet, *serialWorkers) {
	link, _, _ := scriptedLink(accept)
	workers := &serialWorkers{orderTime: orderTime}
	link.env.workers = workers
	link.env.report = func(context.Context, event) {}
	link.ctx = ctx
	links := newLinkSet(ctx, link.env, &sync.WaitGroup{})
	links.links["w"] = link
	return links, workers
}

// Guards against a gang that misses the reclaim time because its starts wait behind those of other
// work on a full link.
func TestUrgentOrdersOvertakeOthersThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		links, workers := serialLinks(t.Context(), 4*time.Millisecond)
		for run := range 200 {
			links.start(placing.Start{Worker: "w", Run: 1000 + run}, false)
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		before := len(workers.sent)
		links.start(placing.Start{Worker: "w", Run: 3, Priority: placing.StartUrgent}, false)
		links.start(placing.Start{Worker: "w", Run: 2, Priority: placing.StartGuaranteed}, false)
		links.stop(placing.Stop{Worker: "w", Run: 1})
		links.wg.Wait()
		is.Equal(len(workers.sent), 203)
		is.Equal(workers.sent[before:before+3], []int{2, -1, 3})
	})
}

// Guards against polls and appends that wait behind half a second of orders on the same link.
func TestFewOrdersAreInFlightOnAFullLink(t *testing.T) {
	for _, c := range []struct {
		name      string
		orderTime time.Duration
		least     int
		most      int
	}{
		{"free", 0, maxConcurrentOrders, maxConcurrentOrders},
		{"full", 8 * time.Millisecond, minConcurrentOrders, maxConcurrentOrders * 3 / 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				links, workers := serialLinks(t.Context(), c.orderTime)
				for run := range 100 {
					links.start(placing.Start{Worker: "w", Run: run}, false)
				}
				links.wg.Wait()
				workers.maxInFlight = 0
				for run := range 200 {
					links.start(placing.Start{Worker: "w", Run: run}, false)
				}
				links.wg.Wait()
				is.True(workers.maxInFlight >= c.least)
				is.True(workers.maxInFlight <= c.most)
				is.Equal(links.env.orderSlots.startLimit() == placing.UnlimitedStarts, c.orderTime == 0)
			})
		})
	}
}

// Orders that are withdrawn while they wait, or while they are given a slot, leave none in use.
func TestAbandonedOrdersLeaveNoSlotInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slots := newOrderSlots()
		for range maxConcurrentOrders {
			is.NoErr(slots.acquire(t.Context(), ordinaryStarts, nil))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var waiting sync.WaitGroup
		for range 10 {
			waiting.Go(func() {
				if slots.acquire(ctx, ordinaryStarts, nil) == nil {
					slots.release()
				}
			})
		}
		synctest.Wait()
		slots.release() // given to one of them just before it is cancelled
		cancel()
		waiting.Wait()
		is.Equal(slots.inFlight, maxConcurrentOrders-1)
		is.Equal(slots.waiting[ordinaryStarts].Len(), 0)
	})
}
