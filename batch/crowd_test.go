package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	crowdSize          = 600 // instances of a whole fleet
	crowdStoreRate     = 80e6
	crowdStoreMaxQueue = 2 * time.Second
	crowdLinkRate      = 2.5e6 // of an instance with a small link
	crowdPageBytes     = 136e3 // of a partition with callers' records
	crowdStateBytes    = 36e3  // of the partition with the states, and of the operators' records
	// crowdRecovery is how long the fleet may need to read its state: twice the time that the store
	// needs to transfer it.
	crowdRecovery = time.Duration(2 * crowdSize * (6*crowdPageBytes + 2*crowdStateBytes) / crowdStoreRate * 1e9)
)

// crowdStore answers reads one after the other at the rate of the users' store, and refuses them while
// more work is queued than it accepts. Reads that were given up are executed all the same.
type crowdStore struct {
	downStore
	lock      sync.Mutex
	busyUntil time.Time
	bytes     float64
	refused   int
}

// transfer waits until a number of bytes has been transferred.
func (s *crowdStore) transfer(ctx context.Context, bytes float64) error {
	s.lock.Lock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	queued := s.busyUntil.Sub(now)
	if queued > crowdStoreMaxQueue {
		s.refused++
		s.lock.Unlock()
		return ErrOverloaded
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(bytes / crowdStoreRate * float64(time.Second)))
	s.bytes += bytes
	done := s.busyUntil.Sub(now)
	s.lock.Unlock()
	select {
	case <-time.After(done):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// crowdClient is the access of one instance to the store, over a link of its own.
type crowdClient struct {
	*crowdStore
	linkLock sync.Mutex
	linkFree time.Time
}

// receive waits until the answer has passed the instance's link.
func (c *crowdClient) receive(ctx context.Context, bytes float64) error {
	if err := c.transfer(ctx, bytes); err != nil {
		return err
	}
	c.linkLock.Lock()
	now := time.Now()
	if c.linkFree.Before(now) {
		c.linkFree = now
	}
	c.linkFree = c.linkFree.Add(time.Duration(bytes / crowdLinkRate * float64(time.Second)))
	done := c.linkFree.Sub(now)
	c.linkLock.Unlock()
	select {
	case <-time.After(done):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *crowdClient) ReadNewest(ctx context.Context, stream Stream, part int) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	bytes := float64(crowdPageBytes)
	if stream == StreamOperator || part == statePart {
		bytes = crowdStateBytes
	}
	return Batch{NextOffset: 1}, c.receive(ctx, bytes)
}

func (c *crowdClient) Read(ctx context.Context, _ Stream, _ int, from int64, wait time.Duration) (Batch, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
	return Batch{NextOffset: from}, c.receive(ctx, 100)
}

func (c *crowdClient) Append(context.Context, int, []jobs.Record, *Fence) error { return ErrNotApplied }

// Guards against a store that stays overloaded for good after all instances were killed, by reads that
// are given up and sent again.
func TestFleetThatStartsAtOnceReadsItsState(t *testing.T) {
	for _, size := range []int{crowdSize, 2 * crowdSize} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &crowdStore{}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var instances []*Instance
				for number := range size {
					cpuShare := 0.192
					if number%10 == 0 {
						cpuShare = 1.6
					}
					i := New(Settings{Name: fmt.Sprint("i", number), StoreParts: 16, CPUShare: cpuShare}, &crowdClient{crowdStore: store}, zoneDecoder{}, nil, metrics.NewRegistry(), discardLog())
					useTestClock(i.clock)
					instances = append(instances, i)
					for _, f := range append([]*follower{i.operator, i.work}, i.calls...) {
						go f.run(ctx)
					}
				}
				limit := crowdRecovery * time.Duration(size/crowdSize)
				begin := time.Now()
				var halfLoaded time.Duration
				for time.Since(begin) < limit && countInstances(instances, (*Instance).isLoaded) < size {
					time.Sleep(100 * time.Millisecond)
					if halfLoaded == 0 && countInstances(instances, (*Instance).isLoaded) >= size/2 {
						halfLoaded = time.Since(begin)
					}
				}
				t.Logf("%d instances: half loaded after %s, the last after %s, %.0f MB, %d reads refused", size, halfLoaded, time.Since(begin), store.bytes/1e6, store.refused)
				is.Equal(countInstances(instances, (*Instance).isLoaded), size)
				is.True(store.refused <= size) // one for each instance
				time.Sleep(contactTimeout)
				is.Equal(countInstances(instances, func(i *Instance) bool { return i.work.isReachable() }), size)
				cancel()
				synctest.Wait()
			})
		})
	}
}

func countInstances(instances []*Instance, matches func(*Instance) bool) int {
	count := 0
	for _, i := range instances {
		if matches(i) {
			count++
		}
	}
	return count
}
