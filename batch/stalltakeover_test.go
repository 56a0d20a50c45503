package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func (t *twoInstances) setStuck(stuck bool) {
	for _, way := range t.clients {
		way.setStuck(stuck)
	}
}

// No other instance could write progress, so the term stays. Waiting tasks start once the part is up.
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

// Whichever instance leads is cut off from the part with the progress.
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
		is.True(handovers <= 2*int64(duration/takeoverBackoff)+1) // each instance hands the term over once in that time
	})
}

// An instance that was unable to write progress, or is no standby, does not check either.
func TestInstanceThatCouldNotWriteProgressBacksOff(t *testing.T) {
	withTwoInstances(t, func(*twoInstances) {}, func(h *twoInstances, is *is.I) {
		first, other := h.leaderAndStandby(is)
		i := h.instances[other]
		is.True(i.canTakeOver())
		is.True(!h.instances[first].canTakeOver()) // the leader is not a standby
		i.stalledAt.Store(i.clock.Now().UnixNano())
		is.True(!i.canTakeOver())
		time.Sleep(takeoverBackoff)
		is.True(i.canTakeOver())
	})
}
