package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func (h *twoInstances) setStuck(stuck bool) {
	for _, way := range h.clients {
		way.setStuck(stuck)
	}
}

// No other could write better; what waits is started once the part is back.
func TestTermStaysWhileNoInstanceCanWriteProgress(t *testing.T) {
	for _, outage := range []time.Duration{stallTimeout, 10 * time.Second, time.Minute} {
		withTwoInstances(t, func(*twoInstances) {}, func(h *twoInstances, is *is.I) {
			first, other := h.leaderAndStandby(is)
			epoch := h.instances[first].term().Epoch
			h.setStuck(true)
			h.submit(other, "a1", is)
			time.Sleep(outage)
			h.setStuck(false)
			is.True(h.startsWithin("a1", maxCallTimeout+maxTaskWait))
			time.Sleep(takeoverDelay + takeoverRetryInterval + probeTimeout)
			is.Equal(h.instances[other].term().Epoch, epoch)
			is.Equal(h.leader(), first)
			is.Equal(h.instances[first].metrics.stalled.Value(), int64(0))
		})
	}
}

// The way to the progress is cut for whichever instance places.
func TestTermRarelyAlternatesWhenNoLeaderCanWriteProgress(t *testing.T) {
	withTwoInstances(t, func(*twoInstances) {}, func(h *twoInstances, is *is.I) {
		first, other := h.leaderAndStandby(is)
		epoch := h.instances[first].term().Epoch
		const duration = 4 * takeoverBackoff
		submitted := 0
		for begin := time.Now(); time.Since(begin) < duration; time.Sleep(50 * time.Millisecond) {
			if time.Since(begin) >= time.Duration(submitted)*time.Second { // there is always something to write
				submitted++
				h.submit(other, fmt.Sprintf("a%d", submitted), is)
			}
			if leader := h.leader(); leader != "" {
				h.clients[leader].setStuck(true)
				h.clients[map[string]string{"a": "b", "b": "a"}[leader]].setStuck(false)
			}
		}
		handovers := h.instances[first].term().Epoch - epoch
		t.Logf("passed on %d times in %s", handovers, duration)
		is.True(handovers >= 2)
		is.True(handovers <= 2*int64(duration/takeoverBackoff)+1) // each hands it over once in that time
	})
}

// Nor does an instance that would not place next check anything.
func TestInstanceThatCouldNotWriteProgressBacksOff(t *testing.T) {
	withTwoInstances(t, func(*twoInstances) {}, func(h *twoInstances, is *is.I) {
		first, other := h.leaderAndStandby(is)
		i := h.instances[other]
		is.True(i.canTakeOver())
		is.True(!h.instances[first].canTakeOver()) // the holder watches nobody
		i.stalledAt.Store(i.clock.Now().UnixNano())
		is.True(!i.canTakeOver())
		time.Sleep(takeoverBackoff)
		is.True(i.canTakeOver())
	})
}
