package batch

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/placing"
)

const (
	// maxConcurrentOrders bounds the orders in flight. In a slow instance more would only wait until
	// they time out and are retried.
	maxConcurrentOrders = 64
	// minConcurrentOrders is the bound where answers are slow. So many keep a small link busy; with
	// more, polls and appends would wait behind them.
	minConcurrentOrders = 32
	// uncongestedLatency is the latency of answers above which the bound is lowered.
	uncongestedLatency = 100 * time.Millisecond
	// answerLatencyWeight is the weight of the newest answer in the moving average of the latency.
	answerLatencyWeight = 0.1
	// maxStartWait is how long starts may wait to be sent before no more work is placed. It leaves
	// time to record the next placements meanwhile.
	maxStartWait = time.Second
	// slotDecrease is the share of the bound that a slower answer takes off; a quicker one adds one.
	// Where the link is full all answers are slow; a few slow workers hardly lower the bound.
	slotDecrease = 0.05
)

// orderClass ranks orders that wait for a slot; a lower one goes first.
type orderClass int

const (
	guaranteedStarts orderClass = iota // starts that are due within the reclaim time
	stopOrders                         // stops and speed limits, which are short and relieve workers
	urgentStarts
	ordinaryStarts
	orderClassCount
)

// orderSlots bounds the orders in flight and gives free slots to waiting orders by class, and within
// one by arrival. The bound is lower where answers are slow.
type orderSlots struct {
	lock     sync.Mutex
	inFlight int
	limit    float64
	latency  time.Duration // moving average
	waiting  [orderClassCount]*list.List
}

func newOrderSlots() *orderSlots {
	s := &orderSlots{limit: maxConcurrentOrders}
	for class := range s.waiting {
		s.waiting[class] = list.New()
	}
	return s
}

// acquire waits for a slot. It returns errWithdrawn once withdrawn is closed, and the error of ctx
// once that ends.
func (s *orderSlots) acquire(ctx context.Context, class orderClass, withdrawn <-chan struct{}) error {
	granted := make(chan struct{})
	s.lock.Lock()
	entry := s.waiting[class].PushBack(granted)
	s.grant()
	s.lock.Unlock()
	select {
	case <-granted:
		return nil
	case <-withdrawn:
		s.abandon(class, entry, granted)
		return errWithdrawn
	case <-ctx.Done():
		s.abandon(class, entry, granted)
		return ctx.Err()
	}
}

// abandon removes an order that does not wait any more, or releases the slot that it was given
// meanwhile.
func (s *orderSlots) abandon(class orderClass, entry *list.Element, granted chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	select {
	case <-granted:
		s.inFlight--
		s.grant()
	default:
		s.waiting[class].Remove(entry)
	}
}

func (s *orderSlots) release() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.inFlight--
	s.grant()
}

// grant gives free slots to waiting orders.
func (s *orderSlots) grant() {
	for class := range s.waiting {
		for s.inFlight < int(s.limit) && s.waiting[class].Len() > 0 {
			granted := s.waiting[class].Remove(s.waiting[class].Front()).(chan struct{})
			s.inFlight++
			close(granted)
		}
	}
}

// observe adjusts the bound to the latency of an answer.
func (s *orderSlots) observe(latency time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.latency += time.Duration(answerLatencyWeight * float64(latency-s.latency))
	if latency > uncongestedLatency {
		s.limit = max(minConcurrentOrders, (1-slotDecrease)*s.limit)
		return
	}
	s.limit = min(maxConcurrentOrders, s.limit+1)
}

// startLimit returns how many more starts can be sent within maxStartWait.
func (s *orderSlots) startLimit() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.latency <= uncongestedLatency {
		return placing.UnlimitedStarts
	}
	sendable := int(s.limit * maxStartWait.Seconds() / s.latency.Seconds())
	for _, waiting := range s.waiting {
		sendable -= waiting.Len()
	}
	return max(0, sendable)
}
